"""Reads settings and their history from the table."""

from collections.abc import Callable
from typing import Any, NamedTuple

from skylarkdoor.clients import PlatformError, Row, RowList, Table
from skylarkdoor.exceptions import SettingsError
from skylarkdoord.admin.exceptions import StoreDownError
from skylarkdoord.common import _rows as rows

ActiveRevision = Callable[[str], int]


class AllRows(NamedTuple):
    """The rows of all subtrees.

    Attributes:
        rows: Rows by the path of their subtree.
        changes: Row of the change counter, which each change writes, as read
            before `rows`; None if it is absent.
    """

    rows: dict[str, Row]
    changes: Row | None


class SettingsReader:
    """Reads rows and rejects those older than the settings active in this process.

    Args:
        table: The platform's table.
        active_revision: Returns the revision of a subtree active in this process.
    """

    def __init__(self, table: Table, active_revision: ActiveRevision) -> None:
        self.table = table
        self.active_revision = active_revision

    async def row(self, subtree: str) -> Row | None:
        """Return a subtree's row, or None if it is absent.

        Raises:
            StoreDownError: The table did not answer or returned stale data.
        """
        row = await self._get(rows.settings_key(subtree))
        self._reject_stale(subtree, row)
        return row

    async def all_rows(self) -> AllRows:
        """Return the rows of all subtrees.

        Raises:
            StoreDownError: The table did not answer or returned stale data.
        """
        changes = await self._get(rows.CHANGE_COUNTER_KEY)
        listed = await self._list(f"{rows.SETTINGS_PREFIX}/")
        if changes is not None and listed.revision < changes.revision:
            raise _stale_data_error()
        found = {rows.subtree_from_key(row.key): row for row in listed.rows}
        for subtree, row in found.items():
            self._reject_stale(subtree, row)
        return AllRows(found, changes)

    async def history(self, subtree: str) -> list[rows.HistoryRow]:
        """Return the retained changes of a subtree, oldest first.

        Raises:
            StoreDownError: The table did not answer.
        """
        listed = await self._list(rows.history_prefix(subtree))
        return [rows.decode_history(row.value, subtree=subtree) for row in listed.rows]

    async def find_change(self, subtree: str, operation: str) -> rows.HistoryRow | None:
        """Return the retained change that an operation made, or None.

        Raises:
            StoreDownError: The table did not answer.
        """
        for row in await self.history(subtree):
            if row.operation == operation:
                return row
        return None

    async def changed_between(
        self, subtree: str, revision: int, *, upto: int
    ) -> tuple[str, ...]:
        """Return the paths changed after one revision and up to another.

        If some of the changes are no longer retained, return the subtree's path.

        Raises:
            StoreDownError: The table did not answer.
        """
        later = [
            row
            for row in await self.history(subtree)
            if revision < row.revision <= upto
        ]
        if len(later) < upto - revision:
            return (subtree,)
        return tuple(sorted({path for row in later for path in row.changed}))

    def _reject_stale(self, subtree: str, row: Row | None) -> None:
        if row is None:
            revision = 0
        else:
            revision = rows.decode_settings(row.value, subtree=subtree).revision
        if revision < self.active_revision(subtree):
            raise _stale_data_error()

    async def _get(self, key: str) -> Row | None:
        try:
            return await self.table.get(key)
        except PlatformError as error:
            raise StoreDownError(str(error), not_applied=True) from None

    async def _list(self, prefix: str) -> RowList:
        try:
            return await self.table.list(prefix)
        except PlatformError as error:
            raise StoreDownError(str(error), not_applied=True) from None


def decode_document(row: Row | None, subtree: str) -> Any:
    """Return the document in a row, or None if it is absent or cannot be decoded."""
    if row is None:
        return None
    try:
        return rows.decode_settings(row.value, subtree=subtree).document
    except SettingsError:
        return None


def _stale_data_error() -> StoreDownError:
    return StoreDownError("the table returned stale data", not_applied=True)
