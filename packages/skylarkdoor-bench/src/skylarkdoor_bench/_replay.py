"""Replays a trace against a small deployment and checks its expected outcomes."""

import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import convert
from skylarkdoor_bench._deployments import (
    Deployment,
    EngineSpec,
    EntrySpec,
    ServiceSpec,
    seed_exchange,
)
from skylarkdoor_bench._health import find_faults
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._replay_actions import (
    ListState,
    Mark,
    Pause,
    PlatformFault,
    SendRequest,
    Signal,
    UpstreamFault,
)
from skylarkdoor_bench._replay_checks import (
    Crashes,
    Ends,
    EndsBefore,
    NoNewWork,
    RunsOfKey,
    SameAnswer,
)
from skylarkdoor_bench._replay_context import CheckFailedError, Replay, Step
from skylarkdoor_bench._replay_waits import (
    UntilEnded,
    UntilRan,
    UntilReplied,
    UntilRunning,
    UntilSeen,
    UntilWaiting,
)
from skylarkdoor_bench._replies import Outcome
from skylarkdoor_bench._upstream_counts import read_counts

Echo = Callable[[str], None]

STEPS: dict[str, type[Step]] = {
    "request": SendRequest,
    "process": Signal,
    "platform": PlatformFault,
    "upstream": UpstreamFault,
    "list": ListState,
    "pause": Pause,
    "mark": Mark,
    "until_replied": UntilReplied,
    "until_running": UntilRunning,
    "until_waiting": UntilWaiting,
    "until_ran": UntilRan,
    "until_ended": UntilEnded,
    "until_seen": UntilSeen,
    "ends": Ends,
    "same_answer": SameAnswer,
    "runs_of_key": RunsOfKey,
    "ends_before": EndsBefore,
    "no_new_work": NoNewWork,
    "crashes": Crashes,
}


# Waits for all requests; fails for a trace without requests, which checks nothing.
FINAL_STEP: tuple[int, Step] = (0, UntilReplied("*"))


class ReplayFailedError(Exception):
    """An expected outcome of a trace did not occur, or a guarantee was violated."""


class ReplayCluster(NamedTuple):
    """The ``cluster`` line of a trace: the deployment that the trace runs against.

    Attributes:
        entries: Number of entries.
        engines: Number of engines; they are identical.
        services: Number of plain services.
        max_batch: Maximum number of sequences in the batch of an engine.
        max_running: Maximum number of requests running in one engine.
        queue_limit: Maximum number of requests waiting at an engine's sidecar.
        time_scale: Factor by which the engines run faster than specified.
        latency_s: Time that a plain service takes for a request.
        crash_on: Text that crashes each upstream that runs a request with it.
    """

    entries: int = 2
    engines: int = 2
    services: int = 1
    max_batch: int = 16
    max_running: int = 16
    queue_limit: int = 64
    time_scale: float = 10.0
    latency_s: float = 0.01
    crash_on: str = ""

    def deployment(self) -> Deployment:
        """Return the deployment, with the customers and tiers of the seed exchange."""
        base = seed_exchange()
        pool = base.fleet.pools["assistant"]._replace(
            max_running=self.max_running,
            min_running=self.max_running,
            queue_limit=self.queue_limit,
        )
        fleet = base.fleet._replace(pools=base.fleet.pools | {"assistant": pool})
        return base._replace(
            name="replay",
            entries=tuple(
                EntrySpec(f"entry-{number + 1}", "teika")
                for number in range(self.entries)
            ),
            upstreams=(*self._engines(), *self._services()),
            fleet=fleet,
            time_scale=self.time_scale,
            crash_on=self.crash_on,
        )

    def _engines(self) -> list[EngineSpec]:
        return [
            EngineSpec(
                f"engine-{number + 1}",
                "teika",
                "assistant",
                "garden-7b",
                prefill_tps=4000,
                decode_tps=40,
                max_batch=self.max_batch,
            )
            for number in range(self.engines)
        ]

    def _services(self) -> list[ServiceSpec]:
        return [
            ServiceSpec(f"registry-{number + 1}", "teika", "registry", self.latency_s)
            for number in range(self.services)
        ]


