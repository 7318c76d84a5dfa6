"""Reading of JSON with comments."""

from pathlib import Path
from typing import Any

import json5

from skylarkdoor.exceptions import SettingsError


def read_text(text: str, *, source: str = "<string>") -> Any:
    """Parse JSON with comments.

    Args:
        text: The document.
        source: File name for messages.

    Raises:
        SettingsError: The text is malformed; the message names line and column.
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        message = str(error).removeprefix("<string>:")
        raise SettingsError(f"line {message}", source=source) from None


def read_file(path: str | Path) -> Any:
    """Parse a file of JSON with comments.

    Raises:
        SettingsError: The file cannot be read or is malformed.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot be read: {error}", source=str(path)) from None
    return read_text(text, source=str(path))
