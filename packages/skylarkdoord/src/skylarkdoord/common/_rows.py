"""Rows of the shared settings in the platform's table."""

import json
from datetime import UTC, datetime
from typing import Any, NamedTuple

from skylarkdoor.exceptions import SettingsError

SETTINGS_PREFIX = "settings"
HISTORY_PREFIX = "history"
CHANGE_COUNTER_KEY = "settings-changes"
HISTORY_LIMIT = 50


class SettingsRow(NamedTuple):
    """One subtree as it stands in the table.

    Attributes:
        revision: Number that each accepted change raises by one.
        operation: Identity of the change that wrote the row.
        author: Name of the operator who made it.
        changed_at: Time of the change, ISO 8601 in UTC.
        document: The plain document; None for a subtree that was deleted.
    """

    revision: int
    operation: str
    author: str
    changed_at: str
    document: Any


class HistoryRow(NamedTuple):
    """One accepted change of a subtree.

    Attributes:
        revision: Revision that the change made.
        operation: Identity of the change.
        author: Name of the operator who made it.
        changed_at: Time of the change, ISO 8601 in UTC.
        changed: Paths whose values differ from the revision before.
    """

    revision: int
    operation: str
    author: str
    changed_at: str
    changed: tuple[str, ...]


def settings_key(subtree: str) -> str:
    """Return the key of a subtree's row."""
    return f"{SETTINGS_PREFIX}{subtree}"


def subtree_of(key: str) -> str:
    """Return the subtree whose row has this key."""
    return key.removeprefix(SETTINGS_PREFIX)


def history_prefix(subtree: str) -> str:
    """Return what the keys of a subtree's history begin with."""
    return f"{HISTORY_PREFIX}{subtree}/"


def history_key(subtree: str, revision: int) -> str:
    """Return the key of one change; keys sort by revision."""
    return f"{history_prefix(subtree)}{revision:010d}"


def encode_row(row: SettingsRow | HistoryRow) -> bytes:
    """Return a row's value."""
    return json.dumps(row._asdict()).encode()


def decode_settings(value: bytes, *, subtree: str) -> SettingsRow:
    """Return the row that a value holds.

    Raises:
        SettingsError: The value is no settings row.
    """
    try:
        stored = json.loads(value)
        return SettingsRow(
            revision=int(stored["revision"]),
            operation=str(stored.get("operation", "")),
            author=str(stored.get("author", "")),
            changed_at=str(stored.get("changed_at", "")),
            document=stored["document"],
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"no settings row: {error!r}", path=subtree) from None


def decode_history(value: bytes, *, subtree: str) -> HistoryRow:
    """Return the change that a value holds.

    Raises:
        SettingsError: The value is no history row.
    """
    try:
        stored = json.loads(value)
        return HistoryRow(**stored)._replace(changed=tuple(stored["changed"]))
    except (ValueError, KeyError, TypeError) as error:
        raise SettingsError(f"no history row: {error!r}", path=subtree) from None


def timestamp() -> str:
    """Return the present time as rows carry it."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")
