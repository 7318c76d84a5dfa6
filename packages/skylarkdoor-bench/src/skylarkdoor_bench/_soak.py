"""Soak test: random requests under random faults for a given time."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from skylarkdoor_bench._deployments import (
    Deployment,
    EngineSpec,
    EntrySpec,
    ServiceSpec,
    small_demo,
)
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._soak_calls import Journal, SoakCaller
from skylarkdoor_bench._soak_faults import FaultInjector

CALLERS = 12
TIME_SCALE = 10.0
RECOVERY_TIMEOUT_S = 60.0
PROBE_INTERVAL_S = 0.2
S_PER_MIN = 60.0

Echo = Callable[[str], None]


class SoakFailedError(Exception):
    """A guarantee was violated, or the deployment did not recover."""


def deployment() -> Deployment:
    """Return two entries, three engines of different speed and two services."""
    return small_demo()._replace(
        name="soak",
        entries=(EntrySpec("entry-1", "teika"), EntrySpec("entry-2", "agenskalns")),
        upstreams=(
            EngineSpec("engine-1", "teika", "assistant", "garden-7b", 2000, 40, 8),
            EngineSpec("engine-2", "teika", "assistant", "garden-7b", 6000, 120, 16),
            EngineSpec(
                "engine-3", "agenskalns", "assistant", "garden-7b", 4000, 80, 12
            ),
            ServiceSpec("registry-1", "teika", "registry"),
            ServiceSpec("registry-2", "agenskalns", "registry"),
        ),
        time_scale=TIME_SCALE,
    )


async def soak(
    *, seed: int, minutes: float, directory: Path | None, echo: Echo
) -> None:
    """Send random requests under random faults and check the guarantees.

    Args:
        seed: Seed of the requests and faults.
        minutes: Duration of the run.
        directory: Directory for settings files and logs; None for a temporary
            directory that is removed at the end.
        echo: Prints a line.

    Raises:
        SoakFailedError: A guarantee was violated, or the deployment did not recover
            after the faults. The message lists all violations.
        ProcessFailedError: A process did not start.
    """
    echo(f"seed {seed}, {minutes:g} minutes")
    journal = Journal()
    async with Cluster(deployment(), directory=directory) as cluster:
        faults = FaultInjector(cluster, random.Random(seed))
        callers = [
            SoakCaller(cluster, journal, random.Random(f"{seed}-{number}"), number)
            for number in range(CALLERS)
        ]
        await run_for(minutes * S_PER_MIN, callers, faults)
        await faults.clear()
        await wait_recovered(callers[0])
        problems = await journal.problems(cluster)
        problems += [f"{name} ended unexpectedly" for name in cluster.crashed()]
        problems += broken_invariants(cluster)
    for line in journal.summary() + faults.summary():
        echo(line)
    if problems:
        raise SoakFailedError("; ".join(problems))
    echo("no guarantee was violated")


async def run_for(
    seconds: float, callers: list[SoakCaller], faults: FaultInjector
) -> None:
    """Run callers and faults concurrently for a time.

    Requests and faults in progress at the end of that time are completed.
    """
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run(stop))
        group.create_task(faults.run(stop))
        await asyncio.sleep(seconds)
        stop.set()


async def wait_recovered(caller: SoakCaller) -> None:
    """Wait until requests of each kind are answered again.

    Raises:
        SoakFailedError: A kind of request is still not answered after 60 s.
    """
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            for kind in caller.kinds:
                while not await caller.probe(kind):
                    await asyncio.sleep(PROBE_INTERVAL_S)
    except TimeoutError:
        raise SoakFailedError(
            "the deployment did not recover within 60 s after the faults"
        ) from None


def broken_invariants(cluster: Cluster) -> list[str]:
    """Return the log lines of all daemons that report a violated invariant."""
    found = []
    for name in cluster.daemons:
        path = cluster.processes[name].log_path
        with suppress(OSError):
            lines = path.read_text(errors="replace").splitlines()
            found += [
                f"{name}: {line}" for line in lines if '"invariant_broken"' in line
            ]
    return found
