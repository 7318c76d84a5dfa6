"""Follows the store's tables and tells the fleet what changes."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Row, Rows, Store
from skylarkdoord.direct._fleet import CONFIG, UPSTREAMS, Fleet
from skylarkdoord.direct._metrics import STORE_CALLS
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.exceptions import HistoryLostError, StoreError

# Bounds how long a connection that has gone silent goes unnoticed.
WATCH_WAIT_S = 4.0
# Entries among which one notices a silent store that soon; with more, each waits
# longer, for what one learns is told to all.
WATCHING_ENTRIES = 4
MAX_WATCH_WAIT_S = 15.0
# Pause after a change, for each entry that watches, so that changes in quick
# succession come in one answer.
PAUSE_PER_ENTRY_S = 0.02
MAX_PAUSE_S = 0.4
# The same for upstreams at entries beyond those that watch closely: these tell them.
TOLD_PAUSE_S = 1.2
# After a failure the store is asked more often, to see it return soon.
WATCH_WAIT_AFTER_FAILURE_S = 1.0
MAX_RETRY_DELAY_S = 0.5


class FleetWatcher:
    """Follows the store's tables.

    Args:
        settings: Settings of this process.
        fleet: Takes what is read.
        store: The platform's store.
        live_entries: Returns how many entries watch the store.
        position: Returns how many live entries come before this one.
    """

    name = "fleet"
    requires: tuple[str, ...] = ()

    def __init__(
        self,
        settings: DirectSettings,
        fleet: Fleet,
        store: Store,
        *,
        live_entries: Callable[[], int] = lambda: 1,
        position: Callable[[], int] = lambda: 0,
    ) -> None:
        self.live_entries = live_entries
        self.position = position
        self.on_changes: Callable[[Iterable[Row]], None] = lambda rows: None
        self.return_after_s = settings.return_after_s
        self.fleet = fleet
        self.store = store
        self.log = events.get_logger("direct.store")

    async def start(self, kernel: Kernel) -> None:
        """Begin to follow both tables."""
        self.tasks = [
            kernel.spawn(self.watch(CONFIG), name="fleet.config"),
            kernel.spawn(self.watch(UPSTREAMS), name="fleet.upstreams"),
            kernel.spawn(self.expire(), name="fleet.expire"),
        ]

    async def stop(self) -> None:
        """Stop following."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.store.close()

    async def expire(self) -> None:
        """Drop upstreams that are overdue, again and again."""
        while True:
            await asyncio.sleep(0.2)
            self.fleet.drop_missing()

    async def watch(self, table: str) -> None:
        """Follow one table until cancelled."""
        backoff = Backoff(most_s=MAX_RETRY_DELAY_S)
        version: int | None = None
        is_down = False
        return_until = 0.0
        while True:
            try:
                rows = await self.next_rows(table, version, is_down=is_down)
                if is_down:
                    is_down = False
                    return_until = time.monotonic() + self.return_after_s
                    self.log.event(_events.STORE_REGAINED, table=table)
                self.apply(table, rows, is_whole=version is None, until=return_until)
                version = max(version or 0, rows.version)
                STORE_CALLS.labels(table, "ok").inc()
                backoff.reset()
                if rows.rows:
                    await asyncio.sleep(self.pause_s(table))
            except HistoryLostError:
                version = None
                STORE_CALLS.labels(table, "history_lost").inc()
            except StoreError as error:
                STORE_CALLS.labels(table, "failed").inc()
                if not is_down:
                    self.log.event(_events.STORE_LOST, table=table, error=str(error))
                is_down = True
                await asyncio.sleep(backoff.delay_s())

    async def next_rows(
        self, table: str, version: int | None, *, is_down: bool
    ) -> Rows:
        """Return what changed since a version, or all rows without one.

        Raises:
            HistoryLostError: The changes are no longer kept.
            StoreError: The store did not answer.
        """
        if version is None:
            return await self.store.read(table)
        return await self.store.changes(table, version, wait_s=self.wait_s(is_down))

    def apply(self, table: str, rows: Rows, *, is_whole: bool, until: float) -> None:
        """Take over rows of a table."""
        if table == CONFIG:
            for row in rows.rows:
                self.fleet.apply_config(row, source="store")
        elif is_whole:
            self.fleet.apply_all(rows, return_until=until)
        else:
            self.fleet.apply_changes(rows, source="store", return_until=until)
            self.on_changes(rows.rows)

    def pause_s(self, table: str) -> float:
        """Return how long to leave the store alone after a change, in seconds."""
        if table == UPSTREAMS and self.position() >= WATCHING_ENTRIES:
            return TOLD_PAUSE_S
        return min(MAX_PAUSE_S, PAUSE_PER_ENTRY_S * self.live_entries())

    def wait_s(self, is_down: bool) -> float:
        """Return how long the store may keep a call that has nothing to tell.

        It varies, so that the entries do not all call at the same time.
        """
        if is_down:
            return WATCH_WAIT_AFTER_FAILURE_S
        crowd = max(1.0, self.live_entries() / WATCHING_ENTRIES)
        return min(MAX_WATCH_WAIT_S, WATCH_WAIT_S * crowd) * random.uniform(0.6, 1.0)
