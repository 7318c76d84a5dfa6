"""Errors of the client, each with the exit status that it ends in."""

import enum
from collections.abc import Sequence
from typing import Any, NamedTuple

from skylarkdoor.exceptions import SkylarkdoorError

__all__ = [
    "AbsentError",
    "AnswerError",
    "ClientError",
    "ConflictError",
    "ExitCode",
    "InvalidError",
    "PermissionDeniedError",
    "Problem",
    "UnavailableError",
    "UnknownOutcomeError",
]


class ExitCode(enum.IntEnum):
    """Exit statuses; scripts may rely on them."""

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
    """One thing wrong with settings.

    Attributes:
        path: Settings path at which it is wrong.
        message: What is wrong and what was expected.
    """

    path: str
    message: str


class ClientError(SkylarkdoorError):
    """Base of the client's errors."""

    exit_code = ExitCode.UNEXPECTED

    def fields(self) -> dict[str, Any]:
        """Return what programs are told of the error."""
        return {"code": self.exit_code.name.lower(), "message": str(self)}


class InvalidError(ClientError):
    """Settings are wrong."""

    exit_code = ExitCode.INVALID

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(f"{p.path}: {p.message}" for p in problems))

    def fields(self) -> dict[str, Any]:
        """Return the problems too."""
        problems = [problem._asdict() for problem in self.problems]
        return {**super().fields(), "problems": problems}


class ConflictError(ClientError):
    """Somebody else's change came first; nothing was changed.

    Attributes:
        revision: Revision now in force.
        author: Who made it.
        changed: Paths changed since the revision that was expected.
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
        """Return also what came first."""
        return {
            **super().fields(),
            "revision": self.revision,
            "author": self.author,
            "changed": list(self.changed),
        }


class PermissionDeniedError(ClientError):
    """The token is absent, unknown or not enough for the path."""

    exit_code = ExitCode.DENIED


class AbsentError(ClientError):
    """There is nothing under the path or name."""

    exit_code = ExitCode.ABSENT


class UnavailableError(ClientError):
    """The entry or the store does not answer; nothing was changed."""

    exit_code = ExitCode.UNAVAILABLE


class UnknownOutcomeError(ClientError):
    """It cannot be told whether a change was made."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class AnswerError(ClientError):
    """The entry's answer makes no sense to this client."""
