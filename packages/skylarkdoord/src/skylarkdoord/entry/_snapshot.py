"""Keeps the settings snapshot in the object store up to date."""

import asyncio
import random

from skylarkdoor import events
from skylarkdoor.clients import (
    ObjectAbsent,
    ObjectChanged,
    ObjectsUnavailable,
    StoredObject,
)
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.common import Platform, SettingsService
from skylarkdoord.common import _snapshot as snapshot
from skylarkdoord.common._rows import SettingsRow

# Limits the random delay of the first check after the start.
FIRST_CHECK_S = 30.0
CHECK_INTERVAL_S = 600.0
RETRY_INTERVAL_S = 2.0
# Delay before an update, so that changes in quick succession share one write.
BATCH_DELAY_S = 0.2


class SnapshotWriter:
    """Writes the snapshot when it lacks settings that this process has applied.

    The entry that accepted a change writes at once. All entries check the snapshot
    periodically, in case that entry stopped before its write. A write succeeds
    only if the snapshot has not changed since it was read, and keeps the higher
    revision of each subtree, so no subtree reverts to an older revision.
    """

    name = "snapshot"
    requires: tuple[str, ...] = ("platform", "settings")

    def __init__(self) -> None:
        self.update_due = asyncio.Event()
        self.log = events.get_logger("entry.snapshot")

    async def start(self, kernel: Kernel) -> None:
        """Start the update task."""
        self.objects = kernel.find("platform", Platform).objects
        self.settings = kernel.find("settings", SettingsService)
        self.task = kernel.supervise(self.run, name="snapshot")

    async def stop(self) -> None:
        """Stop the update task and write a pending update."""
        self.task.cancel()
        if self.update_due.is_set():
            await self.update()

    def request(self) -> None:
        """Schedule an update without waiting for it."""
        self.update_due.set()

    async def run(self) -> None:
        """Update the snapshot on request and periodically."""
        pause = random.uniform(0, FIRST_CHECK_S)
        while True:
            await self._wait(pause)
            await asyncio.sleep(BATCH_DELAY_S)
            if await self.update():
                pause = random.uniform(0.5, 1.0) * CHECK_INTERVAL_S
            else:
                pause = random.uniform(0.5, 1.0) * RETRY_INTERVAL_S

    async def update(self) -> bool:
        """Update the snapshot if needed, and return whether it is up to date."""
        self.update_due.clear()
        try:
            stored = await self._read()
            stored_rows = self.decode(stored.data) if stored else {}
            merged = snapshot.merge(stored_rows, self.settings.rows)
            if merged != stored_rows:
                etag = stored.etag if stored else None
                data = snapshot.encode(merged)
                await self.objects.replace(snapshot.KEY, data, etag=etag)
            return True
        except ObjectChanged:
            self.update_due.set()
            return False
        except ObjectsUnavailable as error:
            self.log.event(_events.SNAPSHOT_FAILED, error=str(error))
            return False

    def decode(self, data: bytes) -> dict[str, SettingsRow]:
        """Return the valid rows of a snapshot by path, and log the others."""
        read = snapshot.decode(data)
        for path, error in read.rejected.items():
            self.log.event(_events.SETTINGS_REJECTED, path=path, error=error)
        return read.rows

    async def _read(self) -> StoredObject | None:
        try:
            return await self.objects.read(snapshot.KEY)
        except ObjectAbsent:
            return None

    async def _wait(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.update_due.wait()
        except TimeoutError:
            return
