"""Reads JSON that somebody else wrote, with the same kind of error for any fault."""

import json
import math
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

TOO_DEEP = "nested too deeply"


def loads(data: bytes | str) -> Any:
    """Return the value of a JSON document.

    Raises:
        ValueError: The document is malformed, nests too deeply, has a key twice, or
            holds a number that is not finite.
    """
    try:
        return json.loads(
            data,
            parse_constant=_reject_constant,
            parse_float=_to_finite,
            object_pairs_hook=_to_object,
        )
    except RecursionError:
        raise ValueError(TOO_DEEP) from None


def decode(data: bytes | msgspec.Raw, type_: type[T]) -> T:
    """Return the value of a JSON document of a given type.

    Raises:
        MsgspecError: The document is malformed, nests too deeply or is of another type.
    """
    try:
        return msgspec.json.decode(data, type=type_)
    except RecursionError:
        raise msgspec.DecodeError(TOO_DEEP) from None


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is no number of JSON")


def _to_finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text} is too large")
    return value


def _to_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("an object has a key twice")
    return found
