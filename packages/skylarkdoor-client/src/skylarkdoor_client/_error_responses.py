"""Conversion of an entry's error responses into exceptions."""

from typing import Any

from skylarkdoor_client.exceptions import (
    AbsentError,
    ClientError,
    ConflictError,
    InvalidError,
    PermissionDeniedError,
    Problem,
    UnavailableError,
    UnexpectedResponseError,
    UnknownOutcomeError,
)


def error_from_response(status: int, body: Any) -> ClientError:
    """Return the exception for an error response.

    Args:
        status: The HTTP status.
        body: The decoded body.
    """
    error = body.get("error") if isinstance(body, dict) else None
    if isinstance(error, str):
        error = {"message": error}
    if not isinstance(error, dict):
        return UnexpectedResponseError(f"unexpected response with status {status}")
    message = str(error.get("message", ""))
    match status:
        case 400:
            return InvalidError(_problems(error, message))
        case 401 | 403:
            return PermissionDeniedError(message)
        case 404:
            return AbsentError(message)
        case 409:
            return _conflict(error)
        case 502:
            return UnavailableError(message)
        case 503:
            return _store_down(error, message)
    return UnexpectedResponseError(f"status {status}: {message}")


def _problems(error: dict[str, Any], message: str) -> list[Problem]:
    problems = [
        Problem(str(item.get("path", "")), str(item.get("message", "")))
        for item in error.get("problems", ())
    ]
    return problems or [Problem("", message)]


def _conflict(error: dict[str, Any]) -> ConflictError:
    revision, author = int(error.get("revision", 0)), str(error.get("author", ""))
    changed = [str(path) for path in error.get("changed", ())]
    message = f"{author or 'somebody'} made revision {revision} first"
    return ConflictError(message, revision=revision, author=author, changed=changed)


def _store_down(error: dict[str, Any], message: str) -> ClientError:
    if error.get("not_applied", True):
        return UnavailableError(f"the platform's table is unavailable: {message}")
    return UnknownOutcomeError(
        f"the platform's table did not respond ({message}); "
        "the change may or may not have been made"
    )
