"""Conversion of plain documents into typed records and back.

msgspec decodes a `NamedTuple` from an array, lets a `TypedDict` carry unknown
keys, stops at the first problem and names no keys of a dict. So the walk
through records, dicts and tuples is done here, and msgspec checks each leaf.
"""

import difflib
import functools
import types
import typing
from collections.abc import Iterable, Sequence
from typing import Any, TypeVar, get_args, get_origin

import msgspec

from skylarkdoor.exceptions import SettingsError, SettingsErrorGroup
from skylarkdoor.settings._describe import describe, is_secret

T = TypeVar("T")
Keys = tuple[str, ...]


def is_record(kind: Any) -> bool:
    """Return whether a type is a `NamedTuple` class."""
    return (
        isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")
    )


@functools.cache
def field_kinds(record: type) -> dict[str, Any]:
    """Return the annotation of each field of a record class."""
    return typing.get_type_hints(record, include_extras=True)


def raise_problems(message: str, problems: Sequence[SettingsError]) -> None:
    """Raise what was found: nothing, one error, or a group.

    Raises:
        SettingsError: There are problems; a `SettingsErrorGroup` for several.
    """
    if len(problems) == 1:
        raise problems[0]
    if problems:
        raise SettingsErrorGroup(message, problems)


def convert(document: Any, record: type[T], *, source: str = "") -> T:
    """Check a plain document and return it as a record.

    Args:
        document: What a JSON reader returned.
        record: A `NamedTuple` class, whose annotations say what is allowed.
        source: File or settings path for messages.

    Raises:
        SettingsError: Fields are unknown, missing or of the wrong type or
            range; a `SettingsErrorGroup` if there are several. Each message
            names the path and what was expected.
    """
    conversion = _Conversion(source)
    result: T = conversion.any(document, record, ())
    raise_problems("settings are malformed", conversion.problems)
    return result


def to_plain(value: Any) -> Any:
    """Return a record as plain dicts and lists, ready for JSON."""
    if is_record(type(value)):
        return {name: to_plain(item) for name, item in value._asdict().items()}
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value


class _Conversion:
    """One walk through a document that collects what is wrong."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.problems: list[SettingsError] = []

    def add(self, message: str, keys: Keys) -> None:
        """Note a problem."""
        problem = SettingsError(
            message, path=join_keys(keys), source=self.source, keys=keys
        )
        self.problems.append(problem)

    def any(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Return a value as its annotation says."""
        if is_record(kind):
            return self.record(value, kind, keys)
        origin = get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            return self.optional(value, kind, keys)
        if origin is dict:
            return self.dict(value, get_args(kind)[1], keys)
        if origin is tuple:
            return self.tuple(value, get_args(kind)[0], keys)
        return self.leaf(value, kind, keys)

    def record(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Return an object as a record; None after a problem."""
        if not isinstance(value, dict):
            self.mismatch("an object", value, keys)
            return None
        hints = field_kinds(kind)
        self.unknown(value, hints, keys)
        fields = {}
        for name, hint in hints.items():
            if name in value:
                fields[name] = self.any(value[name], hint, (*keys, name))
            elif name not in kind._field_defaults:
                self.add(f"missing required field `{name}`", keys)
                fields[name] = None
        return kind(**fields)

    def unknown(self, value: dict[str, Any], hints: Iterable[str], keys: Keys) -> None:
        """Note each key that is no field, with the field that it resembles."""
        for name in value:
            if name in hints:
                continue
            message = f"unknown field `{name}`"
            near = difflib.get_close_matches(name, hints, n=1)
            hint = f"did you mean `{near[0]}`?" if near else _one_of(hints)
            self.add(f"{message}; {hint}", (*keys, name))

    def optional(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Return null as None and anything else as the other type."""
        if value is None:
            return None
        present = next(part for part in get_args(kind) if part is not type(None))
        return self.any(value, present, keys)

    def dict(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Return an object with values of one type."""
        if not isinstance(value, dict):
            self.mismatch("an object", value, keys)
            return {}
        return {
            key: self.any(item, kind, (*keys, str(key))) for key, item in value.items()
        }

    def tuple(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Return an array with items of one type."""
        if not isinstance(value, list):
            self.mismatch("an array", value, keys)
            return ()
        return tuple(
            self.any(item, kind, (*keys, str(index)))
            for index, item in enumerate(value)
        )

    def leaf(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Return a plain value that msgspec has checked."""
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError:
            self.mismatch(describe(kind), value, keys, secret=is_secret(kind))
            return None

    def mismatch(
        self, expected: str, value: Any, keys: Keys, *, secret: bool = False
    ) -> None:
        """Note a value that is not what was expected."""
        got = type(value).__name__ if secret else _shown(value)
        self.add(f"expected {expected}, got {got}", keys)


def join_keys(keys: Keys) -> str:
    """Return keys as a path, with positions in brackets."""
    path = ""
    for key in keys:
        if key.isdigit():
            path += f"[{key}]"
        else:
            path += f".{key}" if path else key
    return path


def _one_of(names: Iterable[str]) -> str:
    return f"expected one of {', '.join(names)}"


def _shown(value: Any) -> str:
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "an array"
    if value is None:
        return "null"
    return repr(value)
