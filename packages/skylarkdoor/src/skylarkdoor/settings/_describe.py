"""Descriptions of the values that a field's annotation allows."""

from typing import Any, Literal, get_args, get_origin

from msgspec import Meta

BASE_NAMES = {str: "a string", int: "an integer", float: "a number", bool: "a boolean"}
SECRET = {"secret": True}


def describe(kind: Any) -> str:
    """Return a description of the allowed values, such as `an integer >= 0`."""
    if get_origin(kind) is Literal:
        return "one of " + ", ".join(repr(value) for value in get_args(kind))
    metas = _metas(kind)
    base = _base(kind)
    description = BASE_NAMES.get(base, getattr(base, "__name__", str(base)))
    described = [meta.description for meta in metas if meta.description]
    if described:
        description = described[-1]
    return description + "".join(_bounds(meta) for meta in metas)


def is_secret(kind: Any) -> bool:
    """Return whether values with this annotation must not appear in messages."""
    return any(meta.extra == SECRET for meta in _metas(kind))


def _metas(kind: Any) -> list[Meta]:
    return [
        part for part in getattr(kind, "__metadata__", ()) if isinstance(part, Meta)
    ]


def _base(kind: Any) -> Any:
    return getattr(kind, "__origin__", kind)


def _bounds(meta: Meta) -> str:
    bounds = [
        f"{sign} {bound:g}"
        for sign, bound in (
            (">=", meta.ge),
            (">", meta.gt),
            ("<=", meta.le),
            ("<", meta.lt),
        )
        if bound is not None
    ]
    return f" {' and '.join(bounds)}" if bounds else ""
