"""The lease of a pool's planner."""

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
from skylarkdoord.planner._rows import (
    LeaseRow,
    decode_lease,
    encode_lease,
    lease_key,
)
from skylarkdoord.planner.exceptions import DeposedError

LEASE_S = 6.0
MARGIN_S = 1.0

Clock = Callable[[], float]


class Held(NamedTuple):
    """A lease that this process holds.

    Attributes:
        row: Its row.
        revision: The row's revision in the table.
        until: Monotonic time up to which the holder may act, in seconds.
    """

    row: LeaseRow
    revision: int
    until: float


class _Seen(NamedTuple):
    row: Row
    at: float


class Lease:
    """Claims and renews the lease by compare-and-set on its row.

    A holder counts the lease from before it sent the write, less a margin; a
    candidate counts from when it first read the row, plus the margin. So two
    clocks that run at nearly the same rate never both allow it, whatever their
    time of day. All that the holder writes is conditioned on the lease's row
    besides, so the table refuses a holder who is late.

    Args:
        table: The platform's table.
        pool: The pool.
        holder: Name of this process, unique to its life.
        clock: Monotonic seconds.
    """

    def __init__(self, table: Table, pool: str, holder: str, clock: Clock) -> None:
        self.table = table
        self.key = lease_key(pool)
        self.holder = holder
        self.clock = clock
        self.held: Held | None = None
        self.seen: _Seen | None = None

    @property
    def is_held(self) -> bool:
        """Whether this process may act as the planner now."""
        return self.held is not None and self.clock() < self.held.until

    @property
    def epoch(self) -> int:
        """The highest epoch known, 0 for none."""
        return 0 if self.seen is None else decode_lease(self.seen.row.value).epoch

    def observe(self, row: Row | None, read_at: float) -> None:
        """Note the lease's row as read; old data changes nothing.

        Args:
            row: The row, or None.
            read_at: Monotonic time before the read was sent.
        """
        if row is None:
            return
        if self.seen is None or row.revision > self.seen.row.revision:
            self.seen = _Seen(row, read_at)
        if self.held is not None and self.seen.row.revision > self.held.revision:
            self.held = None

    def may_claim(self) -> bool:
        """Return whether the holder has been silent for the lease and a margin."""
        if self.held is not None:
            return False
        if self.seen is None:
            return True
        if decode_lease(self.seen.row.value).holder == self.holder:
            return True
        return self.clock() >= self.seen.at + LEASE_S + MARGIN_S

    async def claim(self) -> bool:
        """Try to become the holder with a new epoch; returns whether it worked.

        Raises:
            PlatformError: The table gave no answer; the claim may have worked.
        """
        sent_at = self.clock()
        row = LeaseRow(self.holder, self.epoch + 1, 0)
        return await self._write(row, self._unchanged(), sent_at)

    async def renew(self) -> None:
        """Prolong the lease held.

        Raises:
            DeposedError: Another process holds it.
            PlatformError: The table gave no answer.
        """
        if self.held is None:
            raise DeposedError(f"{self.holder} holds no lease")
        sent_at = self.clock()
        row = self.held.row._replace(renewals=self.held.row.renewals + 1)
        condition = RevisionIs(self.key, self.held.revision)
        if not await self._write(row, condition, sent_at):
            self.held = None
            raise DeposedError(f"{self.holder} has lost the lease")

    async def write(self, write: Put) -> None:
        """Write a row so long as the lease is held; the table checks it.

        Raises:
            DeposedError: Another process holds the lease.
            PlatformError: The table gave no answer.
        """
        if self.held is None:
            raise DeposedError(f"{self.holder} holds no lease")
        condition = RevisionIs(self.key, self.held.revision)
        (result,) = await self.table.commit([Txn((condition,), (write,))])
        if not result.succeeded:
            self.held = None
            raise DeposedError(f"{self.holder} has lost the lease")

    async def _write(self, row: LeaseRow, condition: Condition, sent_at: float) -> bool:
        put = Put(self.key, encode_lease(row))
        txn = Txn((condition,), (put,), reads=(self.key,))
        try:
            (result,) = await self.table.commit([txn])
        except TableTimeout:
            # The row read next tells; until then nothing may rest on it.
            self.held = None
            raise
        if not result.succeeded:
            for found in result.rows:
                self.observe(found, sent_at)
            return False
        self.held = Held(row, result.revision, sent_at + LEASE_S - MARGIN_S)
        written = Row(self.key, put.value, result.revision, 0)
        self.observe(written, sent_at)
        return True

    def _unchanged(self) -> Condition:
        if self.seen is None:
            return Absent(self.key)
        return RevisionIs(self.key, self.seen.row.revision)
