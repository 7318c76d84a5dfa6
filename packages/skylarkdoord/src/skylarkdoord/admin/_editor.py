"""Changes of settings in the table, by compare-and-set."""

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
from skylarkdoord.admin._reader import SettingsReader, document_of
from skylarkdoord.admin.exceptions import ConflictError, StoreDownError
from skylarkdoord.common import Backoff
from skylarkdoord.common import _rows as rows

MAX_TRIES = 8
COMMIT_TRIES = 3


class Change(NamedTuple):
    """What an operator asks for.

    Attributes:
        path: Where.
        value: The new value; of no meaning for a removal.
        is_removal: Whether the value at the path is to go.
        expect_revision: Revision that the subtree must have; None for any, so
            long as nobody else changes the same path at the same time.
        author: The operator's name.
        operation: Identity of the change, the same when it is sent again.
    """

    path: SettingsPath
    value: Any
    is_removal: bool
    expect_revision: int | None
    author: str
    operation: str


class Accepted(NamedTuple):
    """A change that is in the table.

    Attributes:
        subtree: Path of the subtree changed.
        revision: Revision that the change made.
        changed: Paths whose values differ from before.
        row: The row written; None where the change was accepted earlier.
    """

    subtree: str
    revision: int
    changed: tuple[str, ...]
    row: rows.SettingsRow | None


class Base(NamedTuple):
    """What a change is worked out from.

    Attributes:
        own: Row of the subtree to change, if there is one.
        others: Documents of the subtrees that it is checked against.
        conditions: What must still hold when the change is written.
    """

    own: Row | None
    others: dict[str, Any]
    conditions: tuple[Condition, ...]


class SettingsEditor:
    """Reads, changes, checks and writes subtrees.

    A team's change holds only while its own row and the fleet's are as read; it
    also writes the row of changes, on no condition, so that two teams never
    conflict. A change of the fleet holds only while its own row and the row of
    changes are as read, hence while no team has changed.

    Args:
        table: The platform's table.
        reader: Reads the rows.
    """

    def __init__(self, table: Table, reader: SettingsReader) -> None:
        self.table = table
        self.reader = reader

    async def apply(self, change: Change) -> Accepted:
        """Make a change.

        Raises:
            ConflictError: Another change came first.
            InvalidError: The settings would be wrong.
            AbsentError: There is nothing to remove.
            StoreDownError: The table gave no answer of use.
        """
        earlier = await self.reader.change_of(change.path.subtree, change.operation)
        if earlier is not None:
            return Accepted(
                change.path.subtree, earlier.revision, earlier.changed, None
            )
        backoff = Backoff()
        seen: int | None = None
        for _ in range(MAX_TRIES):
            base = await self._read_base(change.path.subtree)
            held = self._decode(base.own, change)
            if seen is None:
                seen = _revision(held)
            await self._check_expected(change, held, seen=seen)
            accepted = self._work_out(change, base, held)
            if await self._write(base, accepted):
                return accepted
            await asyncio.sleep(backoff.delay_s())
        raise StoreDownError("other changes came first each time", not_applied=True)

    def _decode(self, row: Row | None, change: Change) -> rows.SettingsRow | None:
        if row is None:
            return None
        return rows.decode_settings(row.value, subtree=change.path.subtree)

    async def _read_base(self, subtree: str) -> Base:
        if subtree == FLEET_PATH:
            return await self._read_fleet_base()
        own = await self.reader.row(subtree)
        fleet = await self.reader.row(FLEET_PATH)
        others = {FLEET_PATH: document_of(fleet, FLEET_PATH)}
        conditions = (_unchanged(subtree, own), _unchanged(FLEET_PATH, fleet))
        return Base(own, others, conditions)

    async def _read_fleet_base(self) -> Base:
        everything = await self.reader.everything()
        own = everything.rows.get(FLEET_PATH)
        others = {
            path: document_of(row, path)
            for path, row in everything.rows.items()
            if path != FLEET_PATH
        }
        conditions = (
            _unchanged(FLEET_PATH, own),
            _row_unchanged(rows.CHANGES_KEY, everything.changes),
        )
        return Base(own, others, conditions)

    async def _check_expected(
        self,
        change: Change,
        held: rows.SettingsRow | None,
        *,
        seen: int,
    ) -> None:
        revision = _revision(held)
        expected = change.expect_revision
        if expected is not None and expected != revision:
            if expected > revision:
                raise StoreDownError(
                    f"the table answers with revision {revision}, which is old",
                    not_applied=True,
                )
            raise await self._conflict(change, held, since=expected)
        if expected is None and revision > seen:
            conflict = await self._conflict(change, held, since=seen)
            if any(overlaps(path, change.path.full) for path in conflict.changed):
                raise conflict

    async def _conflict(
        self, change: Change, held: rows.SettingsRow | None, *, since: int
    ) -> ConflictError:
        subtree = change.path.subtree
        revision = _revision(held)
        changed = await self.reader.changed_since(subtree, since, upto=revision)
        author = held.author if held else ""
        return ConflictError(revision=revision, author=author, changed=changed)

    def _work_out(
        self, change: Change, base: Base, held: rows.SettingsRow | None
    ) -> Accepted:
        path = change.path
        old = held.document if held else None
        if change.is_removal:
            new = without_value(old, path)
        else:
            new = with_value(old, path, change.value)
        check_change(path.subtree, new, base.others)
        row = rows.SettingsRow(
            revision=_revision(held) + 1,
            operation=change.operation,
            author=change.author,
            changed_at=rows.timestamp(),
            document=new,
        )
        changed = changed_paths(old, new, at=path.subtree)
        return Accepted(path.subtree, row.revision, changed, row)

    async def _write(self, base: Base, accepted: Accepted) -> bool:
        """Write a change; returns whether it is in the table."""
        txn = _transaction(base, accepted)
        backoff = Backoff()
        is_unknown = False
        failure = ""
        for _ in range(COMMIT_TRIES):
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


def _transaction(base: Base, accepted: Accepted) -> Txn:
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
        Put(rows.CHANGES_KEY, row.operation.encode()),
    ]
    oldest = row.revision - rows.HISTORY_LIMIT
    if oldest > 0:
        writes.append(Delete(rows.history_key(subtree, oldest)))
    return Txn(base.conditions, tuple(writes), reads=(own_key, history_key))


def _is_recorded(found: Sequence[Row], accepted: Accepted) -> bool:
    """Return whether an earlier try of the same change took effect.

    Its history row outlives changes made upon it; once one of those is there
    instead, the conditions of the change can never hold again.
    """
    assert accepted.row is not None
    key = rows.history_key(accepted.subtree, accepted.revision)
    changes = (
        rows.decode_history(row.value, subtree=accepted.subtree)
        for row in found
        if row.key == key
    )
    return any(change.operation == accepted.row.operation for change in changes)


def _unchanged(subtree: str, row: Row | None) -> Condition:
    return _row_unchanged(rows.settings_key(subtree), row)


def _row_unchanged(key: str, row: Row | None) -> Condition:
    return Absent(key) if row is None else RevisionIs(key, row.revision)
