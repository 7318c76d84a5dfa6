"""Errors of the client, each with its exit status."""

import enum
from collections.abc import Sequence
from typing import Any, NamedTuple

from skylarkdoor.exceptions import SkylarkdoorError

__all__ = [
    "AbsentError",
    "ClientError",
    "ConflictError",
    "ExitCode",
    "InvalidError",
    "PermissionDeniedError",
    "Problem",
    "UnavailableError",
    "UnexpectedResponseError",
    "UnknownOutcomeError",
]


class ExitCode(enum.IntEnum):
    """Exit statuses of the client; they are stable, so scripts may rely on them."""

    OK = 0
    DIFFERENT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    DENIED = 5
    ABSENT = 6
    UNAVAILABLE = 7
    OUTCOME_UNKNOWN = 8
    UNEXPECTED = 9


class Problem(NamedTuple):
    """One problem in the settings.

    Attributes:
        path: Settings path of the problem.
        message: What is wrong and what was expected.
    """

    path: str
    message: str


class ClientError(SkylarkdoorError):
    """Base of the client's errors."""

    exit_code = ExitCode.UNEXPECTED

    def fields(self) -> dict[str, Any]:
        """Return the error's fields for JSON output."""
        return {"code": self.exit_code.name.lower(), "message": str(self)}


class InvalidError(ClientError):
    """Settings are invalid."""

    exit_code = ExitCode.INVALID

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(f"{p.path}: {p.message}" for p in problems))

    def fields(self) -> dict[str, Any]:
        """Return the error's fields for JSON output, with the problems."""
        problems = [problem._asdict() for problem in self.problems]
        return {**super().fields(), "problems": problems}


class ConflictError(ClientError):
    """The subtree is not at the expected revision; nothing was changed.

    Attributes:
        revision: Current revision.
        author: Author of the current revision.
        changed: Paths changed since the expected revision.
    """

    exit_code = ExitCode.CONFLICT

    def __init__(
        self, message: str, *, revision: int, author: str, changed: Sequence[str]
    ) -> None:
        self.revision = revision
        self.author = author
        self.changed = tuple(changed)
        super().__init__(message)

    def fields(self) -> dict[str, Any]:
        """Return the error's fields for JSON output, with the conflicting change."""
        return {
            **super().fields(),
            "revision": self.revision,
            "author": self.author,
            "changed": list(self.changed),
        }


class PermissionDeniedError(ClientError):
    """The token is absent, unknown or has no permission for the path."""

    exit_code = ExitCode.DENIED


class AbsentError(ClientError):
    """The path or name does not exist."""

    exit_code = ExitCode.ABSENT


class UnavailableError(ClientError):
    """The entry or the table does not respond; nothing was changed."""

    exit_code = ExitCode.UNAVAILABLE


class UnknownOutcomeError(ClientError):
    """It is unknown whether a change was made."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class UnexpectedResponseError(ClientError):
    """The entry's response has an unexpected status or format."""
