"""Injects the random faults of the soak test."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

from skylarkdoor_bench._launcher import Cluster

# Range of the pause between the starts of two faults.
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 2.5
# Range of the duration of a fault.
MIN_FAULT_S = 0.2
MAX_FAULT_S = 5.0
TABLE_MODES = ("down", "closed", "hang", "slow", "late", "lost_ack", "stale")
# Maximum delay of answers in the platform's fault modes that delay them.
MAX_DELAY_S = 1.0
DRAIN_TIMEOUT_S = 30.0

Fault = Callable[[], Awaitable[None]]


class FaultInjector:
    """Injects random faults, which may overlap.

    Args:
        cluster: The deployment.
        rng: Random number generator.
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
            "stop sidecar": lambda: self.stop_gracefully(self.sidecars),
            "stop entry": lambda: self.stop_gracefully(self.entries),
            "leave": self.list_as_leaving,
            "table": self.break_table,
            "list": lambda: self.break_platform_service("list"),
            "objects": lambda: self.break_platform_service("objects"),
            "cut stream": self.cut_stream,
            "straggler": self.slow_engine,
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
        """Return the number of faults of each kind as lines of text."""
        counts = ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items()))
        return [f"faults: {counts}"]

    async def run(self, stop: asyncio.Event) -> None:
        """Inject faults until `stop` is set, then wait for the active ones to end."""
        async with asyncio.TaskGroup() as group:
            while not stop.is_set():
                name = self.rng.choice(list(self.faults))
                self.counts[name] += 1
                group.create_task(self._do(self.faults[name]))
                await asyncio.sleep(self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def clear(self) -> None:
        """Remove all faults of the platform and the slowdown of all engines."""
        for service in ("table", "list", "objects"):
            await self.cluster.platform.fault(service, "ok")
        for engine in self.engines:
            await self.cluster.upstream_fault(engine, slow_factor=1.0)

    async def _do(self, fault: Fault) -> None:
        await fault()

    def _reserve(self, names: list[str]) -> str | None:
        """Reserve a random process for a fault.

        Returns:
            The name of the process, or None if fewer than two processes have no
            fault, so that one of each kind always keeps running.
        """
        free = [name for name in names if name not in self.busy]
        if len(free) < 2:
            return None
        name = self.rng.choice(free)
        self.busy.add(name)
        return name

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self.rng.uniform(MIN_FAULT_S, MAX_FAULT_S))

    async def kill(self, names: list[str]) -> None:
        """Kill a process and restart it after a random time."""
        name = self._reserve(names)
        if name is None:
            return
        try:
            await self.cluster.processes[name].kill()
            await self._wait_fault_duration()
            await self.cluster.restart(name)
        finally:
            self.busy.discard(name)

    async def freeze(self, names: list[str]) -> None:
        """Suspend a process and resume it after a random time."""
        name = self._reserve(names)
        if name is None:
            return
        try:
            self.cluster.processes[name].pause()
            await self._wait_fault_duration()
            self.cluster.processes[name].resume()
        finally:
            self.busy.discard(name)

    async def stop_gracefully(self, names: list[str]) -> None:
        """Shut a process down gracefully and restart it after a random time."""
        name = self._reserve(names)
        if name is None:
            return
        try:
            process = self.cluster.processes[name]
            await process.terminate(timeout_s=DRAIN_TIMEOUT_S)
            await self._wait_fault_duration()
            await self.cluster.restart(name)
        finally:
            self.busy.discard(name)

    async def list_as_leaving(self) -> None:
        """List a sidecar as leaving, and as live again after a random time."""
        name = self._reserve(self.sidecars)
        if name is None:
            return
        try:
            await self.cluster.platform.set_state(name, "leaving")
            await self._wait_fault_duration()
            await self.cluster.platform.set_state(name, "live")
        finally:
            self.busy.discard(name)

    async def break_table(self) -> None:
        """Inject a random fault of the table."""
        mode = self.rng.choice(TABLE_MODES)
        if mode == "lost_ack":
            count = self.rng.randint(1, 5)
            await self.cluster.platform.fault("table", mode, count=count)
            return
        await self.break_platform_service("table", mode=mode)

    async def break_platform_service(self, service: str, *, mode: str = "down") -> None:
        """Inject a fault of one of the platform's services for a random time."""
        if service in self.busy:
            return
        self.busy.add(service)
        try:
            delay_s = self.rng.uniform(0, MAX_DELAY_S)
            await self.cluster.platform.fault(service, mode, delay_s=delay_s)
            await self._wait_fault_duration()
            await self.cluster.platform.fault(service, "ok")
        finally:
            self.busy.discard(service)

    async def cut_stream(self) -> None:
        """Make an engine cut its next stream."""
        await self._upstream(self.engines, cut_after_chunks=self.rng.randint(0, 20))

    async def slow_engine(self) -> None:
        """Slow down an engine for a random time."""
        name = self._reserve(self.engines)
        if name is None:
            return
        try:
            await self.cluster.upstream_fault(name, slow_factor=8.0)
            await self._wait_fault_duration()
            await self.cluster.upstream_fault(name, slow_factor=1.0)
        finally:
            self.busy.discard(name)

    async def cut_service(self) -> None:
        """Make a service execute its next requests and cut the answers."""
        services = [n for n in self.cluster.upstream_urls if n.startswith("registry")]
        await self._upstream(services, mode="cut", count=self.rng.randint(1, 3))

    async def _upstream(self, names: list[str], **settings: object) -> None:
        free = [name for name in names if name not in self.busy]
        if free:
            await self.cluster.upstream_fault(self.rng.choice(free), **settings)
