"""Calls to the upstream: each request is sent at most once."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

from skylarkdoor import tracing
from skylarkdoord.common import _headers as headers
from skylarkdoord.exceptions import (
    AnswerCrossedError,
    NotRunError,
    UpstreamCutError,
    UpstreamLostError,
)
from skylarkdoord.sidecar._call import Call

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 120.0
BODILESS_STATUSES = (204, 304)


class UpstreamClient:
    """Sends calls to one upstream.

    Args:
        url: The upstream's base URL.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        timeout = aiohttp.ClientTimeout(
            total=None, connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
        )
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            timeout=timeout,
            auto_decompress=False,
            middlewares=(send_once,),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    @asynccontextmanager
    async def open(self, call: Call, body: bytes) -> AsyncIterator[ClientResponse]:
        """Send a call and yield its answer once that has begun.

        Raises:
            NotRunError: No connection to the upstream could be opened.
            UpstreamCutError: The call was sent and no whole answer came.
            AnswerCrossedError: The answer is another request's.
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
                raise NotRunError("upstream_down", "no connection") from error
            except (aiohttp.ClientError, UpstreamLostError, TimeoutError) as error:
                raise UpstreamCutError(repr(error)) from error

    async def is_up(self) -> bool:
        """Return whether the upstream answers at all."""
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        try:
            async with self.session.get(f"{self.url}/health", timeout=timeout):
                return True
        except TimeoutError:
            return True
        except (aiohttp.ClientError, UpstreamLostError):
            return False


async def send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Keep aiohttp from sending a request again when its connection ends.

    aiohttp resends methods that HTTP calls idempotent, on a fresh connection
    too, after two kinds of error; another kind of error is not taken for them.

    Raises:
        UpstreamLostError: The connection ended.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise UpstreamLostError(repr(error)) from error


def has_marked_end(answer: ClientResponse) -> bool:
    """Return whether the end of an answer's body can be told from a cut."""
    if answer.method == "HEAD" or answer.status in BODILESS_STATUSES:
        return True
    chunked = "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in answer.headers


def _check_own(call: Call, answer: ClientResponse) -> None:
    bears = answer.headers.get(headers.REQUEST_ID, call.request_id)
    if bears != call.request_id:
        raise AnswerCrossedError(f"the answer bears {bears}")
