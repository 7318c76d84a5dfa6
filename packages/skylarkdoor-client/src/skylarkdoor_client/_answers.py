"""Errors that an entry answers with, as errors of the client."""

from typing import Any

from skylarkdoor_client.exceptions import (
    AbsentError,
    AnswerError,
    ClientError,
    ConflictError,
    InvalidError,
    PermissionDeniedError,
    Problem,
    UnavailableError,
    UnknownOutcomeError,
)


def error_of(status: int, answer: Any) -> ClientError:
    """Return the error for an answer that is no success.

    Args:
        status: The HTTP status.
        answer: The decoded body.
    """
    said = answer.get("error") if isinstance(answer, dict) else None
    if isinstance(said, str):
        said = {"message": said}
    if not isinstance(said, dict):
        return AnswerError(f"unexpected answer with status {status}")
    message = str(said.get("message", ""))
    match status:
        case 400:
            return InvalidError(_problems(said, message))
        case 401 | 403:
            return PermissionDeniedError(message)
        case 404:
            return AbsentError(message)
        case 409:
            return _conflict(said)
        case 502:
            return UnavailableError(message)
        case 503:
            return _store_down(said, message)
    return AnswerError(f"status {status}: {message}")


def _problems(said: dict[str, Any], message: str) -> list[Problem]:
    problems = [
        Problem(str(item.get("path", "")), str(item.get("message", "")))
        for item in said.get("problems", ())
    ]
    return problems or [Problem("", message)]


def _conflict(said: dict[str, Any]) -> ConflictError:
    revision, author = int(said.get("revision", 0)), str(said.get("author", ""))
    changed = [str(path) for path in said.get("changed", ())]
    message = f"{author or 'somebody'} made revision {revision} first"
    return ConflictError(message, revision=revision, author=author, changed=changed)


def _store_down(said: dict[str, Any], message: str) -> ClientError:
    if said.get("not_applied", True):
        return UnavailableError(f"the platform's table is down: {message}")
    return UnknownOutcomeError(
        f"the platform's table gave no answer ({message}); "
        "the change may or may not have been made"
    )
