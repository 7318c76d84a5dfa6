"""Idempotent HTTP requests to a service with several endpoints."""

from collections.abc import Mapping
from typing import NamedTuple

import aiohttp

from skylarkdoor.clients._endpoints import Endpoints

_SERVER_ERROR = 500


class HttpAnswer(NamedTuple):
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class NoAnswerError(Exception):
    """No endpoint answered without an error of its own."""


async def request(
    session: aiohttp.ClientSession,
    endpoints: Endpoints,
    method: str,
    path: str,
    *,
    timeout: aiohttp.ClientTimeout,
    data: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> HttpAnswer:
    """Return the first answer that an endpoint gives.

    Raises:
        NoAnswerError: Every endpoint failed or answered with a server error.
    """
    failure: object = None
    for url in endpoints:
        try:
            async with session.request(
                method, f"{url}{path}", data=data, headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
                if response.status < _SERVER_ERROR:
                    return HttpAnswer(response.status, response.headers, body)
                failure = f"status {response.status}"
        except (aiohttp.ClientError, TimeoutError) as error:
            failure = error
    raise NoAnswerError(f"{method} {path}: {failure!r}")
