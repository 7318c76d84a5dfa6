"""Paths into settings documents."""

import re
from collections.abc import Iterator
from typing import Any, NamedTuple

from skylarkdoor.settings import FLEET_PATH, TEAMS_PATH, team_path
from skylarkdoord.admin.exceptions import AbsentError, InvalidError, Problem

TEAM_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MAX_CHANGED_PATHS = 64


class SettingsPath(NamedTuple):
    """A path, split where its subtree ends.

    Attributes:
        subtree: `/fleet` or `/teams/NAME`.
        keys: Keys from the subtree's document down to the value.
    """

    subtree: str
    keys: tuple[str, ...]

    @property
    def full(self) -> str:
        """The whole path."""
        return "/".join((self.subtree, *self.keys))


def parse_path(text: str) -> SettingsPath:
    """Split a path such as `/teams/seed/customers/x`.

    Raises:
        InvalidError: The path lies in no subtree.
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
        AbsentError: There is none.
    """
    value = document
    for key in path.keys:
        if not isinstance(value, dict) or key not in value:
            raise AbsentError(f"nothing at {path.full}")
        value = value[key]
    if value is None and not path.keys:
        raise AbsentError(f"nothing at {path.full}")
    return value


def with_value(document: Any, path: SettingsPath, value: Any) -> Any:
    """Return a document with the value at a path replaced.

    Objects on the way that are absent are made.

    Raises:
        InvalidError: Something on the way is no object.
    """
    return _replaced(document, path, path.keys, value)


def without_value(document: Any, path: SettingsPath) -> Any:
    """Return a document without the value at a path; None if that is all of it.

    Raises:
        AbsentError: There is no such value.
    """
    value_at(document, path)
    if not path.keys:
        return None
    parent = SettingsPath(path.subtree, path.keys[:-1])
    kept = dict(value_at(document, parent))
    del kept[path.keys[-1]]
    return with_value(document, parent, kept)


def _replaced(
    document: Any, path: SettingsPath, keys: tuple[str, ...], value: Any
) -> Any:
    if not keys:
        return value
    held = {} if document is None else document
    if not isinstance(held, dict):
        raise InvalidError([Problem(path.full, "expected an object on the way")])
    inner = _replaced(held.get(keys[0]), path, keys[1:], value)
    return {**held, keys[0]: inner}


def changed_paths(old: Any, new: Any, *, at: str) -> tuple[str, ...]:
    """Return the paths at which two documents differ.

    A path stands for all below it. Where there are more than
    `MAX_CHANGED_PATHS`, the path given stands for them.

    Args:
        old: The document before.
        new: The document after.
        at: Path of both.
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
    """Return whether a path is the scope or lies below it."""
    bound = scope.rstrip("/")
    return path == bound or path.startswith(f"{bound}/")


def overlaps(one: str, other: str) -> bool:
    """Return whether one of two paths lies within the other."""
    return is_within(one, other) or is_within(other, one)
