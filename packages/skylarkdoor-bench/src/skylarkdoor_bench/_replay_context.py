"""State of a running replay: the requests sent and their replies."""

import asyncio
import fnmatch
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from skylarkdoor_bench._calls import Call, make_calls
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._replies import Outcome, Reply, send
from skylarkdoor_bench._trace import Arrival
from skylarkdoor_bench._upstream_counts import read_counts

POLL_S = 0.02
# Ends a replay that hangs. No expected outcome depends on this value.
WAIT_TIMEOUT_S = 60.0


class CheckFailedError(Exception):
    """An expected outcome did not occur."""


class OrderedReply(NamedTuple):
    """A reply, and its position in the order in which replies were received."""

    reply: Reply
    order: int


class Step(Protocol):
    """One line of a trace."""

    async def run(self, replay: "Replay") -> None:
        """Execute the step.

        Raises:
            CheckFailedError: An expected outcome did not occur.
        """


class Replay:
    """Sends the requests of a trace to a deployment and records their replies.

    Args:
        cluster: The running deployment.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.arrivals: dict[str, Arrival] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.ended: dict[str, OrderedReply] = {}
        self.marks: dict[str, int] = {}
        self.started = asyncio.get_running_loop().time()

    def now_s(self) -> float:
        """Return the seconds since the start of the replay."""
        return asyncio.get_running_loop().time() - self.started

    def send(
        self, name: str, arrival: Arrival, *, entry: int, number: int, resends: bool
    ) -> None:
        """Send a request without waiting for its reply.

        Args:
            name: Name of the request in the trace.
            arrival: The request.
            entry: Index of the entry to which it is sent.
            number: Number that the prompt contains, so that prompts differ.
            resends: Whether the request is retried while it is refused.

        Raises:
            CheckFailedError: The trace uses the name twice.
        """
        if name in self.tasks:
            raise CheckFailedError(f"two requests are named {name}")
        self.arrivals[name] = arrival
        call = make_calls(self.cluster.deployment, [arrival], first=number)[0]
        url = self.cluster.entry_urls[entry]
        work = self._send_until_replied(name, call, url, resends=resends)
        self.tasks[name] = asyncio.create_task(work)

    async def _send_until_replied(
        self, name: str, call: Call, url: str, *, resends: bool
    ) -> None:
        arrival = self.arrivals[name]
        session = self.cluster.session
        reply = await send(session, url, arrival, call, arrival.deadline_s)
        while resends and reply.outcome is Outcome.REFUSED:
            await asyncio.sleep(reply.retry_after_s or POLL_S)
            reply = await send(session, url, arrival, call, arrival.deadline_s)
        self.ended[name] = OrderedReply(reply, len(self.ended))

    def cancel(self) -> None:
        """Cancel the requests that have no reply yet."""
        for task in self.tasks.values():
            task.cancel()

    def matching_names(self, pattern: str) -> list[str]:
        """Return the names of the requests that match a pattern.

        Raises:
            CheckFailedError: No request matches the pattern.
        """
        found = fnmatch.filter(self.tasks, pattern)
        if not found:
            raise CheckFailedError(f"no request matches {pattern}")
        return found

    async def replies(self, pattern: str) -> dict[str, OrderedReply]:
        """Wait for the replies to matching requests and return them by name.

        Raises:
            CheckFailedError: No request matches the pattern, or a request has
                no reply after 60 s.
        """
        names = self.matching_names(pattern)
        tasks = [self.tasks[name] for name in names]
        _, pending = await asyncio.wait(tasks, timeout=WAIT_TIMEOUT_S)
        if pending:
            raise CheckFailedError(f"{len(pending)} of {pattern} received no reply")
        for task in tasks:
            task.result()
        return {name: self.ended[name] for name in names}

    async def runs_by_key(self) -> Counter[str]:
        """Return how often the plain services executed each idempotency key."""
        return (await read_counts(self.cluster)).keyed_runs

    async def executions(self, upstream: str) -> int:
        """Return how many requests an upstream has started to execute."""
        executions = (await self.cluster.upstream_stats(upstream))["executions"]
        if isinstance(executions, dict):
            return sum(executions.values())
        return len(executions)

    async def wait_until(self, what: str, holds: Callable[[], Awaitable[bool]]) -> None:
        """Wait until a condition holds.

        Args:
            what: Description of the condition, for the error message.
            holds: Returns whether the condition holds.

        Raises:
            CheckFailedError: The condition does not hold after 60 s.
        """
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not await holds():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise CheckFailedError(f"timed out waiting until {what}") from None

    def running_sidecars(self, pattern: str) -> Sequence[str]:
        """Return the running sidecars that match a pattern."""
        names = fnmatch.filter(self.cluster.daemons, pattern)
        return [
            name
            for name in names
            if name.startswith("sidecar-") and self.cluster.processes[name].is_running
        ]
