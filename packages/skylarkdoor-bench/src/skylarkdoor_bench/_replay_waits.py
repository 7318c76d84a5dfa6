"""Lines of a trace that wait for an event."""

from typing import Any, NamedTuple

from skylarkdoor_bench._replay_context import Replay


class UntilReplied(NamedTuple):
    """Waits for the replies of the requests that match a pattern."""

    requests: str

    async def run(self, replay: Replay) -> None:
        """Wait."""
        await replay.replies(self.requests)


class UntilRunning(NamedTuple):
    """Waits until matching sidecars together run so many requests."""

    sidecars: str
    least: int

    async def run(self, replay: Replay) -> None:
        """Wait."""

        async def holds() -> bool:
            names = replay.running_sidecars(self.sidecars)
            statuses = [await replay.cluster.status(name) for name in names]
            running = sum(status["scheduler"]["running"] for status in statuses)
            return running >= self.least

        await replay.wait_until(f"{self.least} run at {self.sidecars}", holds)


class UntilWaiting(NamedTuple):
    """Waits until so many offers wait at matching sidecars."""

    sidecars: str
    least: int

    async def run(self, replay: Replay) -> None:
        """Wait."""

        async def holds() -> bool:
            names = replay.running_sidecars(self.sidecars)
            statuses = [await replay.cluster.status(name) for name in names]
            waiting = sum(
                sum(status["scheduler"]["waiting_by_tier"]) for status in statuses
            )
            return waiting >= self.least

        await replay.wait_until(f"{self.least} wait at {self.sidecars}", holds)


class UntilRan(NamedTuple):
    """Waits until the plain services were given so many requests."""

    upstream: str
    least: int

    async def run(self, replay: Replay) -> None:
        """Wait."""

        async def holds() -> bool:
            return await replay.executions(self.upstream) >= self.least

        await replay.wait_until(f"{self.upstream} ran {self.least}", holds)


class UntilEnded(NamedTuple):
    """Waits until a process has ended."""

    process: str

    async def run(self, replay: Replay) -> None:
        """Wait."""
        await replay.cluster.processes[self.process].wait_ended()


class UntilSeen(NamedTuple):
    """Waits until every running entry sees a sidecar as leaving or as in service."""

    sidecar: str
    leaving: bool

    async def run(self, replay: Replay) -> None:
        """Wait."""
        cluster = replay.cluster
        entries = [entry.name for entry in cluster.deployment.entries]
        running = [name for name in entries if cluster.processes[name].is_running]

        async def holds() -> bool:
            statuses = [await cluster.status(name) for name in running]
            return all(self._is_seen(status["sidecars"]) for status in statuses)

        await replay.wait_until(
            f"{self.sidecar} is seen leaving: {self.leaving}", holds
        )

    def _is_seen(self, sidecars: list[dict[str, Any]]) -> bool:
        for item in sidecars:
            if item["instance"] == self.sidecar:
                if self.leaving:
                    return bool(item["leaving"])
                return bool(item["connected"] and not item["leaving"])
        return self.leaving
