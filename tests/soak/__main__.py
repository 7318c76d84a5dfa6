"""Plays one run, or several with seeds in a row."""

import asyncio
import tempfile
from pathlib import Path

import click

from ._run import Soak


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--runs", default=1, help="Runs, each with the next seed.")
@click.option("--seconds", default=30.0, help="How long faults are injected.")
def main(seed: int, runs: int, seconds: float) -> None:
    """Run the programs under random faults; exit status 1 if a promise broke."""
    failed = False
    for number in range(seed, seed + runs):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        result = asyncio.run(Soak(number, folder).run(seconds))
        click.echo(f"seed {number}: {result.outcomes}")
        for fault in result.faults if result.broken else ():
            click.echo(f"  {fault}")
        for broken in result.broken:
            click.echo(f"  BROKEN {broken}; logs in {folder}")
        failed = failed or bool(result.broken)
    raise SystemExit(int(failed))


if __name__ == "__main__":
    main()
