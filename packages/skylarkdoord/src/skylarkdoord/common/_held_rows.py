"""The rows of settings that a process passes on, held packed."""

import zlib
from collections.abc import Iterator, MutableMapping
from typing import NamedTuple

from skylarkdoord.common import _rows as rows

COMPRESSION_LEVEL = 1


class PackedRow(NamedTuple):
    """A row as it is held.

    Attributes:
        revision: The row's revision.
        value: The row's value, compressed.
    """

    revision: int
    value: bytes


class HeldRows(MutableMapping[str, rows.SettingsRow]):
    """Rows by the path of their subtree.

    Every process holds every row for its peers and seldom reads one, so they
    are kept packed rather than as documents.
    """

    def __init__(self) -> None:
        self.packed: dict[str, PackedRow] = {}

    def __getitem__(self, path: str) -> rows.SettingsRow:
        return rows.decode_settings(self.value(path), subtree=path)

    def __setitem__(self, path: str, row: rows.SettingsRow) -> None:
        value = zlib.compress(rows.encode_row(row), COMPRESSION_LEVEL)
        self.packed[path] = PackedRow(row.revision, value)

    def __delitem__(self, path: str) -> None:
        del self.packed[path]

    def __iter__(self) -> Iterator[str]:
        return iter(self.packed)

    def __len__(self) -> int:
        return len(self.packed)

    def value(self, path: str) -> bytes:
        """Return a row's value as the table has it.

        Raises:
            KeyError: No row is held at the path.
        """
        return zlib.decompress(self.packed[path].value)

    def revisions(self) -> dict[str, int]:
        """Return the revision held at each path."""
        return {path: row.revision for path, row in self.packed.items()}
