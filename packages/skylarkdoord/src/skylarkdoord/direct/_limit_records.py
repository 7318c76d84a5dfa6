"""Records of customers' use in the store, from which limits survive a full restart.

An entry that starts receives the totals of the others. After a power loss of all
entries, only the store still has them. The first live entry by name records the totals
of all entries; an entry that starts reads the records.
"""

import asyncio
import json
import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.clock import boot_time_s
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Row, Rows, Store
from skylarkdoord.direct._members import LIVE_TIMEOUT_S, Members
from skylarkdoord.direct._model import MS_PER_S
from skylarkdoord.direct._store_calls import StoreCalls
from skylarkdoord.direct.exceptions import StoreError

LIMITS = "limits"
# Interval at which it is checked whether a record is due; also the shortest time
# between two records.
CHECK_INTERVAL_S = 0.1
# A new record is due once a customer has used more than this share of its limit since
# the last one.
MAX_UNRECORDED_SHARE = 0.08
# A record is also due after this share of a window. A recent record without a customer
# shows that the customer used little; no record says nothing, as the store may have
# been away.
MAX_RECORD_AGE_SHARE = 0.5
# Customers that used a smaller share of their limit are not recorded.
MIN_RECORDED_SHARE = 0.1
# Most customers in one record, which has to fit into a row; those with the highest
# shares are kept.
MAX_CUSTOMERS = 500
# Records older than this number of windows are removed.
RETENTION_WINDOWS = 10.0


class _Record(NamedTuple):
    """Units that customers used within one window.

    Attributes:
        at_s: Time of the record by the store's monotonic clock, in seconds.
        used: Units used within the window that ended then, by customer.
    """

    at_s: float
    used: dict[str, float]

    def encode(self) -> bytes:
        return json.dumps({"at_s": self.at_s, "used": self.used}).encode()

    @classmethod
    def decode(cls, data: bytes) -> "_Record":
        fields = msgspec.json.decode(data, type=dict[str, float | dict[str, float]])
        at_s, used = fields.get("at_s"), fields.get("used")
        if not isinstance(at_s, float) or not isinstance(used, dict):
            raise ValueError("expected the fields at_s and used")
        return cls(at_s, used)


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
        # The store's clock minus this machine's, in seconds.
        self.clock_offset_s = 0.0
        self.recorded: dict[str, float] = {}
        self.log = events.get_logger("direct.limit_records")
        self.calls = StoreCalls(LIMITS, self.log)

    async def start(self, kernel: Kernel) -> None:
        """Start the task that reads and writes records."""
        self.task = kernel.spawn(self.run(), name="limit_records")

    async def stop(self) -> None:
        """Remove this entry's record, as the remaining entries write their own."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
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
        for row in rows.rows:
            await self.restore_record(row, rows)

    async def restore_record(self, row: Row, rows: Rows) -> None:
        """Apply a record that is within the window; remove one that is long expired.

        Args:
            row: The row of the record.
            rows: The read that returned the row.
        """
        try:
            record = _Record.decode(row.data or b"")
        except ValueError as error:
            self.log.event(
                _events.ROW_REJECTED, table=LIMITS, key=row.key, error=str(error)
            )
            return
        age_s = max(0.0, rows.clock_s - record.at_s)
        window_s = self.quota.bounds.window_s
        if age_s < window_s:
            self.quota.restore(record.used, age_s)
            self.log.event(
                _events.LIMITS_RESTORED,
                source=row.key,
                age_ms=round(age_s * MS_PER_S),
                customers=len(record.used),
            )
        elif age_s > RETENTION_WINDOWS * window_s:
            await self.remove(row.key)

    async def check(self) -> None:
        """Write a record if this entry is the writer and a record is due."""
        if self.is_writer() and self.is_due():
            await self.write()

    def is_writer(self) -> bool:
        """Return whether this entry is the one that writes records.

        An entry that has just started is not, as its totals may be incomplete.
        """
        is_settled = self.clock() - self.started > LIVE_TIMEOUT_S
        return is_settled and self.members.position() == 0

    def on_new_era(self) -> None:
        """Write the record again, as the store may have lost it."""
        self.recorded = {}

    def is_due(self) -> bool:
        """Return whether the record is old or lacks a customer's recent use."""
        if self.clock() - self.tried_at >= self.max_record_age_s():
            return self.has_limited_customers()
        return any(
            self.quota.accounts[name].used_since_start - self.recorded.get(name, 0.0)
            > MAX_UNRECORDED_SHARE * limit
            for name, limit in self.limits().items()
        )

    def max_record_age_s(self) -> float:
        """Return the time after which a record is written again, in seconds."""
        return MAX_RECORD_AGE_SHARE * self.quota.bounds.window_s

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
        limits = self.limits()
        totals = self.quota.totals()
        used_since_start = {
            name: self.quota.accounts[name].used_since_start for name in limits
        }
        record = _Record(self.clock() + self.clock_offset_s, _most_used(totals, limits))
        try:
            clock_s = await self.store.put(LIMITS, self.instance, record.encode())
        except StoreError as error:
            self.calls.on_failure(error)
            return
        self.has_written = True
        self.recorded = used_since_start
        self.on_store_answer(clock_s)

    async def remove(self, key: str) -> None:
        """Remove a record."""
        try:
            await self.store.remove(LIMITS, key)
        except StoreError as error:
            self.calls.on_failure(error)

    def on_store_answer(self, clock_s: float) -> None:
        """Count a successful call and synchronize with the store's clock.

        Args:
            clock_s: The store's clock in its response, in seconds.
        """
        self.calls.on_answer()
        self.clock_offset_s = clock_s - self.clock()


def _most_used(
    totals: Mapping[str, float], limits: Mapping[str, float]
) -> dict[str, float]:
    """Return the use of the customers that used the highest shares of their limits."""
    shares = {name: totals[name] / limit for name, limit in limits.items() if limit}
    most = sorted(shares, key=shares.__getitem__, reverse=True)[:MAX_CUSTOMERS]
    return {name: totals[name] for name in most if shares[name] >= MIN_RECORDED_SHARE}
