"""Changes settings in the table by compare-and-set."""

import asyncio
from collections.abc import Sequence
from typing import Any, NamedTuple

from skylarkdoor.clients import (
    Absent,
    Condition,
    Delete,
    Put,
    RevisionIs,
    Row,
    Table,
    TableRejected,
    TableTimeout,
    TableUnavailable,
    Txn,
)
from skylarkdoor.settings import FLEET_PATH
from skylarkdoord.admin._check import check_change
from skylarkdoord.admin._paths import (
    SettingsPath,
    changed_paths,
    overlaps,
    with_value,
    without_value,
)
from skylarkdoord.admin._reader import SettingsReader, decode_document
from skylarkdoord.admin.exceptions import ConflictError, StoreDownError
from skylarkdoord.common import Backoff
from skylarkdoord.common import _rows as rows

# Bounds the attempts whose conditions fail because of concurrent changes.
MAX_ATTEMPTS = 8
# Bounds the attempts to get one transaction confirmed by the table.
MAX_COMMIT_ATTEMPTS = 3


class Change(NamedTuple):
    """A change requested by an operator.

    Attributes:
        path: Path of the value to change.
        value: The new value; ignored for a removal.
        is_removal: Whether the value at the path is removed.
        expect_revision: Revision that the subtree must have. None accepts any
            revision, unless the same path is changed concurrently.
        author: The operator's name.
        operation: Idempotency key of the change; a retry has the same one.
    """

    path: SettingsPath
    value: Any
    is_removal: bool
    expect_revision: int | None
    author: str
    operation: str


class AcceptedChange(NamedTuple):
    """A change that is stored in the table.

    Attributes:
        subtree: Path of the changed subtree.
        revision: Revision created by the change.
        changed: Paths whose values differ from the previous revision.
        row: The row written; None if an earlier request had written it.
    """

    subtree: str
    revision: int
    changed: tuple[str, ...]
    row: rows.SettingsRow | None


class ChangeBase(NamedTuple):
    """The stored settings that a change is based on.

    Attributes:
        own: Row of the subtree to change, or None if it is absent.
        others: Documents of the subtrees that the change is checked against.
        conditions: Conditions under which the change may be written.
    """

    own: Row | None
    others: dict[str, Any]
    conditions: tuple[Condition, ...]


