"""Parser of JSON with comments, which keeps line numbers for error messages."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import json5

from skylarkdoor.exceptions import SettingsError, SettingsErrorGroup
from skylarkdoor.settings._lines import key_lines, nearest_line


class Document(NamedTuple):
    """A parsed file.

    Attributes:
        source: Name of the file, for error messages.
        value: Decoded content.
        lines: Line number of each member and item, by the keys that lead to it.
    """

    source: str
    value: Any
    lines: Mapping[tuple[str, ...], int]

    def locate(self, error: SettingsError) -> SettingsError:
        """Return the error with this file as its source and with line numbers."""
        located = [
            SettingsError(
                problem.message,
                path=problem.path,
                source=self.source,
                keys=problem.keys,
                line=nearest_line(self.lines, problem.keys),
            )
            for problem in error.problems
        ]
        if len(located) == 1:
            return located[0]
        return SettingsErrorGroup("settings are malformed", located)


def read_text(text: str, *, source: str = "<string>") -> Any:
    """Parse JSON with comments.

    Args:
        text: The document.
        source: File name for error messages.

    Raises:
        SettingsError: The text is malformed; the message names line and column.
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        message = str(error).removeprefix("<string>:")
        raise SettingsError(f"line {message}", source=source) from None
    except RecursionError:
        raise SettingsError("nested too deeply", source=source) from None


def read_document(path: str | Path) -> Document:
    """Parse a file of JSON with comments and keep the line numbers of its keys.

    Raises:
        SettingsError: The file cannot be read or is malformed.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot be read: {error}", source=str(path)) from None
    value = read_text(text, source=str(path))
    return Document(str(path), value, key_lines(text))


def read_file(path: str | Path) -> Any:
    """Parse a file of JSON with comments.

    Raises:
        SettingsError: The file cannot be read or is malformed.
    """
    return read_document(path).value
