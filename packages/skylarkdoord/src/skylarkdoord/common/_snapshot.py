"""Snapshot of all settings in the object store, used if the table fails at start."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from skylarkdoor import untrusted_json
from skylarkdoord.common import _rows as rows

KEY = "settings/snapshot.json"


class Snapshot(NamedTuple):
    """The contents of a snapshot.

    Attributes:
        rows: The valid rows, by the path of their subtree.
        rejected: What is wrong with the other rows, by path; the path is empty if the
            whole snapshot is malformed.
    """

    rows: dict[str, rows.SettingsRow]
    rejected: dict[str, str]


class _StoredRow(msgspec.Struct):
    revision: int
    operation: str
    author: str
    changed_at: str
    document: Any

    def to_row(self) -> rows.SettingsRow:
        return rows.SettingsRow(*msgspec.structs.astuple(self))


def encode(rows_by_path: Mapping[str, rows.SettingsRow]) -> bytes:
    """Return the encoded snapshot of the rows, given by the path of their subtree."""
    document = {"rows": {path: row._asdict() for path, row in rows_by_path.items()}}
    return json.dumps(document).encode()


def decode(data: bytes) -> Snapshot:
    """Return the contents of a snapshot; malformed rows are left out."""
    try:
        stored = dict(untrusted_json.loads(data)["rows"])
    except (ValueError, KeyError, TypeError) as error:
        return Snapshot({}, {"": repr(error)})
    read, rejected = {}, {}
    for path, row in stored.items():
        try:
            read[path] = msgspec.convert(row, _StoredRow).to_row()
        except msgspec.ValidationError as error:
            rejected[path] = str(error)
    return Snapshot(read, rejected)


def merge(
    one: Mapping[str, rows.SettingsRow], other: Mapping[str, rows.SettingsRow]
) -> dict[str, rows.SettingsRow]:
    """Return for each path the row with the higher revision."""
    merged = dict(one)
    for path, row in other.items():
        if path not in merged or merged[path].revision < row.revision:
            merged[path] = row
    return merged
