"""The lease that elects one planner per pool."""

from collections.abc import Callable
from typing import NamedTuple

from skylarkdoor.clients import (
    Absent,
    Condition,
    Put,
    RevisionIs,
    Row,
    Table,
    TableTimeout,
    Txn,
)
from skylarkdoor.clock import boot_time_s
from skylarkdoord.planner._rows import (
    LeaseRow,
    decode_lease,
    encode_lease,
    lease_key,
)
from skylarkdoord.planner.exceptions import SupersededError

LEASE_S = 6.0
LEASE_MARGIN_S = 1.0

Clock = Callable[[], float]


class HeldLease(NamedTuple):
    """A lease that this process holds.

    Attributes:
        row: The lease's row as this process wrote it.
        revision: The row's revision in the table.
        until: Monotonic time until which the holder may act, in seconds.
    """

    row: LeaseRow
    revision: int
    until: float


class _ObservedRow(NamedTuple):
    """A revision of the lease's row and when it was first read.

    Attributes:
        row: The row.
        at: Monotonic time before the read was sent, in seconds.
    """

    row: Row
    at: float


class Lease:
    """Claims and renews the lease by compare-and-set on its row.

    The holder's lease ends `LEASE_S` less a margin after it started the write; a
    candidate waits `LEASE_S` plus the margin after it first read the row. As long
    as monotonic clocks run at nearly the same rate, the holder's term ends before
    a candidate may claim; wall-clock differences do not matter. Every write by the
    holder is also conditioned on the lease's row, so the table rejects a write
    that arrives after another process has claimed the lease.

    Args:
        table: The platform's table.
        pool: The pool's name.
        holder: Name of this process, unique to its incarnation.
        clock: Returns monotonic time that includes time in suspend, in seconds.
    """

    def __init__(
        self, table: Table, pool: str, holder: str, clock: Clock = boot_time_s
    ) -> None:
        self.table = table
        self.key = lease_key(pool)
        self.holder = holder
        self.clock = clock
        self.held: HeldLease | None = None
        self.observed: _ObservedRow | None = None

    @property
    def is_held(self) -> bool:
        """Whether this process may currently act as the planner."""
        return self.held is not None and self.clock() < self.held.until

    @property
    def epoch(self) -> int:
        """The epoch of the latest lease row observed, or 0 if there is none."""
        return (
            0 if self.observed is None else decode_lease(self.observed.row.value).epoch
        )

    def observe(self, row: Row | None, read_at: float) -> None:
        """Record the lease's row as read; rows older than the last one are ignored.

        Args:
            row: The row, or None if it is absent.
            read_at: Monotonic time before the read was sent, in seconds.
        """
        if row is None:
            return
        if self.observed is None or row.revision > self.observed.row.revision:
            self.observed = _ObservedRow(row, read_at)
        if self.held is not None and self.observed.row.revision > self.held.revision:
            self.held = None

    def may_claim(self) -> bool:
        """Return whether the lease has expired, by this process's observations."""
        if self.held is not None:
            return False
        if self.observed is None:
            return True
        if decode_lease(self.observed.row.value).holder == self.holder:
            return True
        return self.clock() >= self.observed.at + LEASE_S + LEASE_MARGIN_S

    async def claim(self) -> bool:
        """Try to become the holder with a new epoch; return whether it succeeded.

        Raises:
            PlatformError: The table did not answer; the claim may have taken effect.
        """
        sent_at = self.clock()
        row = LeaseRow(self.holder, self.epoch + 1, 0)
        return await self._write_lease(row, self._unchanged_condition(), sent_at)

    async def renew(self) -> None:
        """Renew the lease.

        Raises:
            SupersededError: This process no longer holds the lease.
            PlatformError: The table did not answer.
        """
        if self.held is None:
            raise SupersededError(f"{self.holder} does not hold the lease")
        sent_at = self.clock()
        row = self.held.row._replace(renewals=self.held.row.renewals + 1)
        condition = RevisionIs(self.key, self.held.revision)
        if not await self._write_lease(row, condition, sent_at):
            self.held = None
            raise SupersededError(f"{self.holder} lost the lease")

    async def write(self, write: Put) -> None:
        """Write a row on the condition that this process still holds the lease.

        Raises:
            SupersededError: This process no longer holds the lease.
            PlatformError: The table did not answer.
        """
        if self.held is None:
            raise SupersededError(f"{self.holder} does not hold the lease")
        condition = RevisionIs(self.key, self.held.revision)
        (result,) = await self.table.commit([Txn((condition,), (write,))])
        if not result.succeeded:
            self.held = None
            raise SupersededError(f"{self.holder} lost the lease")

    async def _write_lease(
        self, row: LeaseRow, condition: Condition, sent_at: float
    ) -> bool:
        put = Put(self.key, encode_lease(row))
        txn = Txn((condition,), (put,), reads=(self.key,))
        try:
            (result,) = await self.table.commit([txn])
        except TableTimeout:
            # It is unknown whether the write took effect, so the lease counts as
            # lost until the row is read again.
            self.held = None
            raise
        if not result.succeeded:
            for found in result.rows:
                self.observe(found, sent_at)
            return False
        self.held = HeldLease(row, result.revision, sent_at + LEASE_S - LEASE_MARGIN_S)
        written = Row(self.key, put.value, result.revision, 0)
        self.observe(written, sent_at)
        return True

    def _unchanged_condition(self) -> Condition:
        if self.observed is None:
            return Absent(self.key)
        return RevisionIs(self.key, self.observed.row.revision)
