"""Differences between two settings documents."""

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import check_document, to_plain


class Difference(NamedTuple):
    """One value that differs.

    Attributes:
        path: Settings path of the value.
        held: The current value as JSON, None if there is none.
        wanted: The requested value, from the file, as JSON; None if there is none.
    """

    path: str
    held: str | None
    wanted: str | None


def differences(path: str, current: Any, requested: Any) -> list[Difference]:
    """Return the differences between a requested document and the current one.

    If the documents are whole subtrees, absent fields are compared by their defaults.

    Args:
        path: Settings path of both documents.
        current: The current document, None if there is none.
        requested: The requested document.
    """
    return list(
        _differences(
            path, _with_defaults(path, current), _with_defaults(path, requested)
        )
    )


def _with_defaults(path: str, document: Any) -> Any:
    try:
        return to_plain(check_document(path, document))
    except SettingsError:
        return document


def _differences(path: str, current: Any, requested: Any) -> Iterator[Difference]:
    if isinstance(current, dict) and isinstance(requested, dict):
        for key in sorted(current.keys() | requested.keys()):
            inner = f"{path}/{key}"
            if key not in current:
                yield Difference(inner, None, json.dumps(requested[key]))
            elif key not in requested:
                yield Difference(inner, json.dumps(current[key]), None)
            else:
                yield from _differences(inner, current[key], requested[key])
    elif current != requested:
        yield Difference(path, json.dumps(current), json.dumps(requested))


def diff_text(found: list[Difference]) -> str:
    """Return differences as lines: `-` for current, `+` for requested values."""
    lines = []
    for path, current, requested in found:
        if current is not None:
            lines.append(f"- {path}: {current}")
        if requested is not None:
            lines.append(f"+ {path}: {requested}")
    return "\n".join(lines)
