"""Lets requests wait for the configuration after the event loop stood still.

While the loop stands still, requests and news of the configuration wait in sockets, and
requests would be admitted first.
"""

import asyncio

from skylarkdoor.grace_timeout import GraceTimeout
from skylarkdoord.direct._config_age import ConfigAge

# Time in which the store answers a call, with a margin for the network.
MAX_WAIT_S = 0.2


class CatchUp:
    """Lets requests wait until an old configuration is confirmed or replaced.

    They wait for a short time only, and no longer once one has waited in vain, as an
    entry that is cut off serves them by the old one.

    Args:
        age: Tells how old the configuration is.

    Attributes:
        is_cut_off: Whether one has waited in vain since the latest confirmation.
        confirmed: Set at each confirmation.
    """

    def __init__(self, age: ConfigAge) -> None:
        self.age = age
        self.is_cut_off = False
        self.confirmed = asyncio.Event()
        age.on_confirmed = self.on_confirmed

    def on_confirmed(self) -> None:
        """Let requests go on, unless the statement is too old itself."""
        if not self.age.is_stale():
            self.is_cut_off = False
            self.confirmed.set()

    async def wait(self) -> None:
        """Wait until the configuration is not old, or for a short time."""
        if self.is_cut_off or not self.age.is_stale():
            return
        self.confirmed.clear()
        try:
            async with GraceTimeout(MAX_WAIT_S):
                await self.confirmed.wait()
        except TimeoutError:
            self.is_cut_off = self.age.is_stale()
