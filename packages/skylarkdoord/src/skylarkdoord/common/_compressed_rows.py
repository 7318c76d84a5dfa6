"""In-memory store of compressed settings rows, from which peers are served."""

import zlib
from collections.abc import Iterator, MutableMapping
from typing import NamedTuple

from skylarkdoord.common import _rows as rows

COMPRESSION_LEVEL = 1


class CompressedRow(NamedTuple):
    """A settings row in compressed form.

    Attributes:
        revision: The row's revision.
        value: The compressed value of the row.
    """

    revision: int
    value: bytes


class CompressedRows(MutableMapping[str, rows.SettingsRow]):
    """Mapping from the path of a subtree to its settings row.

    Every process stores all rows in order to serve its peers but rarely reads
    them, so they are compressed to save memory.
    """

    def __init__(self) -> None:
        self.compressed: dict[str, CompressedRow] = {}

    def __getitem__(self, path: str) -> rows.SettingsRow:
        return rows.decode_settings(self.value(path), subtree=path)

    def __setitem__(self, path: str, row: rows.SettingsRow) -> None:
        value = zlib.compress(rows.encode_row(row), COMPRESSION_LEVEL)
        self.compressed[path] = CompressedRow(row.revision, value)

    def __delitem__(self, path: str) -> None:
        del self.compressed[path]

    def __iter__(self) -> Iterator[str]:
        return iter(self.compressed)

    def __len__(self) -> int:
        return len(self.compressed)

    def value(self, path: str) -> bytes:
        """Return the encoded value of a row, as stored in the table.

        Raises:
            KeyError: There is no row for the path.
        """
        return zlib.decompress(self.compressed[path].value)

    def revisions(self) -> dict[str, int]:
        """Return the revision of each row by path."""
        return {path: row.revision for path, row in self.compressed.items()}
