"""Paths of values in the settings documents."""

import re
from collections.abc import Iterator
from typing import Any, NamedTuple

from skylarkdoor.settings import FLEET_PATH, TEAMS_PATH, team_path
from skylarkdoord.admin.exceptions import AbsentError, InvalidError, Problem

TEAM_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MAX_CHANGED_PATHS = 64


class SettingsPath(NamedTuple):
    """A settings path, split into its subtree and the keys within it.

    Attributes:
        subtree: `/fleet` or `/teams/NAME`.
        keys: Keys that lead from the subtree's document to the value.
    """

    subtree: str
    keys: tuple[str, ...]

    @property
    def full(self) -> str:
        """The full path: the subtree followed by the keys."""
        return "/".join((self.subtree, *self.keys))


def parse_path(text: str) -> SettingsPath:
    """Parse a path such as `/teams/seed/customers/x`.

    Raises:
        InvalidError: The path is not in a subtree.
    """
    parts = [part for part in text.split("/") if part]
    if parts and f"/{parts[0]}" == FLEET_PATH:
        return SettingsPath(FLEET_PATH, tuple(parts[1:]))
    is_team = len(parts) > 1 and f"/{parts[0]}" == TEAMS_PATH
    if is_team and TEAM_NAME.fullmatch(parts[1]):
        return SettingsPath(team_path(parts[1]), tuple(parts[2:]))
    raise InvalidError([Problem(text, "expected a path below /fleet or /teams/NAME")])


def value_at(document: Any, path: SettingsPath) -> Any:
    """Return the value at a path of its subtree's document.

    Raises:
        AbsentError: There is no value at the path.
    """
    value = document
    for key in path.keys:
        if not isinstance(value, dict) or key not in value:
            raise AbsentError(f"no value at {path.full}")
        value = value[key]
    if value is None and not path.keys:
        raise AbsentError(f"no value at {path.full}")
    return value


def with_value(document: Any, path: SettingsPath, value: Any) -> Any:
    """Return a copy of a document with the value at a path set.

    Missing objects along the path are created.

    Raises:
        InvalidError: A value along the path is not an object.
    """
    return _with_value(document, path, path.keys, value)


def without_value(document: Any, path: SettingsPath) -> Any:
    """Return a copy of a document without the value at a path.

    If the path is that of the whole document, return None.

    Raises:
        AbsentError: There is no value at the path.
    """
    value_at(document, path)
    if not path.keys:
        return None
    parent = SettingsPath(path.subtree, path.keys[:-1])
    kept = dict(value_at(document, parent))
    del kept[path.keys[-1]]
    return with_value(document, parent, kept)


def _with_value(
    document: Any, path: SettingsPath, keys: tuple[str, ...], value: Any
) -> Any:
    if not keys:
        return value
    current = {} if document is None else document
    if not isinstance(current, dict):
        raise InvalidError(
            [Problem(path.full, "a value along the path is not an object")]
        )
    inner = _with_value(current.get(keys[0]), path, keys[1:], value)
    return {**current, keys[0]: inner}


def changed_paths(old: Any, new: Any, *, at: str) -> tuple[str, ...]:
    """Return the paths at which two documents differ.

    A path in the result covers every path below it. If there are more than
    `MAX_CHANGED_PATHS`, only the path of the documents is returned.

    Args:
        old: The document before the change.
        new: The document after the change.
        at: Path of both documents.
    """
    found = tuple(_differences(old, new, at))
    return found if len(found) <= MAX_CHANGED_PATHS else (at,)


def _differences(old: Any, new: Any, at: str) -> Iterator[str]:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            if key not in old or key not in new:
                yield f"{at}/{key}"
            else:
                yield from _differences(old[key], new[key], f"{at}/{key}")
    elif old != new:
        yield at


def is_within(path: str, scope: str) -> bool:
    """Return whether a path equals the scope or is below it."""
    bound = scope.rstrip("/")
    return path == bound or path.startswith(f"{bound}/")


def overlaps(one: str, other: str) -> bool:
    """Return whether one of two paths equals the other or is below it."""
    return is_within(one, other) or is_within(other, one)
