"""Command line of the runs in which the configuration changes."""

import asyncio
import statistics
import tempfile
from pathlib import Path

import click

from ._config_run import CHANGE_INTERVAL_S, RECOVERY_S, ConfigSoak

SHOWN = 40


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--runs", default=1, help="Number of runs, each with the next seed.")
@click.option("--seconds", default=60.0, help="Time during which faults are injected.")
@click.option("--entries", default=9, help="Number of entries.")
@click.option(
    "--recovery", default=RECOVERY_S, help="Time after them that is judged as well."
)
@click.option("--interval", default=CHANGE_INTERVAL_S, help="Time between versions.")
@click.option("--rate", default=0.0, help="Streams a second that each entry gets.")
@click.option(
    "--processor",
    "processors",
    multiple=True,
    type=int,
    help="One of the entries'; all.",
)
@click.option("--fault", "faults", multiple=True, help="Fault to draw from; all.")
def main(
    seed: int,
    runs: int,
    seconds: float,
    entries: int,
    recovery: float,
    interval: float,
    rate: float,
    processors: tuple[int, ...],
    faults: tuple[str, ...],
) -> None:
    """Change the configuration under faults; exit with 1 if a rule is broken."""
    failed = False
    for number in range(seed, seed + runs):
        folder = Path(tempfile.mkdtemp(prefix=f"config-{number}-"))
        soak = ConfigSoak(
            number,
            folder,
            entries=entries,
            faults=faults,
            interval_s=interval,
            rate=rate,
            processors=processors,
        )
        result = asyncio.run(soak.run(seconds, recovery_s=recovery))
        click.echo(f"seed {number}: {result.runs} runs, {dict(result.outcomes)}")
        click.echo(f"  the machine stalled for {result.stalled_s:.1f} s")
        if result.lags_s:
            click.echo(
                f"  lag of the loops: median {statistics.median(result.lags_s):.2f} s,"
                f" longest {result.lags_s[-1]:.2f} s, {len(result.lags_s)} in all"
            )
        for name, calls in sorted(result.calls.items()):
            click.echo(f"  {calls:.2f} calls a second: {name}")
        blind_s = sorted(seconds for seconds, _ in result.blind_s)
        if blind_s:
            click.echo(
                "  older version after a fault: median "
                f"{statistics.median(blind_s):.2f} s, longest {blind_s[-1]:.2f} s,"
                f" {len(blind_s)} in all, {len(result.blind)} until the end"
            )
        for fault in result.faults:
            click.echo(f"  {fault}")
        for broken in result.broken[:SHOWN]:
            click.echo(f"  BROKEN {broken}")
        click.echo(f"  {len(result.broken)} broken; logs in {folder}")
        failed = failed or bool(result.broken)
    raise SystemExit(int(failed))


if __name__ == "__main__":
    main()
