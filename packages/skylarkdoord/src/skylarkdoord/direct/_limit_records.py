"""Records of customers' use in the store, for when every entry loses its memory.

Entries tell each other what customers use, so one that starts anew learns it from
the others. Where all lose their power at once, only the store still knows. One
entry, the first by name, records the use of all; an entry that starts reads what
was recorded last.
"""

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Row, Rows, Store
from skylarkdoord.direct._members import LIVE_S, Members
from skylarkdoord.direct._metrics import STORE_CALLS
from skylarkdoord.direct._model import MS_PER_S
from skylarkdoord.direct.exceptions import StoreError

LIMITS = "limits"
# How often it is seen whether a record is due, and so the least time between two.
CHECK_INTERVAL_S = 0.1
# Share of its limit by which a customer's use makes a new record due.
UNRECORDED_SHARE = 0.08
# Customers that used less of their limit than this are left out.
LEAST_SHARE = 0.1
# Customers in one record, those that used most; it has to fit into a row.
MAX_CUSTOMERS = 500
# A record of an entry that is gone is removed after so many windows.
KEPT_WINDOWS = 10.0


class _Record(NamedTuple):
    """What customers had used.

    Attributes:
        at_s: The store's steady clock, in seconds.
        used: Units used within the window before, by customer.
    """

    at_s: float
    used: dict[str, float]

    def encode(self) -> bytes:
        return json.dumps({"at_s": self.at_s, "used": self.used}).encode()

    @classmethod
    def decode(cls, data: bytes) -> "_Record":
        said = msgspec.json.decode(data, type=dict[str, float | dict[str, float]])
        at_s, used = said.get("at_s"), said.get("used")
        if not isinstance(at_s, float) or not isinstance(used, dict):
            raise ValueError("expected the fields at_s and used")
        return cls(at_s, used)


def boot_time_s() -> float:
    """Return a steady clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LimitRecords:
    """Reads the records at the start, and writes one where this entry is first.

    Args:
        instance: Name of this entry.
        store: The platform's store.
        members: The other entries.
        clock: Steady time in seconds.
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
        self.is_failing = False
        self.has_written = False
        # The store's clock less this machine's, in seconds.
        self.ahead_s = 0.0
        self.recorded: dict[str, float] = {}
        self.log = events.get_logger("direct.limit_records")

    async def start(self, kernel: Kernel) -> None:
        """Begin to read and write records."""
        self.task = kernel.spawn(self.run(), name="limit_records")

    async def stop(self) -> None:
        """Remove this entry's record: the entries that stay have theirs."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        if self.has_written:
            await self.remove(self.instance)

    async def run(self) -> None:
        """Read the records once, then keep this entry's up to date."""
        await self.restore()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def restore(self) -> None:
        """Take over what was recorded, once the store answers."""
        backoff = Backoff(first_s=0.2, most_s=2.0)
        while True:
            try:
                rows = await self.store.read(LIMITS)
                break
            except StoreError as error:
                self.note_failed(error)
                await asyncio.sleep(backoff.delay_s())
        self.note_answered(rows.clock_s)
        for row in rows.rows:
            await self.take(row, rows)

    async def take(self, row: Row, rows: Rows) -> None:
        """Take over one record; one that says nothing any more is removed."""
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
            self.quota.take_record(record.used, age_s)
            self.log.event(
                _events.LIMITS_RESTORED,
                source=row.key,
                age_ms=round(age_s * MS_PER_S),
                customers=len(record.used),
            )
        elif age_s > KEPT_WINDOWS * window_s:
            await self.remove(row.key)

    async def check(self) -> None:
        """Write a record if this entry has to."""
        if self.is_writer() and self.is_due():
            await self.write()

    def is_writer(self) -> bool:
        """Return whether this entry records; one that just started may know less."""
        is_settled = self.clock() - self.started > LIVE_S
        return is_settled and self.members.position() == 0

    def is_due(self) -> bool:
        """Return whether a customer used much that is not recorded."""
        return any(
            self.quota.accounts[name].added - self.recorded.get(name, 0.0)
            > UNRECORDED_SHARE * limit
            for name, limit in self.limits().items()
        )

    def limits(self) -> dict[str, float]:
        """Return the limits of the customers that used something."""
        routing = self.members.fleet.routing
        if routing is None:
            return {}
        return {
            customer.name: self.quota.limit(customer)
            for customer in routing.config.customers
            if customer.rate and customer.name in self.quota.accounts
        }

    async def write(self) -> None:
        """Record what customers used within the window."""
        limits = self.limits()
        totals = self.quota.totals()
        added = {name: self.quota.accounts[name].added for name in limits}
        record = _Record(self.clock() + self.ahead_s, _most_used(totals, limits))
        try:
            clock_s = await self.store.put(LIMITS, self.instance, record.encode())
        except StoreError as error:
            self.note_failed(error)
            return
        self.has_written = True
        self.recorded = added
        self.note_answered(clock_s)

    async def remove(self, key: str) -> None:
        """Remove a record."""
        try:
            await self.store.remove(LIMITS, key)
        except StoreError as error:
            self.note_failed(error)

    def note_failed(self, error: StoreError) -> None:
        """Log that the store stopped answering."""
        STORE_CALLS.labels(LIMITS, "failed").inc()
        if not self.is_failing:
            self.log.event(_events.STORE_LOST, table=LIMITS, error=str(error))
        self.is_failing = True

    def note_answered(self, clock_s: float) -> None:
        """Learn the store's clock from an answer."""
        STORE_CALLS.labels(LIMITS, "ok").inc()
        self.ahead_s = clock_s - self.clock()
        if self.is_failing:
            self.log.event(_events.STORE_REGAINED, table=LIMITS)
        self.is_failing = False


def _most_used(
    totals: Mapping[str, float], limits: Mapping[str, float]
) -> dict[str, float]:
    """Return the use of the customers that used most of their limits."""
    shares = {name: totals[name] / limit for name, limit in limits.items() if limit}
    most = sorted(shares, key=shares.__getitem__, reverse=True)[:MAX_CUSTOMERS]
    return {name: totals[name] for name in most if shares[name] >= LEAST_SHARE}
