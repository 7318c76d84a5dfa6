"""Decides which incarnation of a sidecar may send orders to its engine."""

from collections.abc import Callable

from skylarkdoor.clients import Absent, Condition, Put, RevisionIs, Table, Txn
from skylarkdoord.planner.exceptions import SupersededError

Clock = Callable[[], float]


def owner_key(pool: str, instance: str) -> str:
    """Return the key of the row that names the owner of an engine."""
    return f"engine-owner/{pool}/{instance}"


class Ownership:
    """The row that names the latest incarnation of the sidecar beside an engine.

    Each incarnation writes the row once, when it starts, and reads it before it
    sends orders. An earlier incarnation that resumes after a pause finds another
    name in the row and sends no orders.

    Args:
        table: The platform's table.
        key: The row's key.
        holder: Name of this incarnation of the process.
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, table: Table, key: str, holder: str, clock: Clock) -> None:
        self.table = table
        self.key = key
        self.holder = holder
        self.clock = clock
        self.claimed_at: float | None = None

    async def claim(self) -> None:
        """Write the row, unless this incarnation has already done so.

        Raises:
            SupersededError: Another incarnation wrote the row at the same time.
            PlatformError: The table did not answer.
        """
        if self.claimed_at is not None:
            return
        row = await self.table.get(self.key)
        if row is None or row.value.decode() != self.holder:
            condition: Condition = Absent(self.key)
            if row is not None:
                condition = RevisionIs(self.key, row.revision)
            put = Put(self.key, self.holder.encode())
            (result,) = await self.table.commit([Txn((condition,), (put,))])
            if not result.succeeded:
                raise SupersededError(f"{self.key} was written by another incarnation")
        self.claimed_at = self.clock()

    async def confirm(self) -> float:
        """Check that the row still names this incarnation.

        Returns:
            Monotonic time before the read was sent, in seconds.

        Raises:
            SupersededError: Another incarnation has written the row.
            PlatformError: The table did not answer.
        """
        read_at = self.clock()
        row = await self.table.get(self.key)
        if row is None or row.value.decode() != self.holder:
            raise SupersededError(f"{self.key} names another incarnation")
        return read_at
