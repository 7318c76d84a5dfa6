"""Checks of a changed subtree against the others."""

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
        document: Its new document; None where the subtree is deleted.
        others: Documents of the subtrees that bear on it, by path.

    Raises:
        InvalidError: The document is wrong, or names and uses don't fit.
    """
    if document is None and subtree == FLEET_PATH:
        raise InvalidError([Problem(subtree, "the fleet can't be deleted")])
    documents = {**others, subtree: document}
    contents = {
        path: _checked(path, held, subtree)
        for path, held in documents.items()
        if held is not None
    }
    _check_together(contents)


def _checked(path: str, document: Any, changed: str) -> Fleet | Team:
    try:
        return check_document(path, document)
    except SettingsError as error:
        if path == changed:
            raise InvalidError(
                [_problem(part, below=path) for part in error.problems]
            ) from None
        message = f"{path} in the table can't be read: {error}"
        raise InvalidError([Problem(path, message)]) from None


def _check_together(contents: Mapping[str, Fleet | Team]) -> None:
    fleet = contents.get(FLEET_PATH)
    if not isinstance(fleet, Fleet):
        raise InvalidError([Problem(FLEET_PATH, "expected the fleet's settings first")])
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


def _problem(error: SettingsError, *, below: str) -> Problem:
    if error.path.startswith("/"):
        return Problem(error.path, error.message)
    return Problem("/".join((below, *error.keys)), error.message)
