"""Polls the settings in the table; reads the snapshot if the table fails at start."""

import asyncio
import random
import time
from typing import Protocol

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.clients import PlatformError, Row
from skylarkdoord import _events
from skylarkdoord.common import _rows as rows
from skylarkdoord.common import _snapshot as snapshot
from skylarkdoord.common._platform import Platform

POLL_INTERVAL_S = 8.0
# Interval as long as neither the table nor the snapshot could be read.
RETRY_INTERVAL_S = 1.0
# Time for peers to send a recent change before it is read from the table.
PEER_UPDATE_WAIT_S = 1.0
FULL_READ_INTERVAL_S = 900.0
# Longest interval at which rejected or outdated rows are read again. Bounds the reads
# of all processes together: if none can use a row, all of them retry.
MAX_RETRY_INTERVAL_S = 300.0
# Shortest interval at which all is read again because the table is an older copy. It
# bounds the reads while answers come from replicas that are behind by turns.
OLDER_COPY_INTERVAL_S = 60.0

# The change counter before the first change.
NO_CHANGES = Row(rows.CHANGE_COUNTER_KEY, b"", revision=0, version=0)


class SettingsSink(Protocol):
    """Receives settings rows and records the highest revision of each subtree."""

    highest_revisions: dict[str, int]
    rejected_revisions: dict[str, set[int]]

    def apply_table_row(self, row: Row) -> bool:
        """Apply a row read from the table if it is valid and newer.

        Returns:
            Whether the row could be decoded.
        """

    def apply_row(self, path: str, row: rows.SettingsRow) -> None:
        """Apply a settings row if it is valid and newer."""


class SettingsPoll:
    """Detects missed changes with one small read of the table per poll.

    Each accepted change increases one subtree's revision by one and writes the
    change counter once. The sum of all revisions and the version of the counter
    therefore increase together. After one full read their difference is known, and
    the counter alone shows whether this process has every change.

    Rows that were rejected do not count as missing. While there are any, or the rows
    are older than the counter, all subtrees are read again with back-off.

    A counter that went back, or changed without being increased, is of an older copy
    of the table. Then the difference is unknown until all is read again.

    Args:
        platform: The platform's clients.
        sink: Receives the rows.

    Attributes:
        revision_offset: Difference between the sum of the revisions and the version of
            the counter; None if it is unknown.
        counter: The change counter as last read.
        is_incomplete: Whether the last full read returned rows that can't be decoded,
            or was answered by a replica that is behind.
    """

    def __init__(self, platform: Platform, sink: SettingsSink) -> None:
        self.platform = platform
        self.sink = sink
        self.revision_offset: int | None = None
        self.next_full_read_at = 0.0
        self.counter = NO_CHANGES
        self.next_older_copy_at = 0.0
        self.is_incomplete = False
        self.retries = Backoff(initial_s=POLL_INTERVAL_S, max_s=MAX_RETRY_INTERVAL_S)
        self.next_retry_at = 0.0
        self.log = events.get_logger("settings.poll")

    async def run(self) -> None:
        """Poll until cancelled; use the snapshot if the table fails at start."""
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
        """Read the change counter, and all subtrees if a change is missing.

        Raises:
            PlatformError: The table cannot be read.
        """
        counter = await self._read_counter()
        self._compare_counter(counter)
        count = counter.version
        if self._has_all_changes(count):
            return
        if self.revision_offset is not None:
            # Peers normally send a change that was just accepted.
            await asyncio.sleep(PEER_UPDATE_WAIT_S)
            if self._has_all_changes(count):
                return
        await self.read_all()

    async def read_all(self) -> None:
        """Read and apply all subtrees.

        Raises:
            PlatformError: The table cannot be read.
        """
        counter = await self._read_counter()
        listed = await self.platform.table.list(f"{rows.SETTINGS_PREFIX}/")
        were_decoded = [self.sink.apply_table_row(row) for row in listed.rows]
        is_outdated = listed.revision < counter.revision
        self.is_incomplete = is_outdated or not all(were_decoded)
        revisions = sum(self.sink.highest_revisions.values())
        self.revision_offset = revisions - counter.version
        self.counter = counter
        self._plan_full_reads()

    async def read_snapshot(self) -> bool:
        """Apply the snapshot in the object store; return whether it could be read."""
        try:
            stored = await self.platform.objects.get(snapshot.KEY)
        except PlatformError as error:
            self.log.event(_events.SETTINGS_POLL_FAILED, error=str(error))
            return False
        read = snapshot.decode(stored)
        for path, reason in read.rejected.items():
            self.log.event(_events.SETTINGS_REJECTED, path=path, error=reason)
        for path, row in read.rows.items():
            self.sink.apply_row(path, row)
        return True

    async def _read_counter(self) -> Row:
        row = await self.platform.table.get(rows.CHANGE_COUNTER_KEY)
        return NO_CHANGES if row is None else row

    def _compare_counter(self, counter: Row) -> None:
        """Forget the difference if the counter does not continue the previous one."""
        if counter.version > self.counter.version or counter == self.counter:
            self.counter = counter
            return
        now = time.monotonic()
        if now < self.next_older_copy_at:
            return
        self.log.event(
            _events.SETTINGS_TABLE_OLDER,
            changes=counter.version,
            known=self.counter.version,
        )
        self.counter = counter
        self.next_older_copy_at = now + OLDER_COPY_INTERVAL_S
        self.revision_offset = None

    def _has_all_changes(self, count: int) -> bool:
        if self.revision_offset is None or self._is_full_read_due():
            return False
        return count + self.revision_offset <= sum(self.sink.highest_revisions.values())

    def _is_full_read_due(self) -> bool:
        now = time.monotonic()
        is_retry_due = self._needs_retry() and now >= self.next_retry_at
        return is_retry_due or now >= self.next_full_read_at

    def _needs_retry(self) -> bool:
        return self.is_incomplete or bool(self.sink.rejected_revisions)

    def _plan_full_reads(self) -> None:
        now = time.monotonic()
        interval = random.uniform(0.5, 1.0) * FULL_READ_INTERVAL_S
        self.next_full_read_at = now + interval
        if self._needs_retry():
            self.next_retry_at = now + self.retries.delay_s()
        else:
            self.retries.reset()
