"""Command line of the soak test: one run, or several with consecutive seeds."""

import asyncio
import tempfile
from pathlib import Path

import click

from ._run import Soak


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--runs", default=1, help="Number of runs, each with the next seed.")
@click.option(
    "--seconds", default=30.0, help="Seconds during which faults are injected."
)
def main(seed: int, runs: int, seconds: float) -> None:
    """Run the daemons under random faults; exit with 1 if a guarantee is broken."""
    failed = False
    for number in range(seed, seed + runs):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        result = asyncio.run(Soak(number, folder).run(seconds))
        click.echo(f"seed {number}: {result.outcomes}, {result.crashes} crashes")
        for fault in result.faults if result.broken else ():
            click.echo(f"  {fault}")
        for broken in result.broken:
            click.echo(f"  BROKEN {broken}; logs in {folder}")
        failed = failed or bool(result.broken)
    raise SystemExit(int(failed))


if __name__ == "__main__":
    main()
