"""Faults of the randomised run."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

from skylarkdoor_bench._launcher import Cluster

LEAST_PAUSE_S = 0.3
MOST_PAUSE_S = 2.5
LEAST_LENGTH_S = 0.2
MOST_LENGTH_S = 5.0
TABLE_MODES = ("down", "closed", "hang", "slow", "late", "lost_ack", "stale")
MOST_DELAY_S = 1.0
DRAIN_TIMEOUT_S = 30.0

Fault = Callable[[], Awaitable[None]]


class FaultInjector:
    """Does one random fault after another, often several at once.

    Args:
        cluster: The deployment.
        rng: Source of every choice.
    """

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.counts: Counter[str] = Counter()
        self.busy: set[str] = set()
        self.faults: dict[str, Fault] = {
            "kill sidecar": lambda: self.kill(self.sidecars),
            "kill entry": lambda: self.kill(self.entries),
            "kill engine": lambda: self.kill(self.engines),
            "freeze sidecar": lambda: self.freeze(self.sidecars),
            "freeze entry": lambda: self.freeze(self.entries),
            "freeze engine": lambda: self.freeze(self.engines),
            "stop sidecar": lambda: self.stop(self.sidecars),
            "stop entry": lambda: self.stop(self.entries),
            "leave": self.leave,
            "table": self.table,
            "list": lambda: self.platform("list"),
            "objects": lambda: self.platform("objects"),
            "cut stream": self.cut_stream,
            "straggler": self.straggler,
            "cut service": self.cut_service,
        }

    @property
    def sidecars(self) -> list[str]:
        """Names of the sidecars."""
        return [n for n in self.cluster.daemons if n.startswith("sidecar")]

    @property
    def entries(self) -> list[str]:
        """Names of the entries."""
        return [n for n in self.cluster.daemons if n.startswith("entry")]

    @property
    def engines(self) -> list[str]:
        """Names of the engines."""
        return [n for n in self.cluster.upstream_urls if n.startswith("engine")]

    def summary(self) -> list[str]:
        """Return the counts as lines."""
        told = ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items()))
        return [f"faults: {told}"]

    async def run(self, stop: asyncio.Event) -> None:
        """Do faults until told to stop, then wait for those that last."""
        async with asyncio.TaskGroup() as group:
            while not stop.is_set():
                name = self.rng.choice(list(self.faults))
                self.counts[name] += 1
                group.create_task(self._do(self.faults[name]))
                await asyncio.sleep(self.rng.uniform(LEAST_PAUSE_S, MOST_PAUSE_S))

    async def clear(self) -> None:
        """End every fault of the platform and of the upstreams."""
        for service in ("table", "list", "objects"):
            await self.cluster.platform.fault(service, "ok")
        for engine in self.engines:
            await self.cluster.upstream_fault(engine, slow_factor=1.0)

    async def _do(self, fault: Fault) -> None:
        await fault()

    def _take(self, names: list[str]) -> str | None:
        """Return a process that no other fault holds; the last one is spared."""
        free = [name for name in names if name not in self.busy]
        if len(free) < 2:
            return None
        name = self.rng.choice(free)
        self.busy.add(name)
        return name

    async def _last(self) -> None:
        await asyncio.sleep(self.rng.uniform(LEAST_LENGTH_S, MOST_LENGTH_S))

    async def kill(self, names: list[str]) -> None:
        """Kill a process and start it again."""
        name = self._take(names)
        if name is None:
            return
        try:
            await self.cluster.processes[name].kill()
            await self._last()
            await self.cluster.restart(name)
        finally:
            self.busy.discard(name)

    async def freeze(self, names: list[str]) -> None:
        """Pause a process and let it go on."""
        name = self._take(names)
        if name is None:
            return
        try:
            self.cluster.processes[name].pause()
            await self._last()
            self.cluster.processes[name].resume()
        finally:
            self.busy.discard(name)

    async def stop(self, names: list[str]) -> None:
        """Stop a process in order and start it again."""
        name = self._take(names)
        if name is None:
            return
        try:
            process = self.cluster.processes[name]
            await process.terminate(timeout_s=DRAIN_TIMEOUT_S)
            await self._last()
            await self.cluster.restart(name)
        finally:
            self.busy.discard(name)

    async def leave(self) -> None:
        """List a sidecar as leaving, then as live again."""
        name = self._take(self.sidecars)
        if name is None:
            return
        try:
            await self.cluster.platform.set_state(name, "leaving")
            await self._last()
            await self.cluster.platform.set_state(name, "live")
        finally:
            self.busy.discard(name)

    async def table(self) -> None:
        """Break the table in one of the ways that it may fail."""
        mode = self.rng.choice(TABLE_MODES)
        if mode == "lost_ack":
            count = self.rng.randint(1, 5)
            await self.cluster.platform.fault("table", mode, count=count)
            return
        await self.platform("table", mode=mode)

    async def platform(self, service: str, *, mode: str = "down") -> None:
        """Break one of the platform's services for a time."""
        if service in self.busy:
            return
        self.busy.add(service)
        try:
            delay_s = self.rng.uniform(0, MOST_DELAY_S)
            await self.cluster.platform.fault(service, mode, delay_s=delay_s)
            await self._last()
            await self.cluster.platform.fault(service, "ok")
        finally:
            self.busy.discard(service)

    async def cut_stream(self) -> None:
        """Have an engine cut its next stream."""
        await self._upstream(self.engines, cut_after_chunks=self.rng.randint(0, 20))

    async def straggler(self) -> None:
        """Slow an engine for a time."""
        name = self._take(self.engines)
        if name is None:
            return
        try:
            await self.cluster.upstream_fault(name, slow_factor=8.0)
            await self._last()
            await self.cluster.upstream_fault(name, slow_factor=1.0)
        finally:
            self.busy.discard(name)

    async def cut_service(self) -> None:
        """Have a service run its next requests and cut the answers."""
        services = [n for n in self.cluster.upstream_urls if n.startswith("registry")]
        await self._upstream(services, mode="cut", count=self.rng.randint(1, 3))

    async def _upstream(self, names: list[str], **settings: object) -> None:
        free = [name for name in names if name not in self.busy]
        if free:
            await self.cluster.upstream_fault(self.rng.choice(free), **settings)
