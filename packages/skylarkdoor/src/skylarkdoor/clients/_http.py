"""Idempotent HTTP requests to a service with several endpoints."""

from collections.abc import Mapping
from typing import NamedTuple

import aiohttp

from skylarkdoor import bounded_http
from skylarkdoor.clients._endpoints import Endpoints

_SERVER_ERROR = 500
# Largest response, unless the caller states another limit.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class HttpResponse(NamedTuple):
    """A response whose body has been read completely."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class NoResponseError(Exception):
    """No endpoint responded, or only with a server error (status 5xx)."""


async def request(
    session: aiohttp.ClientSession,
    endpoints: Endpoints,
    method: str,
    path: str,
    *,
    timeout: aiohttp.ClientTimeout,
    data: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> HttpResponse:
    """Send a request to each endpoint in turn; return the first response.

    Args:
        session: HTTP session to use.
        endpoints: Base URLs of the service.
        method: HTTP method, which must be idempotent: a request whose response is
            lost is repeated at the next endpoint.
        path: Path of the request.
        timeout: Timeout of the request to one endpoint.
        data: Body of the request.
        headers: Headers of the request.
        max_bytes: Largest body of a response, in bytes.

    Raises:
        NoResponseError: Every endpoint failed or returned a server error.
    """
    failure: object = None
    for url in endpoints:
        try:
            async with session.request(
                method, f"{url}{path}", data=data, headers=headers, timeout=timeout
            ) as response:
                body = await bounded_http.read_body(response, max_bytes)
                if response.status < _SERVER_ERROR:
                    return HttpResponse(response.status, response.headers, body)
                failure = f"status {response.status}"
        except (aiohttp.ClientError, TimeoutError) as error:
            failure = error
    raise NoResponseError(f"{method} {path}: {failure!r}")
