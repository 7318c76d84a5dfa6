"""Errors of the operators' API."""

from collections.abc import Sequence
from typing import NamedTuple

from skylarkdoord.exceptions import DaemonError


class Problem(NamedTuple):
    """One thing wrong with settings.

    Attributes:
        path: Settings path at which it is wrong.
        message: What is wrong and what was expected.
    """

    path: str
    message: str


class AdminError(DaemonError):
    """Base of the API's errors."""


class UnauthorizedError(AdminError):
    """The request bears no token of an operator."""


class ScopeError(AdminError):
    """The operator may not do this at this path."""


class AbsentError(AdminError):
    """There is nothing at the path or under the name."""


class InvalidError(AdminError):
    """The change would make the settings wrong."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(f"{p.path}: {p.message}" for p in problems))


class ConflictError(AdminError):
    """Another change came first; nothing was applied.

    Args:
        revision: Revision now in the table.
        author: Who made it.
        changed: Paths changed since the revision that was expected.
    """

    def __init__(self, *, revision: int, author: str, changed: Sequence[str]) -> None:
        self.revision = revision
        self.author = author
        self.changed = tuple(changed)
        super().__init__(f"{author} made revision {revision} first")


class StoreDownError(AdminError):
    """The table gave no answer of use.

    Args:
        message: What went wrong.
        not_applied: Whether the change certainly was not and will not be applied.
    """

    def __init__(self, message: str, *, not_applied: bool) -> None:
        self.not_applied = not_applied
        super().__init__(message)


class UnreachableError(AdminError):
    """The instance or the instance list does not answer."""
