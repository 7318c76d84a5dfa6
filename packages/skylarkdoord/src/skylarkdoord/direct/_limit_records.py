"""Records of customers' use in the store, from which limits survive a full restart.

An entry that starts receives the totals of the others. After a power loss of all
entries, only the store still has them. The first live entry by name records the totals
of all entries; an entry that starts reads the records.
"""

import asyncio
import math
from collections.abc import Callable
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.clock import boot_time_s
from skylarkdoor.kernel import Kernel
from skylarkdoor.tasks import end_tasks
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Row, Store
from skylarkdoord.direct._limit_record import LimitRecord, most_used
from skylarkdoord.direct._members import LIVE_TIMEOUT_S, Members
from skylarkdoord.direct._model import MS_PER_S
from skylarkdoord.direct._store_calls import StoreCalls
from skylarkdoord.direct.exceptions import StoreError

LIMITS = "limits"
# Interval at which it is checked whether a record is due.
CHECK_INTERVAL_S = 0.1
# A new record is due once a customer has used more than this share of its limit since
# the last one.
MAX_UNRECORDED_SHARE = 0.08
# A record is also renewed after this time, used or not: a record without a customer
# shows that the customer used little, but only until the time of the record.
RENEWAL_INTERVAL_S = 1.2
# Share of a window within which a record counts as recent at an entry's start. One that
# is older than `RENEWAL_INTERVAL_S` may hide use while the store was away. It counts,
# as otherwise hardly anything would be admitted for a window after each power loss of
# more than two seconds.
MAX_UNRENEWED_SHARE = 1.0
# While the store fails and no customer uses much, a write is tried again after this
# share of a window.
IDLE_RETRY_SHARE = 0.5
# Average number of writes a second, and the number that may follow each other at
# `CHECK_INTERVAL_S`. A single customer's surge up to its limit takes 12 writes.
WRITE_RATE = 3.0
MAX_WRITE_BURST = 12.0
# Records older than this number of windows are removed.
RETENTION_WINDOWS = 10.0


class _RecordedUse(NamedTuple):
    """Units used within a window that ended some time ago.

    Attributes:
        age_s: Time since its end, in seconds.
        units: Units by customer.
        is_recent: Whether more use would have caused a newer record.
    """

    age_s: float
    units: dict[str, float]
    is_recent: bool


