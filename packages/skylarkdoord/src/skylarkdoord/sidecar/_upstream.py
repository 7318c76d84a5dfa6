"""HTTP client for the upstream; it sends each request at most once."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import ClientResponse

from skylarkdoor import bounded_http, tracing
from skylarkdoor.exceptions import ResponseLostError
from skylarkdoor.failures import reason
from skylarkdoor.single_send import send_once
from skylarkdoord.common import _headers as headers
from skylarkdoord.exceptions import (
    AnswerCrossedError,
    NotRunError,
    UpstreamCutError,
)
from skylarkdoord.sidecar._call import Call

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 120.0
BODILESS_STATUSES = (204, 304)


class UpstreamClient:
    """Sends calls to one upstream.

    Args:
        url: Base URL of the upstream.

    Attributes:
        bodies: Bounds the answers that are received whole.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        timeout = aiohttp.ClientTimeout(
            total=None, connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
        )
        self.bodies = bounded_http.BodyBudget()
        self.session = bounded_http.open_session(
            connector=bounded_http.BoundedConnector(force_close=True, limit=0),
            timeout=timeout,
            auto_decompress=False,
            middlewares=(send_once,),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    @asynccontextmanager
    async def open(self, call: Call, body: bytes) -> AsyncIterator[ClientResponse]:
        """Send a call and yield the response when its headers have arrived.

        Raises:
            NotRunError: No connection to the upstream could be opened.
            UpstreamCutError: The call was sent, but no complete response arrived.
            AnswerCrossedError: The response belongs to another request.
        """
        sent = call.headers.copy()
        with tracing.span("upstream", call.context, request_id=call.request_id) as here:
            tracing.inject(sent, here)
            try:
                async with self.session.request(
                    call.method,
                    self.url + call.path,
                    data=body,
                    headers=sent,
                    allow_redirects=False,
                ) as answer:
                    _check_own(call, answer)
                    yield answer
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as error:
                raise NotRunError(
                    "upstream_down", "no connection to the upstream"
                ) from error
            except (aiohttp.ClientError, ResponseLostError, TimeoutError) as error:
                raise UpstreamCutError(reason(error)) from error

    async def is_up(self) -> bool:
        """Return whether the upstream answers a health request.

        Any status, an invalid response and a timeout count as up: an upstream that
        fails or is slow has not crashed.
        """
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        try:
            async with self.session.get(f"{self.url}/health", timeout=timeout):
                return True
        except (bounded_http.InvalidResponseError, TimeoutError):
            return True
        except (aiohttp.ClientError, ResponseLostError):
            return False


def can_detect_truncation(answer: ClientResponse) -> bool:
    """Return whether a truncated response body can be detected."""
    if answer.method == "HEAD" or answer.status in BODILESS_STATUSES:
        return True
    chunked = "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in answer.headers


def _check_own(call: Call, answer: ClientResponse) -> None:
    answer_id = answer.headers.get(headers.REQUEST_ID, call.request_id)
    if answer_id != call.request_id:
        raise AnswerCrossedError(f"the response has the request ID {answer_id}")