class ReplayTrace(NamedTuple):
    """A trace that was read from a file.

    Attributes:
        cluster: The deployment that the trace runs against.
        steps: The steps, each with its line number.
    """

    cluster: ReplayCluster
    steps: tuple[tuple[int, Step], ...]


def read_replay(path: Path) -> ReplayTrace:
    """Read a trace from a file.

    Raises:
        SettingsError: A line is malformed, or its kind of step is unknown.
    """
    cluster = ReplayCluster()
    steps = []
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        source = f"{path.name}:{number}"
        kind, fields = _read_line(line, source)
        if kind == "cluster":
            cluster = convert(fields, ReplayCluster, source=source)
            continue
        if kind not in STEPS:
            raise SettingsError(f"unknown step {kind!r}", source=source)
        steps.append((number, convert(fields, STEPS[kind], source=source)))
    return ReplayTrace(cluster, tuple(steps))


def _read_line(line: str, source: str) -> tuple[str, Any]:
    try:
        [(kind, fields)] = json.loads(line).items()
    except (ValueError, AttributeError):
        raise SettingsError("expected an object with one key", source=source) from None
    return kind, fields


async def replay_files(
    paths: Iterable[Path], *, directory: Path | None = None, echo: Echo = print
) -> None:
    """Replay files one after another.

    Args:
        paths: Files with traces.
        directory: Directory for settings files and logs; by default a temporary
            directory that is removed at the end.
        echo: Prints a line.

    Raises:
        ReplayFailedError: An expected outcome did not occur, or a guarantee was
            violated.
        ProcessFailedError: A process did not start.
        SettingsError: A file is not a valid trace.
    """
    for path in paths:
        subdirectory = directory / path.stem if directory else None
        await replay_file(path, directory=subdirectory, echo=echo)


async def replay_file(
    path: Path, *, directory: Path | None = None, echo: Echo = print
) -> None:
    """Replay a file, and check its expected outcomes and the general guarantees.

    Args:
        path: File with the trace.
        directory: Directory for settings files and logs; by default a temporary
            directory that is removed at the end.
        echo: Prints a line.

    Raises:
        ReplayFailedError: An expected outcome did not occur, or a guarantee was
            violated.
        ProcessFailedError: A process did not start.
        SettingsError: The file is not a valid trace.
    """
    trace = read_replay(path)
    async with Cluster(trace.cluster.deployment(), directory=directory) as cluster:
        replay = Replay(cluster)
        try:
            await _run_steps(trace, replay, path.name)
            problems = await _find_problems(replay, trace.cluster)
        finally:
            replay.cancel()
    if problems:
        raise ReplayFailedError(f"{path.name}: {'; '.join(problems)}")
    echo(f"{path.name}: {len(replay.ended)} requests ended as expected")


async def _run_steps(trace: ReplayTrace, replay: Replay, name: str) -> None:
    steps = [*trace.steps, FINAL_STEP]
    for number, step in steps:
        try:
            await step.run(replay)
        except CheckFailedError as error:
            raise ReplayFailedError(f"{name}:{number}: {error}") from error


async def _find_problems(replay: Replay, spec: ReplayCluster) -> list[str]:
    problems = await find_faults(replay.cluster)
    if spec.crash_on:
        crashed = [
            f"{name} ended unexpectedly" for name in replay.cluster.upstream_urls
        ]
        problems = [problem for problem in problems if problem not in crashed]
    duplicates = (await read_counts(replay.cluster)).double_dispatches
    if duplicates:
        problems.append(f"{duplicates} requests ran more than once")
    for name, (reply, _) in replay.ended.items():
        if reply.outcome is Outcome.WRONG:
            problems.append(f"{name} was answered with another request's answer")
    return problems
