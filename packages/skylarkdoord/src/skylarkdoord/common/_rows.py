"""Keys and formats of the shared settings' rows in the platform's table."""

import json
from datetime import UTC, datetime
from typing import Any, NamedTuple

from skylarkdoor import untrusted_json
from skylarkdoor.exceptions import SettingsError

SETTINGS_PREFIX = "settings"
HISTORY_PREFIX = "history"
# Each accepted change writes this row once, so its version counts the changes.
CHANGE_COUNTER_KEY = "settings-changes"
# Number of changes retained per subtree.
HISTORY_LIMIT = 50


class SettingsRow(NamedTuple):
    """The stored form of one settings subtree.

    Attributes:
        revision: Number that each accepted change increases by one.
        operation: Idempotency key of the change that wrote the row.
        author: Name of the operator who made the change.
        changed_at: Time of the change, ISO 8601 in UTC.
        document: The settings as plain JSON data; None for a deleted subtree.
    """

    revision: int
    operation: str
    author: str
    changed_at: str
    document: Any


class HistoryRow(NamedTuple):
    """The record of one accepted change of a subtree.

    Attributes:
        revision: Revision created by the change.
        operation: Idempotency key of the change.
        author: Name of the operator who made the change.
        changed_at: Time of the change, ISO 8601 in UTC.
        changed: Paths whose values differ from the previous revision.
    """

    revision: int
    operation: str
    author: str
    changed_at: str
    changed: tuple[str, ...]


def settings_key(subtree: str) -> str:
    """Return the key of a subtree's row."""
    return f"{SETTINGS_PREFIX}{subtree}"


def subtree_from_key(key: str) -> str:
    """Return the path of the subtree whose row has this key."""
    return key.removeprefix(SETTINGS_PREFIX)


def history_prefix(subtree: str) -> str:
    """Return the key prefix of a subtree's history rows."""
    return f"{HISTORY_PREFIX}{subtree}/"


def history_key(subtree: str, revision: int) -> str:
    """Return the key of a change's history row; keys sort by revision."""
    return f"{history_prefix(subtree)}{revision:010d}"


def encode_row(row: SettingsRow | HistoryRow) -> bytes:
    """Return the stored value of a row."""
    return json.dumps(row._asdict()).encode()


def decode_settings(value: bytes, *, subtree: str) -> SettingsRow:
    """Return the settings row decoded from a stored value.

    Raises:
        SettingsError: The value is not a settings row.
    """
    try:
        stored = untrusted_json.loads(value)
        return SettingsRow(
            revision=int(stored["revision"]),
            operation=str(stored.get("operation", "")),
            author=str(stored.get("author", "")),
            changed_at=str(stored.get("changed_at", "")),
            document=stored["document"],
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"not a settings row: {error!r}", path=subtree) from None


def decode_history(value: bytes, *, subtree: str) -> HistoryRow:
    """Return the history row decoded from a stored value.

    Raises:
        SettingsError: The value is not a history row.
    """
    try:
        stored = untrusted_json.loads(value)
        return HistoryRow(**stored)._replace(changed=tuple(stored["changed"]))
    except (ValueError, KeyError, TypeError) as error:
        raise SettingsError(f"not a history row: {error!r}", path=subtree) from None


def timestamp() -> str:
    """Return the current time in the format of the rows."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")
