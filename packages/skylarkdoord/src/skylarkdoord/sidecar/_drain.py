"""Graceful shutdown of a sidecar."""

import asyncio

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import _events
from skylarkdoord.sidecar._scheduler import Scheduler


class Drain:
    """Stops before every other service and waits for what runs.

    Args:
        settings: Settings of this process.
    """

    name = "drain"
    requires: tuple[str, ...] = ("scheduler", "dispatch", "peers", "internal")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.log = events.get_logger("sidecar.drain")

    async def start(self, kernel: Kernel) -> None:
        """Find the scheduler."""
        self.scheduler = kernel.find("scheduler", Scheduler)

    async def stop(self) -> None:
        """Hand back what waits and finish what runs."""
        self.scheduler.leave("shutdown")
        try:
            async with asyncio.timeout(self.settings.limits.drain_timeout_s):
                await self.scheduler.idle.wait()
            self.log.event(_events.DRAIN_ENDED)
        except TimeoutError:
            self.log.event(_events.DRAIN_TIMED_OUT, running=self.scheduler.running)
