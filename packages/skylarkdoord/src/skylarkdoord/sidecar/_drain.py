"""Graceful shutdown of a sidecar."""

import asyncio

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import _events
from skylarkdoord.common import DrainState, InternalServer
from skylarkdoord.common import _drain_state as drain_state
from skylarkdoord.sidecar._scheduler import Scheduler


class Drain:
    """Drains the sidecar before the other services are stopped.

    Args:
        settings: Settings of this process.
    """

    name = "drain"
    requires: tuple[str, ...] = ("scheduler", "dispatch", "peers", "internal")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.log = events.get_logger("sidecar.drain")

    async def start(self, kernel: Kernel) -> None:
        """Look up the services to drain."""
        self.scheduler = kernel.find("scheduler", Scheduler)
        self.drain_state = kernel.find("departure", DrainState)
        self.internal = kernel.find("internal", InternalServer)

    async def stop(self) -> None:
        """Refuse waiting offers and wait until running requests are answered.

        The wait is limited by the setting `drain_timeout_s`.
        """
        self.drain_state.start_drain(drain_state.SHUTDOWN)
        try:
            async with asyncio.timeout(self.settings.limits.drain_timeout_s):
                await self.scheduler.idle.wait()
                await self.internal.finish_responses()
            self.log.event(_events.DRAIN_ENDED)
        except TimeoutError:
            self.log.event(_events.DRAIN_TIMED_OUT, running=self.scheduler.running)
