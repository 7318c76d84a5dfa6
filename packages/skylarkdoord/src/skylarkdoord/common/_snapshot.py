"""Snapshot of all settings in the object store, used if the table fails at start."""

import json
from collections.abc import Mapping
from typing import Any

from skylarkdoord.common import _rows as rows

KEY = "settings/snapshot.json"


def encode(rows_by_path: Mapping[str, rows.SettingsRow]) -> bytes:
    """Return the encoded snapshot of the rows, given by the path of their subtree."""
    document = {"rows": {path: row._asdict() for path, row in rows_by_path.items()}}
    return json.dumps(document).encode()


def decode(data: bytes) -> dict[str, rows.SettingsRow]:
    """Return the rows of a snapshot by path, or none if the snapshot is malformed."""
    try:
        stored: Any = json.loads(data)["rows"]
        return {path: rows.SettingsRow(**row) for path, row in stored.items()}
    except (ValueError, KeyError, TypeError, AttributeError):
        return {}


def merge(
    one: Mapping[str, rows.SettingsRow], other: Mapping[str, rows.SettingsRow]
) -> dict[str, rows.SettingsRow]:
    """Return for each path the row with the higher revision."""
    merged = dict(one)
    for path, row in other.items():
        if path not in merged or merged[path].revision < row.revision:
            merged[path] = row
    return merged
