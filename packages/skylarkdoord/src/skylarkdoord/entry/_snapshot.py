"""Keeps the snapshot of the settings in the object store up to date."""

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

FIRST_CHECK_S = 30.0
CHECK_INTERVAL_S = 600.0
RETRY_INTERVAL_S = 2.0
GATHER_S = 0.2


class SnapshotWriter:
    """Writes the snapshot when it lacks something that is in force here.

    The entry that accepted a change writes at once; every entry looks from time
    to time, in case that one ended first. A write holds only if the snapshot is
    as it was read and keeps the higher revision of each subtree, so none goes
    back.
    """

    name = "snapshot"
    requires: tuple[str, ...] = ("platform", "settings")

    def __init__(self) -> None:
        self.due = asyncio.Event()
        self.log = events.get_logger("entry.snapshot")

    async def start(self, kernel: Kernel) -> None:
        """Begin to keep the snapshot."""
        self.objects = kernel.find("platform", Platform).objects
        self.settings = kernel.find("settings", SettingsService)
        self.task = kernel.spawn(self.run(), name="snapshot")

    async def stop(self) -> None:
        """Write what is due and end."""
        self.task.cancel()
        if self.due.is_set():
            await self.update()

    def request(self) -> None:
        """Have the snapshot written soon; returns at once."""
        self.due.set()

    async def run(self) -> None:
        """Update the snapshot on request and from time to time."""
        pause = random.uniform(0, FIRST_CHECK_S)
        while True:
            await self._wait(pause)
            await asyncio.sleep(GATHER_S)
            if await self.update():
                pause = random.uniform(0.5, 1.0) * CHECK_INTERVAL_S
            else:
                pause = random.uniform(0.5, 1.0) * RETRY_INTERVAL_S

    async def update(self) -> bool:
        """Bring the snapshot up to date; returns whether it is."""
        self.due.clear()
        try:
            stored = await self._read()
            held = snapshot.decode(stored.data) if stored else {}
            merged = snapshot.merge(held, self.settings.rows)
            if merged != held:
                etag = stored.etag if stored else None
                data = snapshot.encode(merged)
                await self.objects.replace(snapshot.KEY, data, etag=etag)
            return True
        except ObjectChanged:
            self.due.set()
            return False
        except ObjectsUnavailable as error:
            self.log.event(_events.SNAPSHOT_FAILED, error=str(error))
            return False

    async def _read(self) -> StoredObject | None:
        try:
            return await self.objects.read(snapshot.KEY)
        except ObjectAbsent:
            return None

    async def _wait(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.due.wait()
        except TimeoutError:
            return
