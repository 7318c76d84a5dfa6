"""An in-memory key-value store with the revisions of etcd."""

import copy
from bisect import bisect_left, insort
from collections.abc import Iterable
from typing import NamedTuple

ALL_KEYS_END = b"\0"


class StoredRow(NamedTuple):
    """A key-value pair with the metadata that etcd keeps for it.

    Attributes:
        key: The key.
        value: The value.
        create_revision: The store revision at which the key was created.
        mod_revision: The store revision of the last write to the key.
        version: The number of writes to the key since its creation.
    """

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in the range from start up to, but excluding, end.

    As in etcd, an empty end denotes the start key alone, and `ALL_KEYS_END` denotes
    all keys from the start on.
    """
    if not end:
        return key == start
    return key >= start and (end == ALL_KEYS_END or key < end)


class Store:
    """Rows by key, and the revision of the last change.

    Ranges are denoted as in `in_range`.
    """

    def __init__(self) -> None:
        self.revision = 1
        self._rows: dict[bytes, StoredRow] = {}
        self._keys: list[bytes] = []

    def snapshot(self) -> "Store":
        """Return an independent copy of the current state."""
        duplicate = Store()
        duplicate.revision = self.revision
        duplicate._rows = copy.copy(self._rows)
        duplicate._keys = copy.copy(self._keys)
        return duplicate

    def replace(self, other: "Store") -> None:
        """Take over the state of another store, which is not used afterwards."""
        self.revision = other.revision
        self._rows = other._rows
        self._keys = other._keys

    def get(self, key: bytes) -> StoredRow | None:
        """Return the row of a key, or None if the key does not exist."""
        return self._rows.get(key)

    def range(self, key: bytes, range_end: bytes = b"") -> list[StoredRow]:
        """Return the rows of a range of keys, in key order."""
        return [self._rows[match] for match in self._matching_keys(key, range_end)]

    def put(self, key: bytes, value: bytes, *, revision: int) -> None:
        """Create or update a row at a revision, which becomes the store's revision."""
        current = self._rows.get(key)
        if current is None:
            insort(self._keys, key)
            self._rows[key] = StoredRow(key, value, revision, revision, 1)
        else:
            self._rows[key] = current._replace(
                value=value, mod_revision=revision, version=current.version + 1
            )
        self.revision = revision

    def delete(self, key: bytes, range_end: bytes = b"", *, revision: int) -> int:
        """Delete a range of keys at a revision and return the number deleted.

        The revision becomes the store's revision only if a key was deleted.
        """
        matching_keys = list(self._matching_keys(key, range_end))
        for match in matching_keys:
            del self._rows[match]
            del self._keys[bisect_left(self._keys, match)]
        if matching_keys:
            self.revision = revision
        return len(matching_keys)

    def _matching_keys(self, key: bytes, range_end: bytes) -> Iterable[bytes]:
        if not range_end:
            return [key] if key in self._rows else []
        first = bisect_left(self._keys, key)
        if range_end == ALL_KEYS_END:
            return self._keys[first:]
        return self._keys[first : bisect_left(self._keys, range_end)]
