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
        held: The value in force as JSON, None if there is none.
        wanted: The value in the file as JSON, None if there is none.
    """

    path: str
    held: str | None
    wanted: str | None


def differences(path: str, held: Any, wanted: Any) -> list[Difference]:
    """Return how a document differs from the one in force.

    Whole subtrees are compared with their defaults filled in.

    Args:
        path: Path of both.
        held: The document in force, None if there is none.
        wanted: The other document.
    """
    return list(_differences(path, _filled(path, held), _filled(path, wanted)))


def _filled(path: str, document: Any) -> Any:
    try:
        return to_plain(check_document(path, document))
    except SettingsError:
        return document


def _differences(path: str, held: Any, wanted: Any) -> Iterator[Difference]:
    if isinstance(held, dict) and isinstance(wanted, dict):
        for key in sorted(held.keys() | wanted.keys()):
            inner = f"{path}/{key}"
            if key not in held:
                yield Difference(inner, None, json.dumps(wanted[key]))
            elif key not in wanted:
                yield Difference(inner, json.dumps(held[key]), None)
            else:
                yield from _differences(inner, held[key], wanted[key])
    elif held != wanted:
        yield Difference(path, json.dumps(held), json.dumps(wanted))


def text_of(found: list[Difference]) -> str:
    """Return differences as lines with `-` for the held and `+` for the wanted."""
    lines = []
    for path, held, wanted in found:
        if held is not None:
            lines.append(f"- {path}: {held}")
        if wanted is not None:
            lines.append(f"+ {path}: {wanted}")
    return "\n".join(lines)
