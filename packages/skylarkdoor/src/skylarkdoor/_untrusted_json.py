"""Reads JSON that somebody else wrote, with the same kind of error for any fault.

The limits are the product's own. Those of the interpreter differ between its versions
and builds, and depend on how deep the calls nest at the moment.
"""

import itertools
import json
import math
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

# Levels of objects and arrays in a document.
MAX_DEPTH = 100
# Digits of a number; those of the largest finite float are fewer.
MAX_DIGITS = 1000

TOO_DEEP = "nested too deeply"
STEPS = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}
NO_BRACKETS = bytes(set(range(256)) - set(STEPS))


def loads(data: bytes | str) -> Any:
    """Return the value of a JSON document.

    Args:
        data: The document; bytes must be encoded in UTF-8.

    Raises:
        ValueError: The document is malformed, nests more than `MAX_DEPTH` levels, has a
            key twice, or holds a number that is not finite or too long.
    """
    text = data if isinstance(data, str) else data.decode()
    if is_too_deep(text):
        raise ValueError(TOO_DEEP)
    try:
        return DECODER.decode(text)
    except RecursionError:
        raise ValueError(TOO_DEEP) from None


def decode(data: bytes | msgspec.Raw, type_: type[T]) -> T:
    """Return the value of a JSON document of a given type.

    Raises:
        MsgspecError: The document is malformed, nests more than `MAX_DEPTH` levels or
            is of another type.
    """
    if is_too_deep(bytes(data).decode("latin-1")):
        raise msgspec.DecodeError(TOO_DEEP)
    try:
        return msgspec.json.decode(data, type=type_)
    except RecursionError:
        raise msgspec.DecodeError(TOO_DEEP) from None


def is_too_deep(text: str) -> bool:
    """Return whether a document nests more than `MAX_DEPTH` levels.

    Where it is malformed, only what precedes that place counts.
    """
    if text.count("[") + text.count("{") <= MAX_DEPTH:
        return False
    levels = itertools.accumulate(map(STEPS.__getitem__, _brackets(text)))
    return max(levels, default=0) > MAX_DEPTH


def _brackets(text: str) -> bytes:
    """Return the brackets of a document that are not within strings."""
    data = text.encode(errors="surrogatepass")
    without_escapes = data.replace(rb"\\", b"").replace(rb"\"", b"")
    outside_strings = without_escapes.split(b'"')[::2]
    return b"".join(outside_strings).translate(None, NO_BRACKETS)


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is no number of JSON")


def _to_finite(text: str) -> float:
    _check_length(text)
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text} is too large")
    return value


def _to_integer(text: str) -> int:
    _check_length(text)
    return int(text)


def _check_length(text: str) -> None:
    if len(text) > MAX_DIGITS:
        raise ValueError(f"a number has more than {MAX_DIGITS} characters")


def _to_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("an object has a key twice")
    return found


DECODER = json.JSONDecoder(
    parse_constant=_reject_constant,
    parse_float=_to_finite,
    parse_int=_to_integer,
    object_pairs_hook=_to_object,
)
