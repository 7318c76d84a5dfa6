"""Which life of a sidecar may give orders to its engine."""

from collections.abc import Callable

from skylarkdoor.clients import Absent, Condition, Put, RevisionIs, Table, Txn
from skylarkdoord.planner.exceptions import DeposedError

Clock = Callable[[], float]


def owner_key(pool: str, instance: str) -> str:
    """Return the key of the row that names an engine's sidecar."""
    return f"engine-owner/{pool}/{instance}"


class Ownership:
    """The row that names the latest life of the sidecar beside an engine.

    Each life writes the row once, when it starts, and reads it before it gives
    orders. A former life that wakes finds another's name and gives none.

    Args:
        table: The platform's table.
        key: The row's key.
        holder: Name of this life of the process.
        clock: Monotonic seconds.
    """

    def __init__(self, table: Table, key: str, holder: str, clock: Clock) -> None:
        self.table = table
        self.key = key
        self.holder = holder
        self.clock = clock
        self.claimed_at: float | None = None

    async def claim(self) -> None:
        """Write the row, unless this life has done so before.

        Raises:
            DeposedError: Another life wrote it at the same time.
            PlatformError: The table gave no answer.
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
                raise DeposedError(f"{self.key} was written by another")
        self.claimed_at = self.clock()

    async def confirm(self) -> float:
        """Check that no later life has written the row.

        Returns:
            Monotonic time before the read was sent, in seconds.

        Raises:
            DeposedError: One has.
            PlatformError: The table gave no answer.
        """
        read_at = self.clock()
        row = await self.table.get(self.key)
        if row is None or row.value.decode() != self.holder:
            raise DeposedError(f"{self.key} names another")
        return read_at