class WriteBudget:
    """Bounds the rate of writes, with bursts.

    Args:
        clock: Returns monotonic time in seconds.

    Attributes:
        available: Writes that may follow at once.
        updated_at: Monotonic time of `available`, in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.available = MAX_WRITE_BURST
        self.updated_at = clock()

    def has_write(self) -> bool:
        """Return whether a write is allowed now."""
        now = self.clock()
        earned = (now - self.updated_at) * WRITE_RATE
        self.available = min(MAX_WRITE_BURST, self.available + earned)
        self.updated_at = now
        return self.available >= 1.0

    def use(self) -> None:
        """Count a write."""
        self.available -= 1.0


class LimitRecords:
    """Restores the records at the start and writes one if this entry is the first.

    Args:
        instance: Name of this entry.
        store: The platform's store.
        members: The other entries.
        clock: Returns monotonic time in seconds.
    """

    name = "limit_records"
    requires: tuple[str, ...] = ("entries",)

    def __init__(
        self,
        instance: str,
        store: Store,
        members: Members,
        *,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.instance = instance
        self.store = store
        self.members = members
        self.quota = members.quota
        self.clock = clock
        self.started = clock()
        self.has_written = False
        self.tried_at = -math.inf
        self.is_store_failing = False
        self.writes = WriteBudget(clock)
        # The store's clock minus this machine's, in seconds.
        self.clock_offset_s = 0.0
        self.recorded: dict[str, float] = {}
        self.log = events.get_logger("direct.limit_records")
        self.calls = StoreCalls(LIMITS, self.log)

    async def start(self, kernel: Kernel) -> None:
        """Start the task that reads and writes records."""
        self.task = kernel.supervise(self.run, name="limit_records")

    async def stop(self) -> None:
        """Remove this entry's record, as the remaining entries write their own."""
        await end_tasks([self.task])
        if self.has_written:
            await self.remove(self.instance)

    async def run(self) -> None:
        """Restore the records once, then keep this entry's record up to date."""
        await self.restore()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def restore(self) -> None:
        """Read all records, with retries until the store answers, and apply them."""
        backoff = Backoff(initial_s=0.2, max_s=2.0)
        while True:
            try:
                rows = await self.store.read(LIMITS)
                break
            except StoreError as error:
                self.calls.on_failure(error)
                await asyncio.sleep(backoff.delay_s())
        self.on_store_answer(rows.clock_s)
        records = [
            record
            for row in rows.rows
            if (record := await self.read_record(row, rows.clock_s)) is not None
        ]
        self.apply(records, rows.clock_s)

    async def read_record(self, row: Row, clock_s: float) -> LimitRecord | None:
        """Return a record that is within the window; remove one that is long expired.

        Args:
            row: The row of the record.
            clock_s: The store's clock when it was read, in seconds.
        """
        try:
            record = LimitRecord.decode(row.data or b"")
        except ValueError as error:
            self.log.event(
                _events.ROW_REJECTED, table=LIMITS, key=row.key, error=str(error)
            )
            return None
        age_s = max(0.0, clock_s - record.at_s)
        window_s = self.quota.bounds.window_s
        if age_s > RETENTION_WINDOWS * window_s:
            await self.remove(row.key, row.version)
        if age_s >= window_s:
            return None
        self.log.event(
            _events.LIMITS_RESTORED,
            source=row.key,
            age_ms=round(age_s * MS_PER_S),
            customers=len(record.used),
            is_recent=self.is_recent(age_s),
        )
        return record

    def is_recent(self, age_s: float) -> bool:
        """Return whether what a record doesn't show was not used before the start.

        Args:
            age_s: Age of the record, in seconds.
        """
        unrenewed_s = age_s - (self.clock() - self.started)
        return unrenewed_s <= MAX_UNRENEWED_SHARE * self.quota.bounds.window_s

    def apply(self, records: list[LimitRecord], clock_s: float) -> None:
        """Apply records, the newest use first, as a restored one precedes those before.

        The use in a record counts even if the record is not recent.

        Args:
            records: Records within the window.
            clock_s: The store's clock when they were read, in seconds.
        """
        half_s = self.quota.bounds.window_s / 2
        uses: list[_RecordedUse] = []
        for record in records:
            age_s = max(0.0, clock_s - record.at_s)
            uses += [
                _RecordedUse(age_s, record.recent, self.is_recent(age_s)),
                _RecordedUse(age_s + half_s, record.used, is_recent=False),
            ]
        for use in sorted(uses, key=lambda use: use.age_s):
            self.quota.restore(use.units, use.age_s, is_recent=use.is_recent)

    async def check(self) -> None:
        """Write a record if this entry is the writer and a record is due."""
        if self.is_writer() and self.is_due() and self.writes.has_write():
            await self.write()

    def is_writer(self) -> bool:
        """Return whether this entry is the one that writes records.

        An entry that has just started is not, as its totals may be incomplete. Nor is
        one that does not know the use before its start: its record would show an
        entry that starts after it that customers used little.
        """
        is_settled = self.clock() - self.started > LIVE_TIMEOUT_S
        knows_use = self.quota.covers_window() or self.quota.is_restored
        return is_settled and knows_use and self.members.position() == 0

    def on_new_era(self) -> None:
        """Write the record again, as the store may have lost it."""
        self.recorded = {}

    def is_due(self) -> bool:
        """Return whether the record is old or lacks a customer's recent use."""
        if self.clock() - self.tried_at >= self.renewal_interval_s():
            return self.has_limited_customers()
        return any(
            self.quota.accounts[name].used_since_start - self.recorded.get(name, 0.0)
            > MAX_UNRECORDED_SHARE * limit
            for name, limit in self.limits().items()
        )

    def renewal_interval_s(self) -> float:
        """Return the time after which a record is written without more use."""
        if self.is_store_failing:
            return IDLE_RETRY_SHARE * self.quota.bounds.window_s
        return RENEWAL_INTERVAL_S

    def has_limited_customers(self) -> bool:
        """Return whether the configuration limits a customer."""
        routing = self.members.fleet.routing
        return routing is not None and any(
            customer.rate for customer in routing.config.customers
        )

    def limits(self) -> dict[str, float]:
        """Return the limits of the limited customers that have used units, by name."""
        routing = self.members.fleet.routing
        if routing is None:
            return {}
        return {
            customer.name: self.quota.limit(customer)
            for customer in routing.config.customers
            if customer.rate and customer.name in self.quota.accounts
        }

    async def write(self) -> None:
        """Write the units that customers used within the window."""
        self.tried_at = self.clock()
        self.writes.use()
        limits = self.limits()
        totals = self.quota.totals()
        used_since_start = {
            name: self.quota.accounts[name].used_since_start for name in limits
        }
        record = LimitRecord(
            self.clock() + self.clock_offset_s,
            most_used(totals, limits),
            self.quota.recent_totals(),
        )
        try:
            clock_s = await self.store.put(LIMITS, self.instance, record.encode())
        except StoreError as error:
            self.is_store_failing = True
            self.calls.on_failure(error)
            return
        self.is_store_failing = False
        self.has_written = True
        self.recorded = used_since_start
        self.on_store_answer(clock_s)

    async def remove(self, key: str, version: int | None = None) -> None:
        """Remove a record, unless it has another version than a stated one."""
        try:
            await self.store.remove(LIMITS, key, version)
        except StoreError as error:
            self.calls.on_failure(error)

    def on_store_answer(self, clock_s: float) -> None:
        """Count a successful call and synchronize with the store's clock.

        Args:
            clock_s: The store's clock in its response, in seconds.
        """
        self.calls.on_answer()
        self.clock_offset_s = clock_s - self.clock()
