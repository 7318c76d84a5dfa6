"""Lines of a JSON-with-comments text on which its keys stand."""

import re
from collections.abc import Mapping

import json5

TOKEN = re.compile(
    r"""
    (?P<skipped>\s+|//[^\n]*|/\*.*?\*/)
    | (?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    | (?P<sign>[{}\[\]:,])
    | (?P<word>[^\s{}\[\]:,"'/]+)
    """,
    re.VERBOSE | re.DOTALL,
)

Keys = tuple[str, ...]


class _Level:
    """An object or array that is open, and the place inside it."""

    def __init__(self, keys: Keys, *, array: bool) -> None:
        self.keys = keys
        self.array = array
        self.index = 0
        self.key = ""
        self.expects_key = not array

    def here(self) -> Keys:
        """Return the keys of the value that stands next."""
        part = str(self.index) if self.array else self.key
        return (*self.keys, part)

    def advance(self) -> None:
        """Go on to the next member or item."""
        self.index += 1
        self.expects_key = not self.array


def key_lines(text: str) -> Mapping[Keys, int]:
    """Return the line of each member and item of a well-formed document.

    Args:
        text: JSON with comments that the reader has accepted.
    """
    lines: dict[Keys, int] = {}
    levels: list[_Level] = []
    line = 1
    for match in TOKEN.finditer(text):
        kind, token = match.lastgroup, match.group()
        if kind == "sign":
            _take_sign(levels, lines, token, line)
        elif kind != "skipped" and levels:
            _take_scalar(levels[-1], lines, token, line)
        line += token.count("\n")
    return lines


def nearest_line(lines: Mapping[Keys, int], keys: Keys) -> int:
    """Return the line of a path or of its nearest parent; 1 for the whole."""
    for length in range(len(keys), 0, -1):
        if keys[:length] in lines:
            return lines[keys[:length]]
    return 1


def _take_sign(
    levels: list[_Level], lines: dict[Keys, int], sign: str, line: int
) -> None:
    if sign in "{[":
        keys: Keys = ()
        if levels:
            keys = levels[-1].here()
            lines.setdefault(keys, line)
        levels.append(_Level(keys, array=sign == "["))
    elif sign in "}]" and levels:
        levels.pop()
    elif sign == "," and levels:
        levels[-1].advance()


def _take_scalar(level: _Level, lines: dict[Keys, int], token: str, line: int) -> None:
    if level.expects_key:
        level.key = str(json5.loads(token)) if token[0] in "\"'" else token
        level.expects_key = False
    lines.setdefault(level.here(), line)
