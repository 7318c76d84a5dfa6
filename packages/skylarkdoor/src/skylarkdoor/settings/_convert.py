"""Conversion of plain documents into typed records and back.

msgspec decodes a `NamedTuple` only from an array, accepts unknown keys for a
`TypedDict`, stops at the first error and omits the keys of dicts from its error paths.
Therefore this module traverses records, dicts and tuples itself and uses msgspec
only to check scalar values.
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
    """Raise the given problems, if there are any.

    Raises:
        SettingsError: There is one problem; a `SettingsErrorGroup` if there are
            several.
    """
    if len(problems) == 1:
        raise problems[0]
    if problems:
        raise SettingsErrorGroup(message, problems)


def convert(document: Any, record: type[T], *, source: str = "") -> T:
    """Validate a plain document and return it as a record.

    Args:
        document: Decoded JSON document.
        record: A `NamedTuple` class whose annotations define the allowed values.
        source: File or settings path for error messages.

    Raises:
        SettingsError: Fields are unknown, missing or of the wrong type or
            range; a `SettingsErrorGroup` if there are several. Each message
            names the path and what was expected.
    """
    conversion = _Conversion(source)
    result: T = conversion.convert_value(document, record, ())
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
    """One traversal of a document, which collects all problems."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.problems: list[SettingsError] = []

    def add_problem(self, message: str, keys: Keys) -> None:
        """Record a problem."""
        problem = SettingsError(
            message, path=join_keys(keys), source=self.source, keys=keys
        )
        self.problems.append(problem)

    def convert_value(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Convert a value to the type in its annotation."""
        if is_record(kind):
            return self.convert_record(value, kind, keys)
        origin = get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            return self.convert_optional(value, kind, keys)
        if origin is dict:
            return self.convert_dict(value, get_args(kind)[1], keys)
        if origin is tuple:
            return self.convert_tuple(value, get_args(kind)[0], keys)
        return self.convert_scalar(value, kind, keys)

    def convert_record(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Convert an object to a record; return None if it is not an object."""
        if not isinstance(value, dict):
            self.add_mismatch("an object", value, keys)
            return None
        hints = field_kinds(kind)
        self.check_unknown_fields(value, hints, keys)
        fields = {}
        for name, hint in hints.items():
            if name in value:
                fields[name] = self.convert_value(value[name], hint, (*keys, name))
            elif name not in kind._field_defaults:
                self.add_problem(f"missing required field `{name}`", keys)
                fields[name] = None
        return kind(**fields)

    def check_unknown_fields(
        self, value: dict[str, Any], hints: Iterable[str], keys: Keys
    ) -> None:
        """Record a problem for each unknown key, with the most similar field."""
        for name in value:
            if name in hints:
                continue
            message = f"unknown field `{name}`"
            similar = difflib.get_close_matches(name, hints, n=1)
            hint = f"did you mean `{similar[0]}`?" if similar else _one_of(hints)
            self.add_problem(f"{message}; {hint}", (*keys, name))

    def convert_optional(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Convert null to None and any other value to the other type."""
        if value is None:
            return None
        present = next(part for part in get_args(kind) if part is not type(None))
        return self.convert_value(value, present, keys)

    def convert_dict(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Convert an object whose values have one type."""
        if not isinstance(value, dict):
            self.add_mismatch("an object", value, keys)
            return {}
        return {
            key: self.convert_value(item, kind, (*keys, str(key)))
            for key, item in value.items()
        }

    def convert_tuple(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Convert an array whose items have one type."""
        if not isinstance(value, list):
            self.add_mismatch("an array", value, keys)
            return ()
        return tuple(
            self.convert_value(item, kind, (*keys, str(index)))
            for index, item in enumerate(value)
        )

    def convert_scalar(self, value: Any, kind: Any, keys: Keys) -> Any:
        """Convert a scalar value with msgspec."""
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError:
            self.add_mismatch(describe(kind), value, keys, secret=is_secret(kind))
            return None

    def add_mismatch(
        self, expected: str, value: Any, keys: Keys, *, secret: bool = False
    ) -> None:
        """Record a problem for a value that is not as expected."""
        got = type(value).__name__ if secret else _format_value(value)
        self.add_problem(f"expected {expected}, got {got}", keys)


def join_keys(keys: Keys) -> str:
    """Return keys as a path, with array indexes in brackets."""
    path = ""
    for key in keys:
        if key.isdigit():
            path += f"[{key}]"
        else:
            path += f".{key}" if path else key
    return path


def _one_of(names: Iterable[str]) -> str:
    return f"expected one of {', '.join(names)}"


def _format_value(value: Any) -> str:
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "an array"
    if value is None:
        return "null"
    return repr(value)
