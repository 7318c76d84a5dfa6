"""Conversion of plain documents into typed records and back.

msgspec decodes a `NamedTuple` from an array and lets a `TypedDict` carry
unknown keys, so each record class gets a struct of the same fields that
takes an object and forbids unknown keys; the struct is then turned into the
record.
"""

import types
import typing
from typing import Any, TypeVar, get_args, get_origin

import msgspec

from skylarkdoor.exceptions import SettingsError

T = TypeVar("T")


def _is_record(kind: Any) -> bool:
    return (
        isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")
    )


_structs: dict[type, type[msgspec.Struct]] = {}


def _struct(record: type) -> type[msgspec.Struct]:
    if record not in _structs:
        _structs[record] = _define(record)
    return _structs[record]


def _define(record: type) -> type[msgspec.Struct]:
    hints = typing.get_type_hints(record, include_extras=True)
    defaults = record._field_defaults  # type: ignore[attr-defined]
    fields: list[Any] = []
    for name in record._fields:  # type: ignore[attr-defined]
        kind = _checked(hints[name])
        if name in defaults:
            fields.append((name, kind, _struct_default(defaults[name])))
        else:
            fields.append((name, kind))
    return msgspec.defstruct(
        record.__name__, fields, forbid_unknown_fields=True, frozen=True, kw_only=True
    )


def _struct_default(default: Any) -> Any:
    if isinstance(default, dict):
        return msgspec.field(default_factory=lambda: dict(default))
    if _is_record(type(default)):
        return _struct(type(default))(**default._asdict())
    return default


def _checked(kind: Any) -> Any:
    """Return the annotation with each record class replaced by its struct."""
    if _is_record(kind):
        return _struct(kind)
    origin = get_origin(kind)
    if origin is typing.Annotated:
        return kind
    if origin in (types.UnionType, typing.Union):
        return typing.Union[tuple(_checked(part) for part in get_args(kind))]  # noqa: UP007
    if origin in (dict, tuple, list):
        parts = tuple(
            part if part is ... else _checked(part) for part in get_args(kind)
        )
        return origin[parts]
    return kind


def _to_record(value: Any, kind: Any) -> Any:
    if _is_record(kind):
        hints = typing.get_type_hints(kind)
        return kind(
            **{name: _to_record(getattr(value, name), hints[name]) for name in hints}
        )
    origin = get_origin(kind)
    if origin in (types.UnionType, typing.Union):
        present = next(part for part in get_args(kind) if part is not type(None))
        return None if value is None else _to_record(value, present)
    if origin is dict:
        part = get_args(kind)[1]
        return {key: _to_record(item, part) for key, item in value.items()}
    if origin is tuple:
        part = get_args(kind)[0]
        return tuple(_to_record(item, part) for item in value)
    return value


def convert(document: Any, record: type[T], *, source: str = "") -> T:
    """Check a plain document and return it as a record.

    Args:
        document: What a JSON reader returned.
        record: A `NamedTuple` class, whose annotations say what is allowed.
        source: File or settings path for messages.

    Raises:
        SettingsError: A field is unknown, missing or of the wrong type or
            range; the message names its path and what was expected.
    """
    try:
        checked = msgspec.convert(document, _struct(record))
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `")
        path = path.rstrip("`").removeprefix("$").removeprefix(".")
        raise SettingsError(message, path=path, source=source) from None
    result: T = _to_record(checked, record)
    return result


def to_plain(value: Any) -> Any:
    """Return a record as plain dicts and lists, ready for JSON."""
    if _is_record(type(value)):
        return {name: to_plain(item) for name, item in value._asdict().items()}
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value
