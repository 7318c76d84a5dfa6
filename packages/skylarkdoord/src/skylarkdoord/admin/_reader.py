"""Reads of settings and their history from the table."""

from collections.abc import Callable
from typing import Any, NamedTuple

from skylarkdoor.clients import PlatformError, Row, RowList, Table
from skylarkdoor.exceptions import SettingsError
from skylarkdoord.admin.exceptions import StoreDownError
from skylarkdoord.common import _rows as rows

RevisionInForce = Callable[[str], int]


class Everything(NamedTuple):
    """Every subtree's row.

    Attributes:
        rows: Rows by path of their subtree.
        changes: The row that each change writes, as it was before the others
            were read.
    """

    rows: dict[str, Row]
    changes: Row | None


class SettingsReader:
    """Reads rows and refuses those older than what is in force here.

    Args:
        table: The platform's table.
        in_force: Returns the revision in force in this process.
    """

    def __init__(self, table: Table, in_force: RevisionInForce) -> None:
        self.table = table
        self.in_force = in_force

    async def row(self, subtree: str) -> Row | None:
        """Return a subtree's row.

        Raises:
            StoreDownError: The table does not answer, or with old data.
        """
        row = await self._get(rows.settings_key(subtree))
        self._refuse_old(subtree, row)
        return row

    async def everything(self) -> Everything:
        """Return every subtree's row.

        Raises:
            StoreDownError: The table does not answer, or with old data.
        """
        changes = await self._get(rows.CHANGES_KEY)
        listed = await self._list(f"{rows.SETTINGS_PREFIX}/")
        if changes is not None and listed.revision < changes.revision:
            raise _old_data()
        found = {rows.subtree_of(row.key): row for row in listed.rows}
        for subtree, row in found.items():
            self._refuse_old(subtree, row)
        return Everything(found, changes)

    async def history(self, subtree: str) -> list[rows.HistoryRow]:
        """Return the changes kept of a subtree, the oldest first.

        Raises:
            StoreDownError: The table does not answer.
        """
        listed = await self._list(rows.history_prefix(subtree))
        return [rows.decode_history(row.value, subtree=subtree) for row in listed.rows]

    async def change_of(self, subtree: str, operation: str) -> rows.HistoryRow | None:
        """Return the change kept of a subtree that an operation made, if any.

        Raises:
            StoreDownError: The table does not answer.
        """
        for row in await self.history(subtree):
            if row.operation == operation:
                return row
        return None

    async def changed_since(
        self, subtree: str, revision: int, *, upto: int
    ) -> tuple[str, ...]:
        """Return the paths changed after one revision and up to another.

        The subtree's own path stands for changes that are no longer kept.

        Raises:
            StoreDownError: The table does not answer.
        """
        later = [
            row
            for row in await self.history(subtree)
            if revision < row.revision <= upto
        ]
        if len(later) < upto - revision:
            return (subtree,)
        return tuple(sorted({path for row in later for path in row.changed}))

    def _refuse_old(self, subtree: str, row: Row | None) -> None:
        if row is None:
            revision = 0
        else:
            revision = rows.decode_settings(row.value, subtree=subtree).revision
        if revision < self.in_force(subtree):
            raise _old_data()

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


def document_of(row: Row | None, subtree: str) -> Any:
    """Return the document that a row holds, None if there is none."""
    if row is None:
        return None
    try:
        return rows.decode_settings(row.value, subtree=subtree).document
    except SettingsError:
        return None


def _old_data() -> StoreDownError:
    return StoreDownError("the table answers with old data", not_applied=True)
