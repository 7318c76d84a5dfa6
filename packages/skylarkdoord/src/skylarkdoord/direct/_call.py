"""Calls to upstreams, each on a connection of its own.

A connection that served another request before may carry bytes that belong to
that request, or end just as the next one is sent; a fresh one leaves no doubt
whose answer comes and whether a request was received.
"""

import asyncio

import aiohttp
from yarl import URL

from skylarkdoord.direct._adapter import Adapter, UpstreamHead
from skylarkdoord.direct._model import Admitted, UpstreamRecord
from skylarkdoord.direct._sockets import open_socket
from skylarkdoord.direct.exceptions import (
    AnswerCutError,
    UpstreamNotRunError,
    UpstreamSilentError,
)

CONNECT_TIMEOUT_S = 0.5
MAX_FIELD_BYTES = 16 * 1024
NO_HEADERS = frozenset({"User-Agent", "Accept", "Accept-Encoding", "Content-Type"})


class Answer:
    """An upstream's answer whose head has come.

    Args:
        response: The HTTP response.
        head: What its head says.
    """

    def __init__(self, response: aiohttp.ClientResponse, head: UpstreamHead) -> None:
        self.response = response
        self.head = head
        self.status = response.status
        connection = response.connection
        self.protocol = connection.protocol if connection else None
        length = response.headers.get("Content-Length")
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        self.ends_with_connection = length is None and not chunked

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; none at its end.

        Raises:
            AnswerCutError: It ended before it was whole.
        """
        try:
            chunk = await self.response.content.readany()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise AnswerCutError(repr(error)) from None
        if not chunk:
            self.check_end()
        return chunk

    def check_end(self) -> None:
        """Tell an end from a reset where only the connection's end shows it.

        Raises:
            AnswerCutError: The connection was reset.
        """
        if not self.ends_with_connection or self.protocol is None:
            return
        error = self.protocol.exception()
        if isinstance(error, aiohttp.ClientOSError):
            raise AnswerCutError(repr(error))

    async def read_whole(self) -> bytes:
        """Return the whole body.

        Raises:
            AnswerCutError: It ended before it was whole.
        """
        chunks = []
        while chunk := await self.read_chunk():
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """End the connection, whether or not the answer is complete."""
        self.response.close()


class UpstreamClient:
    """Sends requests to upstreams.

    Args:
        adapter: Translates the upstreams' protocol.
    """

    def __init__(self, adapter: Adapter) -> None:
        self.adapter = adapter
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                force_close=True,
                use_dns_cache=False,
                socket_factory=open_socket,
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=NO_HEADERS,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def send(
        self, admitted: Admitted, upstream: UpstreamRecord, *, last_event_id: str = ""
    ) -> Answer:
        """Send a request and return its answer once the head has come.

        Raises:
            UpstreamNotRunError: The request certainly did not run.
            UpstreamSilentError: No proper answer came; it may have run.
            TimeoutError: The request's time is up; it may have run.
        """
        request = admitted.request
        headers = self.adapter.upstream_headers(
            admitted, upstream, last_event_id=last_event_id
        )
        url = URL(f"http://{upstream.address}{request.target}", encoded=True)
        try:
            async with asyncio.timeout_at(admitted.deadline):
                response = await self.session.request(
                    request.method,
                    url,
                    headers=headers,
                    data=request.body or None,
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamNotRunError(
                "unreachable", repr(error), reached=False
            ) from None
        except TimeoutError:
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise UpstreamSilentError(repr(error)) from None
        return self.check(admitted, response)

    def check(self, admitted: Admitted, response: aiohttp.ClientResponse) -> Answer:
        """Return the answer if it belongs to the request.

        Raises:
            UpstreamNotRunError: The upstream says that it did not run.
            UpstreamSilentError: It answers another request, or nobody vouches for it.
        """
        head = self.adapter.read_head(response.status, response.headers)
        if head.request_id and head.request_id != admitted.request.request_id:
            response.close()
            raise UpstreamSilentError("the answer belongs to another request")
        if head.is_not_run or head.is_other_life:
            response.close()
            code = "moved" if head.is_other_life else "full"
            raise UpstreamNotRunError(code, f"status {response.status}", reached=True)
        if not head.is_signed:
            response.close()
            raise UpstreamSilentError(f"unsigned answer of status {response.status}")
        return Answer(response, head)
