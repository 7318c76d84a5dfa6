"""Reads of the settings in the platform: the table, and the snapshot at the start."""

import asyncio
import random
import time
from typing import Protocol

from skylarkdoor import events
from skylarkdoor.clients import PlatformError, Row
from skylarkdoord import _events
from skylarkdoord.common import _rows as rows
from skylarkdoord.common import _snapshot as snapshot
from skylarkdoord.common._platform import Platform

POLL_INTERVAL_S = 8.0
RETRY_INTERVAL_S = 1.0
PEER_GRACE_S = 1.0
FULL_READ_INTERVAL_S = 900.0


class SettingsSink(Protocol):
    """Takes rows and tells what it has taken."""

    seen: dict[str, int]

    def offer_row(self, row: Row) -> None:
        """Apply a row of the table if it is valid and newer."""

    def offer(self, path: str, row: rows.SettingsRow) -> None:
        """Apply a settings row if it is valid and newer."""


class SettingsPoll:
    """Makes sure that no accepted change is missed, at the cost of one small read.

    Each accepted change raises one subtree's revision by one and writes the row
    of changes once. So the sum of all revisions and the version of that row grow
    alike, and a process that knows their difference sees from the row alone
    whether it holds every change.

    Args:
        platform: The platform's clients.
        sink: Takes the rows.
    """

    def __init__(self, platform: Platform, sink: SettingsSink) -> None:
        self.platform = platform
        self.sink = sink
        self.offset: int | None = None
        self.full_read_at = 0.0
        self.log = events.get_logger("settings.poll")

    async def run(self) -> None:
        """Poll again and again; start from the snapshot if the table fails."""
        needs_snapshot = True
        while True:
            pause = POLL_INTERVAL_S
            try:
                await self.check()
                needs_snapshot = False
            except PlatformError as error:
                self.log.event(_events.SETTINGS_POLL_FAILED, error=str(error))
                pause = RETRY_INTERVAL_S if needs_snapshot else POLL_INTERVAL_S
                if needs_snapshot:
                    needs_snapshot = not await self.read_snapshot()
            await asyncio.sleep(random.uniform(pause / 2, pause))

    async def check(self) -> None:
        """Read the row of changes, and everything if something is missing.

        Raises:
            PlatformError: The table cannot be read.
        """
        count = await self._count()
        if self._holds(count):
            return
        if self.offset is not None:
            # What was just accepted is on its way from the peers.
            await asyncio.sleep(PEER_GRACE_S)
            if self._holds(count):
                return
        await self.read_all()

    async def read_all(self) -> None:
        """Read every subtree.

        Raises:
            PlatformError: The table cannot be read.
        """
        count = await self._count()
        listed = await self.platform.table.list(f"{rows.SETTINGS_PREFIX}/")
        for row in listed.rows:
            self.sink.offer_row(row)
        self.offset = sum(self.sink.seen.values()) - count
        interval = random.uniform(0.5, 1.0) * FULL_READ_INTERVAL_S
        self.full_read_at = time.monotonic() + interval

    async def read_snapshot(self) -> bool:
        """Take over the snapshot in the object store; returns whether there is one."""
        try:
            stored = await self.platform.objects.get(snapshot.KEY)
        except PlatformError as error:
            self.log.event(_events.SETTINGS_POLL_FAILED, error=str(error))
            return False
        for path, row in snapshot.decode(stored).items():
            self.sink.offer(path, row)
        return True

    async def _count(self) -> int:
        row = await self.platform.table.get(rows.CHANGE_COUNTER_KEY)
        return 0 if row is None else row.version

    def _holds(self, count: int) -> bool:
        if self.offset is None or time.monotonic() >= self.full_read_at:
            return False
        return count + self.offset <= sum(self.sink.seen.values())
