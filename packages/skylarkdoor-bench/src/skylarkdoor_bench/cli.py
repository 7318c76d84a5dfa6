"""Command line of the development tools."""

import asyncio
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path

import click

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import PolicyName
from skylarkdoor_bench._bench import POLICIES, BenchFailedError, plan_cases, run_bench
from skylarkdoor_bench._demo import DemoFailedError, run_demo
from skylarkdoor_bench._processes import ProcessFailedError
from skylarkdoor_bench._replay import ReplayFailedError, replay_files
from skylarkdoor_bench._retries import worst_windows
from skylarkdoor_bench._run import DEPLOYMENTS
from skylarkdoor_bench._slope_series import SERIES
from skylarkdoor_bench._slopes import measure_slopes
from skylarkdoor_bench._soak import SoakFailedError, soak

EXIT_OK = 0
EXIT_FAILED = 1


@click.group()
def main() -> None:
    """Start, test and measure skylarkdoor on one machine."""


@main.command("demo")
@click.option("--keep", is_flag=True, help="Keep the deployment running until Ctrl-C.")
@click.option(
    "--directory",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep settings files and logs here.",
)
def demo(keep: bool, directory: Path | None) -> None:
    """Send a few requests through a small deployment."""
    sys.exit(run_tool(run_demo(keep=keep, directory=directory, echo=click.echo)))


@main.command("run")
@click.option(
    "--policy",
    "policies",
    type=click.Choice(POLICIES),
    multiple=True,
    help="Run only this policy; may be repeated.",
)
@click.option(
    "--deployment",
    "deployments",
    type=click.Choice(list(DEPLOYMENTS)),
    multiple=True,
    default=list(DEPLOYMENTS),
    help="Run only this deployment; may be repeated.",
)
@click.option(
    "--load",
    "loads",
    type=click.FloatRange(min=0.0, min_open=True),
    multiple=True,
    help="Load as a share of the engines' capacity; may be repeated.",
)
@click.option("--seeds", type=click.IntRange(min=1), default=2, show_default=True)
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("out/bench.json"),
    show_default=True,
    help="File to which the results are written.",
)
def run(
    policies: tuple[PolicyName, ...],
    deployments: tuple[str, ...],
    loads: tuple[float, ...],
    seeds: int,
    out: Path,
) -> None:
    """Measure goodput by tier and wasted prefill under load and faults."""
    cases = plan_cases(
        deployments=deployments, policies=policies, loads=loads, seeds=seeds
    )
    sys.exit(run_tool(run_bench(cases, out=out, echo=click.echo)))


@main.command("replay")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@click.option(
    "--directory",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep settings files and logs here.",
)
def replay(files: tuple[Path, ...], directory: Path | None) -> None:
    """Replay recorded traces and check their expected outcomes."""
    sys.exit(run_tool(replay_files(files, directory=directory, echo=click.echo)))


@main.command("slopes")
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("out/slopes.json"),
    show_default=True,
    help="File to which the points and lines are written.",
)
@click.option(
    "--series",
    "names",
    multiple=True,
    type=click.Choice(list(SERIES)),
    help="Run only this series; may be repeated. Default: all.",
)
def slopes(out: Path, names: tuple[str, ...]) -> None:
    """Measure how the resource use of entries and sidecars grows with their load."""
    sys.exit(run_tool(measure_slopes(names=names, out=out, echo=click.echo)))


@main.command("soak")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--minutes",
    type=click.FloatRange(min=0, min_open=True),
    default=5.0,
    show_default=True,
)
@click.option(
    "--directory",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep settings files and logs here.",
)
def run_soak(seed: int, minutes: float, directory: Path | None) -> None:
    """Send random requests under random faults and check the guarantees."""
    work = soak(seed=seed, minutes=minutes, directory=directory, echo=click.echo)
    sys.exit(run_tool(work))


@main.command("retries")
@click.argument(
    "logs",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    nargs=-1,
    required=True,
)
@click.option("--window-s", type=click.IntRange(min=1), default=10, show_default=True)
def retries(logs: tuple[Path, ...], window_s: int) -> None:
    """Show the window with most retries of each service, over all entries' LOGS."""
    for window in worst_windows(logs, window_s=window_s):
        counts = window.counts
        click.echo(
            f"{window.service}: {counts.sent} retries sent, {counts.approved} "
            f"approved, {counts.waiting} waiting, {counts.requests} requests "
            f"within {window_s} s from {window.began}"
        )


def run_tool(work: Coroutine[None, None, None]) -> int:
    """Run a tool and print its errors.

    Args:
        work: The tool's coroutine.

    Returns:
        The exit status.
    """
    status = EXIT_OK
    try:
        asyncio.run(run_until_signal(work))
    except* asyncio.CancelledError:
        click.echo("stopped")
    except* (
        BenchFailedError,
        DemoFailedError,
        ProcessFailedError,
        ReplayFailedError,
        SettingsError,
        SoakFailedError,
    ) as group:
        for error in flatten(group):
            click.echo(f"failed: {error}", err=True)
        status = EXIT_FAILED
    return status


async def run_until_signal(work: Coroutine[None, None, None]) -> None:
    """Run a coroutine, and cancel it on SIGINT or SIGTERM.

    Raises:
        CancelledError: A signal was received.
    """
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    await task


def flatten(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the errors of an exception group and of its nested groups."""
    errors: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            errors.extend(flatten(error))
        else:
            errors.append(error)
    return errors
