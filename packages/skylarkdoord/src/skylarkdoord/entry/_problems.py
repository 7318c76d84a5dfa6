"""Error responses to callers."""

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
    """Return an error response.

    Args:
        status: HTTP status.
        code: Stable machine-readable code.
        message: Human-readable description.
        not_run: Whether it is certain that the request was not run.
        retry_after_s: Time after which the caller may retry, in seconds; rounded
            up to whole seconds.
    """
    error = {
        "code": code,
        "type": TYPE_BY_STATUS.get(status, "server_error"),
        "message": message,
        "not_run": not_run,
    }
    response_headers = {}
    if retry_after_s is not None:
        whole_seconds = max(1, math.ceil(retry_after_s))
        error["retry_after_s"] = whole_seconds
        response_headers["Retry-After"] = str(whole_seconds)
    return web.json_response({"error": error}, status=status, headers=response_headers)
