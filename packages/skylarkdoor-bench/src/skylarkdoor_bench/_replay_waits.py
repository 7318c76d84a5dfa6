"""Steps of a trace that wait for a condition."""

from typing import Any, NamedTuple

from skylarkdoor_bench._replay_context import Replay


class UntilReplied(NamedTuple):
    """Waits for the replies to the requests that match a pattern."""

    requests: str

    async def run(self, replay: Replay) -> None:
        """Wait for the condition."""
        await replay.replies(self.requests)


class UntilRunning(NamedTuple):
    """Waits until matching sidecars together run at least `least` requests."""

    sidecars: str
    least: int

    async def run(self, replay: Replay) -> None:
        """Wait for the condition."""

        async def holds() -> bool:
            names = replay.running_sidecars(self.sidecars)
            statuses = [await replay.cluster.status(name) for name in names]
            running = sum(status["scheduler"]["running"] for status in statuses)
            return running >= self.least

        await replay.wait_until(f"{self.least} requests run at {self.sidecars}", holds)


class UntilWaiting(NamedTuple):
    """Waits until at least `least` offers wait at matching sidecars."""

    sidecars: str
    least: int

    async def run(self, replay: Replay) -> None:
        """Wait for the condition."""

        async def holds() -> bool:
            names = replay.running_sidecars(self.sidecars)
            statuses = [await replay.cluster.status(name) for name in names]
            waiting = sum(
                sum(status["scheduler"]["waiting_by_tier"]) for status in statuses
            )
            return waiting >= self.least

        await replay.wait_until(f"{self.least} offers wait at {self.sidecars}", holds)


class UntilRan(NamedTuple):
    """Waits until an upstream has executed at least `least` requests."""

    upstream: str
    least: int

    async def run(self, replay: Replay) -> None:
        """Wait for the condition."""

        async def holds() -> bool:
            return await replay.executions(self.upstream) >= self.least

        await replay.wait_until(
            f"{self.upstream} has executed {self.least} requests", holds
        )


class UntilEnded(NamedTuple):
    """Waits until a process has ended."""

    process: str

    async def run(self, replay: Replay) -> None:
        """Wait for the condition."""
        await replay.cluster.processes[self.process].wait_exited()


class UntilSeen(NamedTuple):
    """Waits until every running entry sees a sidecar as draining or as in service.

    Attributes:
        sidecar: Name of the sidecar.
        leaving: True to wait until it is draining or no longer listed, False to
            wait until it is connected and not draining.
    """

    sidecar: str
    leaving: bool

    async def run(self, replay: Replay) -> None:
        """Wait for the condition."""
        cluster = replay.cluster
        entries = [entry.name for entry in cluster.deployment.entries]
        running = [name for name in entries if cluster.processes[name].is_running]

        async def holds() -> bool:
            statuses = [await cluster.status(name) for name in running]
            return all(self._is_seen(status["sidecars"]) for status in statuses)

        await replay.wait_until(
            f"entries see {self.sidecar} as draining: {self.leaving}", holds
        )

    def _is_seen(self, sidecars: list[dict[str, Any]]) -> bool:
        for item in sidecars:
            if item["instance"] == self.sidecar:
                if self.leaving:
                    return bool(item["leaving"])
                return bool(item["connected"] and not item["leaving"])
        return self.leaving
