"""Rows, conditions and writes of the platform's table."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol, TypeAlias


class Row(NamedTuple):
    """A row as read.

    The revision is that of the row's last change; the version counts its changes.
    """

    key: str
    value: bytes
    revision: int
    version: int


class RowList(NamedTuple):
    """Rows in the order of their keys, each at least as new as the revision."""

    rows: tuple[Row, ...]
    revision: int


class Absent(NamedTuple):
    """The condition that a key has no row."""

    key: str


class RevisionIs(NamedTuple):
    """The condition that a row was last changed at a revision."""

    key: str
    revision: int


class ValueIs(NamedTuple):
    """The condition that a row exists with a value."""

    key: str
    value: bytes


Condition: TypeAlias = Absent | RevisionIs | ValueIs


class Put(NamedTuple):
    """Write a row."""

    key: str
    value: bytes


class Delete(NamedTuple):
    """Delete a row, if there is one."""

    key: str


class Txn(NamedTuple):
    """A transaction: its writes are applied if all its conditions hold.

    The rows of the keys to read come back if a condition does not hold.
    """

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Put | Delete, ...] = ()
    reads: tuple[str, ...] = ()


class TxnResult(NamedTuple):
    """The verdict on one transaction.

    The rows are those read where a condition did not hold. The revision is the
    table's after the transaction: after a success, that of the rows written.
    """

    succeeded: bool
    rows: tuple[Row, ...]
    revision: int


class Table(Protocol):
    """The platform's transactional table."""

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None.

        Raises:
            TableUnavailable: There was no answer.
        """

    async def list(self, prefix: str, *, limit: int = 0) -> RowList:
        """Return the rows whose keys begin with a prefix, by key.

        Args:
            prefix: What the keys begin with.
            limit: The most rows to return; 0 for all.

        Raises:
            TableUnavailable: There was no answer.
        """

    async def commit(self, txns: Sequence[Txn]) -> Sequence[TxnResult]:
        """Apply transactions, each with a verdict of its own, in their order.

        Raises:
            TableTimeout: Some may have been applied.
            TableUnavailable: None was applied.
            TableRejected: None was applied, since one was invalid.
        """
