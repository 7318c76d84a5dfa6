"""A transactional key-value store in memory, with etcd's revisions."""

import copy
from bisect import bisect_left, insort
from collections.abc import Iterable
from typing import NamedTuple

ALL_KEYS_END = b"\0"


class StoredRow(NamedTuple):
    """A key with its value and the revisions that made it."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is the start, or lies from it up to an end."""
    if not end:
        return key == start
    return key >= start and (end == ALL_KEYS_END or key < end)


class Store:
    """Rows by key, and the revision of the last change."""

    def __init__(self) -> None:
        self.revision = 1
        self._rows: dict[bytes, StoredRow] = {}
        self._keys: list[bytes] = []

    def snapshot(self) -> "Store":
        """Return an independent copy of the present state."""
        duplicate = Store()
        duplicate.revision = self.revision
        duplicate._rows = copy.copy(self._rows)
        duplicate._keys = copy.copy(self._keys)
        return duplicate

    def get(self, key: bytes) -> StoredRow | None:
        """Return the row of a key, or None."""
        return self._rows.get(key)

    def range(self, key: bytes, range_end: bytes = b"") -> list[StoredRow]:
        """Return the rows of a key, or of the keys from it up to an end."""
        return [self._rows[name] for name in self._names(key, range_end)]

    def put(self, key: bytes, value: bytes, *, revision: int) -> None:
        """Write a row as of a revision."""
        held = self._rows.get(key)
        if held is None:
            insort(self._keys, key)
            self._rows[key] = StoredRow(key, value, revision, revision, 1)
        else:
            self._rows[key] = held._replace(
                value=value, mod_revision=revision, version=held.version + 1
            )
        self.revision = revision

    def delete(self, key: bytes, range_end: bytes = b"", *, revision: int) -> int:
        """Delete a key, or the keys up to an end, and return how many there were."""
        names = list(self._names(key, range_end))
        for name in names:
            del self._rows[name]
            del self._keys[bisect_left(self._keys, name)]
        if names:
            self.revision = revision
        return len(names)

    def _names(self, key: bytes, range_end: bytes) -> Iterable[bytes]:
        if not range_end:
            return [key] if key in self._rows else []
        first = bisect_left(self._keys, key)
        if range_end == ALL_KEYS_END:
            return self._keys[first:]
        return self._keys[first : bisect_left(self._keys, range_end)]
