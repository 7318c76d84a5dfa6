"""Exceptions of the operators' API."""

from collections.abc import Sequence
from typing import NamedTuple

from skylarkdoord.exceptions import DaemonError


class Problem(NamedTuple):
    """A validation error in the settings.

    Attributes:
        path: Settings path of the invalid value.
        message: Description of the error, with the expected value where known.
    """

    path: str
    message: str


class AdminError(DaemonError):
    """Base class of the API's exceptions."""


class UnauthorizedError(AdminError):
    """The request contains no valid operator token."""


class ScopeError(AdminError):
    """The requested path is outside the operator's scope."""


class AbsentError(AdminError):
    """The requested path or name does not exist."""


class InvalidError(AdminError):
    """The request is malformed, or the change would make the settings invalid."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(f"{p.path}: {p.message}" for p in problems))


class ConflictError(AdminError):
    """A concurrent change was accepted first; this one was not applied.

    Args:
        revision: Current revision in the table.
        author: Name of the operator who made that revision.
        changed: Paths changed since the expected revision.
    """

    def __init__(self, *, revision: int, author: str, changed: Sequence[str]) -> None:
        self.revision = revision
        self.author = author
        self.changed = tuple(changed)
        super().__init__(f"{author} made revision {revision} first")


class StoreDownError(AdminError):
    """The table did not answer, returned stale data or rejected every attempt.

    Args:
        message: Description of the error.
        not_applied: Whether it is certain that the change was not and will not be
            applied; False if the outcome is unknown.
    """

    def __init__(self, message: str, *, not_applied: bool) -> None:
        self.not_applied = not_applied
        super().__init__(message)


class UnreachableError(AdminError):
    """The instance or the platform's instance list did not answer as expected."""
