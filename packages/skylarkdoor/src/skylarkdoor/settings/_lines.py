"""Line numbers of the keys in a text of JSON with comments."""

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


class _Container:
    """An unclosed object or array and the current position in it."""

    def __init__(self, keys: Keys, *, array: bool) -> None:
        self.keys = keys
        self.array = array
        self.index = 0
        self.key = ""
        self.expects_key = not array

    def current_keys(self) -> Keys:
        """Return the keys that lead to the current value."""
        part = str(self.index) if self.array else self.key
        return (*self.keys, part)

    def advance(self) -> None:
        """Move to the next member or item."""
        self.index += 1
        self.expects_key = not self.array


def key_lines(text: str) -> Mapping[Keys, int]:
    """Return the line number of each member and item of a document.

    Args:
        text: JSON with comments, which must be well-formed.
    """
    lines: dict[Keys, int] = {}
    containers: list[_Container] = []
    line = 1
    for match in TOKEN.finditer(text):
        kind, token = match.lastgroup, match.group()
        if kind == "sign":
            _process_punctuation(containers, lines, token, line)
        elif kind != "skipped" and containers:
            _process_scalar(containers[-1], lines, token, line)
        line += token.count("\n")
    return lines


def nearest_line(lines: Mapping[Keys, int], keys: Keys) -> int:
    """Return the line of a path or of its nearest parent; 1 if neither is found."""
    for length in range(len(keys), 0, -1):
        if keys[:length] in lines:
            return lines[keys[:length]]
    return 1


def _process_punctuation(
    containers: list[_Container], lines: dict[Keys, int], sign: str, line: int
) -> None:
    if sign in "{[":
        keys: Keys = ()
        if containers:
            keys = containers[-1].current_keys()
            lines.setdefault(keys, line)
        containers.append(_Container(keys, array=sign == "["))
    elif sign in "}]" and containers:
        containers.pop()
    elif sign == "," and containers:
        containers[-1].advance()


def _process_scalar(
    container: _Container, lines: dict[Keys, int], token: str, line: int
) -> None:
    if container.expects_key:
        container.key = str(json5.loads(token)) if token[0] in "\"'" else token
        container.expects_key = False
    lines.setdefault(container.current_keys(), line)
