"""Errors as callers see them."""

import math

from aiohttp import web

TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    408: "timeout_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}


def problem(
    status: int,
    code: str,
    message: str,
    *,
    not_run: bool = True,
    retry_after_s: float | None = None,
) -> web.Response:
    """Return an error answer.

    Args:
        status: HTTP status.
        code: Stable code for programs.
        message: One sentence for people.
        not_run: Whether it is certain that nothing was run.
        retry_after_s: When the caller may come back, in seconds.
    """
    error = {
        "code": code,
        "type": TYPE_BY_STATUS.get(status, "server_error"),
        "message": message,
        "not_run": not_run,
    }
    sent = {}
    if retry_after_s is not None:
        whole = max(1, math.ceil(retry_after_s))
        error["retry_after_s"] = whole
        sent["Retry-After"] = str(whole)
    return web.json_response({"error": error}, status=status, headers=sent)