class SettingsEditor:
    """Applies operators' changes to subtrees.

    A change to a team is written only if the rows of the team and of the fleet are
    unchanged since they were read. It also writes the change counter, without a
    condition, so that changes to two teams never conflict. A change to the fleet is
    written only if the fleet's row and the change counter are unchanged, and
    therefore only if no team has changed.

    Args:
        table: The platform's table.
        reader: Reads the rows.
    """

    def __init__(self, table: Table, reader: SettingsReader) -> None:
        self.table = table
        self.reader = reader

    async def apply(self, change: Change) -> AcceptedChange:
        """Apply a change.

        Raises:
            ConflictError: A concurrent change was accepted first.
            InvalidError: The resulting settings would be invalid.
            AbsentError: There is no value to remove at the path.
            StoreDownError: The table did not answer or returned stale data, or
                concurrent changes made every attempt fail.
        """
        earlier = await self.reader.find_change(change.path.subtree, change.operation)
        if earlier is not None:
            return AcceptedChange(
                change.path.subtree, earlier.revision, earlier.changed, None
            )
        backoff = Backoff()
        first_revision: int | None = None
        for _ in range(MAX_ATTEMPTS):
            base = await self._read_base(change.path.subtree)
            current = self._decode(base.own, change)
            if first_revision is None:
                first_revision = _revision(current)
            await self._check_revision(change, current, first_revision=first_revision)
            accepted = self._prepare(change, base, current)
            if await self._commit(base, accepted):
                return accepted
            await asyncio.sleep(backoff.delay_s())
        raise StoreDownError(
            "concurrent changes made every attempt fail", not_applied=True
        )

    def _decode(self, row: Row | None, change: Change) -> rows.SettingsRow | None:
        if row is None:
            return None
        return rows.decode_settings(row.value, subtree=change.path.subtree)

    async def _read_base(self, subtree: str) -> ChangeBase:
        if subtree == FLEET_PATH:
            return await self._read_fleet_base()
        own = await self.reader.row(subtree)
        fleet = await self.reader.row(FLEET_PATH)
        others = {FLEET_PATH: decode_document(fleet, FLEET_PATH)}
        conditions = (
            _subtree_unchanged(subtree, own),
            _subtree_unchanged(FLEET_PATH, fleet),
        )
        return ChangeBase(own, others, conditions)

    async def _read_fleet_base(self) -> ChangeBase:
        found = await self.reader.all_rows()
        own = found.rows.get(FLEET_PATH)
        others = {
            path: decode_document(row, path)
            for path, row in found.rows.items()
            if path != FLEET_PATH
        }
        conditions = (
            _subtree_unchanged(FLEET_PATH, own),
            _row_unchanged(rows.CHANGE_COUNTER_KEY, found.changes),
        )
        return ChangeBase(own, others, conditions)

    async def _check_revision(
        self,
        change: Change,
        current: rows.SettingsRow | None,
        *,
        first_revision: int,
    ) -> None:
        revision = _revision(current)
        expected = change.expect_revision
        if expected is not None and expected != revision:
            if expected > revision:
                raise StoreDownError(
                    f"the table returned stale revision {revision}",
                    not_applied=True,
                )
            raise await self._conflict_error(change, current, since=expected)
        if expected is None and revision > first_revision:
            conflict = await self._conflict_error(change, current, since=first_revision)
            if any(overlaps(path, change.path.full) for path in conflict.changed):
                raise conflict

    async def _conflict_error(
        self, change: Change, current: rows.SettingsRow | None, *, since: int
    ) -> ConflictError:
        subtree = change.path.subtree
        revision = _revision(current)
        changed = await self.reader.changed_between(subtree, since, upto=revision)
        author = current.author if current else ""
        return ConflictError(revision=revision, author=author, changed=changed)

    def _prepare(
        self, change: Change, base: ChangeBase, current: rows.SettingsRow | None
    ) -> AcceptedChange:
        path = change.path
        old = current.document if current else None
        if change.is_removal:
            new = without_value(old, path)
        else:
            new = with_value(old, path, change.value)
        check_change(path.subtree, new, base.others)
        row = rows.SettingsRow(
            revision=_revision(current) + 1,
            operation=change.operation,
            author=change.author,
            changed_at=rows.timestamp(),
            document=new,
        )
        changed = changed_paths(old, new, at=path.subtree)
        return AcceptedChange(path.subtree, row.revision, changed, row)

    async def _commit(self, base: ChangeBase, accepted: AcceptedChange) -> bool:
        """Write a change; return whether it is stored in the table."""
        txn = _transaction(base, accepted)
        backoff = Backoff()
        is_unknown = False
        failure = ""
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                (result,) = await self.table.commit([txn])
            except TableTimeout as error:
                is_unknown, failure = True, str(error)
            except (TableUnavailable, TableRejected) as error:
                failure = str(error)
                if not is_unknown:
                    raise StoreDownError(failure, not_applied=True) from None
            else:
                return result.succeeded or _is_recorded(result.rows, accepted)
            await asyncio.sleep(backoff.delay_s())
        raise StoreDownError(failure, not_applied=False)


def _revision(row: rows.SettingsRow | None) -> int:
    return 0 if row is None else row.revision


def _transaction(base: ChangeBase, accepted: AcceptedChange) -> Txn:
    subtree, row, changed = accepted.subtree, accepted.row, accepted.changed
    assert row is not None
    history = rows.HistoryRow(
        revision=row.revision,
        operation=row.operation,
        author=row.author,
        changed_at=row.changed_at,
        changed=changed,
    )
    own_key = rows.settings_key(subtree)
    history_key = rows.history_key(subtree, row.revision)
    writes: list[Put | Delete] = [
        Put(own_key, rows.encode_row(row)),
        Put(history_key, rows.encode_row(history)),
        Put(rows.CHANGE_COUNTER_KEY, row.operation.encode()),
    ]
    oldest = row.revision - rows.HISTORY_LIMIT
    if oldest > 0:
        writes.append(Delete(rows.history_key(subtree, oldest)))
    return Txn(base.conditions, tuple(writes), reads=(own_key, history_key))


def _is_recorded(found: Sequence[Row], accepted: AcceptedChange) -> bool:
    """Return whether an earlier attempt to write the same change took effect.

    The change's history row remains when later changes are made. If another
    change is recorded at its revision instead, the change was not applied, and its
    conditions can no longer be met.
    """
    assert accepted.row is not None
    key = rows.history_key(accepted.subtree, accepted.revision)
    changes = (
        rows.decode_history(row.value, subtree=accepted.subtree)
        for row in found
        if row.key == key
    )
    return any(change.operation == accepted.row.operation for change in changes)


def _subtree_unchanged(subtree: str, row: Row | None) -> Condition:
    return _row_unchanged(rows.settings_key(subtree), row)


def _row_unchanged(key: str, row: Row | None) -> Condition:
    return Absent(key) if row is None else RevisionIs(key, row.revision)
