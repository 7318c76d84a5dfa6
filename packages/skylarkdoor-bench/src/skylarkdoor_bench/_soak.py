"""A long randomised run under faults, ending by itself."""

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
    """The run found a promise broken."""


def deployment() -> Deployment:
    """Return two entries, three unlike engines and two services."""
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
    """Send random requests under random faults and check every promise seen.

    Args:
        seed: Seed of requests and faults.
        minutes: Length of the run.
        directory: Where settings files and logs are kept.
        echo: Takes lines for people.

    Raises:
        SoakFailedError: A promise was broken; the message tells all that were.
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
        problems += [f"{name} ended unasked" for name in cluster.crashed()]
        problems += broken_invariants(cluster)
    for line in journal.summary() + faults.summary():
        echo(line)
    if problems:
        raise SoakFailedError("; ".join(problems))
    echo("every promise that was checked held")


async def run_for(
    seconds: float, callers: list[SoakCaller], faults: FaultInjector
) -> None:
    """Run callers and faults together for a time; callers end what they began."""
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run(stop))
        group.create_task(faults.run(stop))
        await asyncio.sleep(seconds)
        stop.set()


async def wait_recovered(caller: SoakCaller) -> None:
    """Wait until requests of each kind are served again.

    Raises:
        SoakFailedError: They are not, long after the last fault.
    """
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            for kind in caller.kinds:
                while not await caller.probe(kind):
                    await asyncio.sleep(PROBE_INTERVAL_S)
    except TimeoutError:
        raise SoakFailedError("the system did not recover after the faults") from None


def broken_invariants(cluster: Cluster) -> list[str]:
    """Return the logged violations of every daemon."""
    found = []
    for name in cluster.daemons:
        path = cluster.processes[name].log_path
        with suppress(OSError):
            lines = path.read_text(errors="replace").splitlines()
            found += [
                f"{name}: {line}" for line in lines if '"invariant_broken"' in line
            ]
    return found
