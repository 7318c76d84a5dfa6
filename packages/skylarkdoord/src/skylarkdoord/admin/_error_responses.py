"""Error responses of the operators' API."""

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


def handle_errors(handler: Handler) -> Handler:
    """Wrap a handler so that its exceptions become JSON error responses."""

    async def answer(request: web.Request) -> web.Response:
        try:
            return await handler(request)
        except SettingsError as error:
            return error_response(_invalid_error(error))
        except AdminError as error:
            return error_response(error)

    return answer


def _invalid_error(error: SettingsError) -> InvalidError:
    return InvalidError([Problem(part.path, part.message) for part in error.problems])


def error_response(error: AdminError) -> web.Response:
    """Return the HTTP response for an error."""
    match error:
        case UnauthorizedError():
            headers = {"WWW-Authenticate": "Bearer"}
            return _json_error(401, "unauthorized", error, headers=headers)
        case ScopeError():
            return _json_error(403, "scope", error)
        case AbsentError():
            return _json_error(404, "absent", error)
        case InvalidError():
            problems = [problem._asdict() for problem in error.problems]
            return _json_error(400, "invalid", error, problems=problems)
        case ConflictError():
            return _json_error(
                409,
                "conflict",
                error,
                revision=error.revision,
                author=error.author,
                changed=list(error.changed),
            )
        case StoreDownError():
            headers = {"Retry-After": str(RETRY_AFTER_S)}
            return _json_error(
                503,
                "store_down",
                error,
                headers=headers,
                not_applied=error.not_applied,
            )
        case UnreachableError():
            return _json_error(502, "unreachable", error)
    return _json_error(500, "failed", error)


def _json_error(
    status: int,
    code: str,
    error: AdminError,
    *,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> web.Response:
    body = {"error": {"code": code, "message": str(error), **fields}}
    return web.json_response(body, status=status, headers=headers)
