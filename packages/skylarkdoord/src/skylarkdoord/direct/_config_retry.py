"""Reads a configuration again that this entry could not decode.

The watch returns a row once, and contents that failed are not decoded again when they
come from another entry. What made the decoder fail, such as a lack of memory, may have
passed since.
"""

import asyncio

from skylarkdoor.backoff import Backoff
from skylarkdoor.kernel import Kernel
from skylarkdoor.tasks import end_tasks
from skylarkdoord.direct._adapter import Store
from skylarkdoord.direct._fleet import CONFIG, Fleet
from skylarkdoord.direct._metrics import STORE_CALLS
from skylarkdoord.direct.exceptions import StoreError

FIRST_DELAY_S = 1.0
# Bounds the calls of all entries together: if none can decode it, all of them retry.
MAX_DELAY_S = 30.0


class ConfigRetry:
    """Reads the configuration again while a newer one is rejected.

    Args:
        fleet: Holds the configuration in force.
        store: The platform's store.

    Attributes:
        rejected: Set when a configuration was rejected.
    """

    name = "config_retry"
    requires: tuple[str, ...] = ("fleet",)

    def __init__(self, fleet: Fleet, store: Store) -> None:
        self.fleet = fleet
        self.store = store
        self.rejected = asyncio.Event()
        fleet.on_rejected = self.rejected.set

    async def start(self, kernel: Kernel) -> None:
        """Start to wait for rejected configurations."""
        self.task = kernel.supervise(self.run, name="config_retry")

    async def stop(self) -> None:
        """Stop reading."""
        await end_tasks([self.task])

    async def run(self) -> None:
        """Read the configuration again whenever one is rejected, until cancelled."""
        while True:
            await self.rejected.wait()
            await self.retry()
            self.rejected.clear()

    async def retry(self) -> None:
        """Read the configuration until none that is newer is rejected."""
        backoff = Backoff(initial_s=FIRST_DELAY_S, max_s=MAX_DELAY_S)
        while self.fleet.has_rejected_newer():
            await asyncio.sleep(backoff.delay_s())
            try:
                rows = await self.store.read(CONFIG)
            except StoreError:
                STORE_CALLS.labels(CONFIG, "failed").inc()
                continue
            STORE_CALLS.labels(CONFIG, "ok").inc()
            for row in rows.rows:
                self.fleet.retry_config(row, source="store")
