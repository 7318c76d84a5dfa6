"""Validation of a changed settings subtree by itself and against the others."""

from collections.abc import Mapping
from typing import Any

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings import (
    FLEET_PATH,
    Fleet,
    Team,
    check_document,
    check_shared,
)
from skylarkdoord.admin.exceptions import InvalidError, Problem


def check_change(subtree: str, document: Any, others: Mapping[str, Any]) -> None:
    """Check a subtree's new document by itself and against other subtrees.

    Args:
        subtree: Path of the subtree.
        document: The new document; None if the subtree is deleted.
        others: Documents of the subtrees to check it against, by path.

    Raises:
        InvalidError: The document is invalid, or a name that one subtree uses is
            not defined in the other.
    """
    if document is None and subtree == FLEET_PATH:
        raise InvalidError([Problem(subtree, "the fleet's settings cannot be deleted")])
    documents = {**others, subtree: document}
    contents = {
        path: _decode_document(path, value, subtree)
        for path, value in documents.items()
        if value is not None
    }
    _check_references(contents)


def _decode_document(path: str, document: Any, changed: str) -> Fleet | Team:
    try:
        return check_document(path, document)
    except SettingsError as error:
        if path == changed:
            raise InvalidError(
                [_to_problem(part, below=path) for part in error.problems]
            ) from None
        message = f"the stored settings at {path} are invalid: {error}"
        raise InvalidError([Problem(path, message)]) from None


def _check_references(contents: Mapping[str, Fleet | Team]) -> None:
    fleet = contents.get(FLEET_PATH)
    if not isinstance(fleet, Fleet):
        raise InvalidError(
            [
                Problem(
                    FLEET_PATH,
                    "the fleet's settings must be set before those of a team",
                )
            ]
        )
    teams = {
        path.rpartition("/")[2]: content
        for path, content in contents.items()
        if isinstance(content, Team)
    }
    try:
        check_shared(fleet, teams)
    except SettingsError as error:
        found = [Problem(part.path, part.message) for part in error.problems]
        raise InvalidError(found) from None


def _to_problem(error: SettingsError, *, below: str) -> Problem:
    if error.path.startswith("/"):
        return Problem(error.path, error.message)
    return Problem("/".join((below, *error.keys)), error.message)
