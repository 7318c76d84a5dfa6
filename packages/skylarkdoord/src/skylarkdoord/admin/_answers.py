"""Answers of the operators' API."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from skylarkdoor.exceptions import SettingsError
from skylarkdoord.admin.exceptions import (
    AbsentError,
    AdminError,
    ConflictError,
    InvalidError,
    Problem,
    ScopeError,
    StoreDownError,
    UnauthorizedError,
    UnreachableError,
)

RETRY_AFTER_S = 2

Handler = Callable[[web.Request], Awaitable[web.Response]]


def with_errors(handler: Handler) -> Handler:
    """Return a handler whose errors are answered in the API's form."""

    async def answer(request: web.Request) -> web.Response:
        try:
            return await handler(request)
        except SettingsError as error:
            return error_answer(_invalid(error))
        except AdminError as error:
            return error_answer(error)

    return answer


def _invalid(error: SettingsError) -> InvalidError:
    return InvalidError([Problem(part.path, part.message) for part in error.problems])


def error_answer(error: AdminError) -> web.Response:
    """Return the answer for an error."""
    match error:
        case UnauthorizedError():
            headers = {"WWW-Authenticate": "Bearer"}
            return _answer(401, "unauthorized", error, headers=headers)
        case ScopeError():
            return _answer(403, "scope", error)
        case AbsentError():
            return _answer(404, "absent", error)
        case InvalidError():
            problems = [problem._asdict() for problem in error.problems]
            return _answer(400, "invalid", error, problems=problems)
        case ConflictError():
            return _answer(
                409,
                "conflict",
                error,
                revision=error.revision,
                author=error.author,
                changed=list(error.changed),
            )
        case StoreDownError():
            headers = {"Retry-After": str(RETRY_AFTER_S)}
            return _answer(
                503,
                "store_down",
                error,
                headers=headers,
                not_applied=error.not_applied,
            )
        case UnreachableError():
            return _answer(502, "unreachable", error)
    return _answer(500, "failed", error)


def _answer(
    status: int,
    code: str,
    error: AdminError,
    *,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> web.Response:
    body = {"error": {"code": code, "message": str(error), **fields}}
    return web.json_response(body, status=status, headers=headers)
