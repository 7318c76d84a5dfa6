"""Rows, conditions and writes of the platform's table."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol, TypeAlias


class Row(NamedTuple):
    """A row as read.

    Attributes:
        key: Key of the row.
        value: Its content.
        revision: Revision of the table at the row's last change.
        version: Number of changes since the row was created.
    """

    key: str
    value: bytes
    revision: int
    version: int


class RowList(NamedTuple):
    """Rows in key order, each read at the given table revision or a later one."""

    rows: tuple[Row, ...]
    revision: int


class Absent(NamedTuple):
    """Condition: no row has the key."""

    key: str


class RevisionIs(NamedTuple):
    """Condition: the row was last changed at the given revision."""

    key: str
    revision: int


class ValueIs(NamedTuple):
    """Condition: the row exists and has the given value."""

    key: str
    value: bytes


Condition: TypeAlias = Absent | RevisionIs | ValueIs


class Put(NamedTuple):
    """Creates or replaces a row."""

    key: str
    value: bytes


class Delete(NamedTuple):
    """Deletes a row, if it exists."""

    key: str


class Txn(NamedTuple):
    """A transaction: its writes are applied if all its conditions hold.

    Attributes:
        conditions: Conditions for the writes.
        writes: Changes that are applied together.
        reads: Keys whose rows are returned if a condition does not hold.
    """

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Put | Delete, ...] = ()
    reads: tuple[str, ...] = ()


class TxnResult(NamedTuple):
    """The result of one transaction.

    Attributes:
        succeeded: Whether the conditions held and the writes were applied.
        rows: The rows read because a condition did not hold.
        revision: Revision of the table after the transaction. After a success it
            is also the revision of the rows written.
    """

    succeeded: bool
    rows: tuple[Row, ...]
    revision: int


class Table(Protocol):
    """The platform's transactional table."""

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none.

        Raises:
            TableUnavailable: The table did not respond or returned an error.
        """

    async def list(self, prefix: str, *, limit: int = 0) -> RowList:
        """Return the rows whose keys begin with a prefix, in key order.

        Args:
            prefix: Prefix of the keys.
            limit: Maximum number of rows to return; 0 for all.

        Raises:
            TableUnavailable: The table did not respond or returned an error.
        """

    async def commit(self, txns: Sequence[Txn]) -> Sequence[TxnResult]:
        """Apply transactions in their order and return the result of each.

        Raises:
            TableTimeout: Some transactions may have been applied.
            TableUnavailable: No transaction was applied.
            TableRejected: One transaction is invalid, so none was applied.
        """
