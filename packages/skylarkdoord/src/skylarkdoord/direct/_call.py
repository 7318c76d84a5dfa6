"""Sends requests to upstreams, each on a new connection.

A reused connection may still carry bytes of the previous answer, or may be closed
just as the next request is sent. On a new connection it is certain which request an
answer belongs to, and a failure to connect shows that the request was not received.
"""

import asyncio
from collections.abc import Callable, Sequence

import aiohttp
from yarl import URL

from skylarkdoor.bounded_http import (
    BodyBudget,
    BodyTooLargeError,
    BoundedConnector,
    on_read,
    open_session,
    read_chunk,
)
from skylarkdoor.exceptions import ResponseLostError
from skylarkdoor.failures import reason
from skylarkdoor.kernel import Kernel
from skylarkdoor.single_send import send_once
from skylarkdoord._listeners import call_all
from skylarkdoord.direct._adapter import Adapter, UpstreamHead
from skylarkdoord.direct._model import Admitted, UpstreamRecord
from skylarkdoord.direct._settings import AnswerBounds
from skylarkdoord.direct._sockets import open_socket
from skylarkdoord.direct.exceptions import (
    AnswerTruncatedError,
    UpstreamNotRunError,
    UpstreamSilentError,
)

CONNECT_TIMEOUT_S = 0.5
# Bytes of an answer that are received before they are read. Where the held bytes are
# bounded, fewer are, as each caller that reads slowly leaves them unread.
READ_BUFFER_BYTES = 64 * 1024
SMALL_READ_BUFFER_BYTES = 16 * 1024
# Interval at which a body that waits for its turn looks for room.
TURN_INTERVAL_S = 0.02
# Limits the status line and each header field of an upstream's answer.
MAX_FIELD_BYTES = 16 * 1024
# Headers that aiohttp would add and the caller's request may lack.
SKIPPED_AUTO_HEADERS = frozenset(
    {"User-Agent", "Accept", "Accept-Encoding", "Content-Type"}
)


class AnswerBuffer:
    """Counts the bytes of bodies that are being received.

    Args:
        bounds: Bounds on the sizes of answers.

    Attributes:
        budget: Bounds the bytes of all bodies.
        reserved: Bytes of the bodies of known length whose turn has come.
        has_room: Returns whether memory is left for a body of a length; None if held
            bytes are not bounded, so that none waits for its turn.
    """

    def __init__(self, bounds: AnswerBounds) -> None:
        self.bounds = bounds
        self.budget = BodyBudget(bounds.max_body_bytes, bounds.max_buffered_bytes)
        self.reserved = 0
        self.has_room: Callable[[int], bool] | None = None
        self.turn = asyncio.Lock()

    async def reserve(self, length: int) -> None:
        """Wait, in order, until a body of a known length may be received.

        Until then its upstream waits. Otherwise many large bodies at the same time
        would exceed the bound halfway, and all be lost.
        """
        if self.has_room is not None:
            async with self.turn:
                while self.is_full(length) or not self.has_room(length):
                    await asyncio.sleep(TURN_INTERVAL_S)
        self.reserved += length

    def is_full(self, length: int) -> bool:
        """Return whether a body has to wait for those that are being received."""
        most = self.bounds.max_buffered_bytes
        return bool(self.reserved) and self.reserved + length > most

    def release(self, length: int) -> None:
        """Let others be received after a body of a known length."""
        self.reserved -= length

    def add(self, received: int, body: int) -> None:
        """Count received bytes.

        Args:
            received: The bytes.
            body: Bytes of their body so far, including these.

        Raises:
            AnswerTruncatedError: The body or all bodies together are too large.
        """
        try:
            self.budget.add(received, body)
        except BodyTooLargeError as error:
            raise AnswerTruncatedError(str(error)) from None


class Answer:
    """An upstream's answer of which the head has arrived.

    Args:
        response: The HTTP response.
        head: The head as read by the adapter.
        buffer: Counts the bytes of its body while they are received.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: UpstreamHead,
        buffer: AnswerBuffer,
    ) -> None:
        self.buffer = buffer
        self.response = response
        self.head = head
        self.status = response.status
        connection = response.connection
        on_read(connection.protocol if connection else None)
        length = response.headers.get("Content-Length")
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        self.is_close_delimited = length is None and not chunked

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Raises:
            AnswerTruncatedError: The body ended before it was complete.
        """
        try:
            return await read_chunk(self.response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise AnswerTruncatedError(reason(error)) from None

    async def read_body(self) -> bytes:
        """Return the complete body.

        Raises:
            AnswerTruncatedError: The body ended before it was complete, or is too
                large.
        """
        chunks = []
        size = 0
        length = min(
            self.response.content_length or 0, self.buffer.bounds.max_body_bytes
        )
        await self.buffer.reserve(length)
        try:
            while chunk := await self.read_chunk():
                chunks.append(chunk)
                size += len(chunk)
                self.buffer.add(len(chunk), size)
            return b"".join(chunks)
        finally:
            self.buffer.budget.release(size)
            # The traceback of an error would keep them.
            chunks.clear()
            self.buffer.release(length)

    def close(self) -> None:
        """Close the connection, whether or not the answer is complete."""
        self.response.close()


class UpstreamClient:
    """Sends each request to an upstream at most once.

    It is a service, so that its connections are closed however the process ends.

    Args:
        adapter: Translates the platform's protocols.
        on_head: Called in order with the head of each answer by the upstream that was
            called, and not by another one at its address.
        bounds: Bounds on the sizes of answers.
        read_buffer_bytes: Bytes of an answer from which on no more are received until
            some are read; up to twice as many are held.
    """

    name = "upstream_client"
    requires: tuple[str, ...] = ()

    def __init__(
        self,
        adapter: Adapter,
        on_head: Sequence[Callable[[UpstreamRecord, UpstreamHead], None]] = (),
        bounds: AnswerBounds | None = None,
        *,
        read_buffer_bytes: int = READ_BUFFER_BYTES,
    ) -> None:
        self.adapter = adapter
        self.bounds = bounds or AnswerBounds()
        self.buffer = AnswerBuffer(self.bounds)
        self.on_head = on_head
        self.session = open_session(
            connector=BoundedConnector(
                limit=0,
                force_close=True,
                use_dns_cache=False,
                socket_factory=open_socket,
            ),
            auto_decompress=False,
            read_bufsize=read_buffer_bytes,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            middlewares=(send_once,),
        )

    async def start(self, kernel: Kernel) -> None:
        """Do nothing; connections are opened for requests."""

    async def stop(self) -> None:
        """Close all connections, also if the service that uses them did not start."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def send(
        self, admitted: Admitted, upstream: UpstreamRecord, *, last_event_id: str = ""
    ) -> Answer:
        """Send a request and return its answer once the head has arrived.

        Raises:
            UpstreamNotRunError: The request certainly did not run.
            UpstreamSilentError: No valid answer arrived; the request may have run.
            TimeoutError: The request timed out; it may have run.
        """
        request = admitted.request
        headers = self.adapter.upstream_headers(
            admitted, upstream, last_event_id=last_event_id
        )
        # A URL that is parsed loses an empty query, so the whole target is the path.
        url = URL.build(
            scheme="http",
            authority=upstream.address,
            path=request.target,
            encoded=True,
        )
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
                "unreachable", reason(error), reached=False
            ) from None
        except TimeoutError:
            raise
        except (
            aiohttp.ClientError,
            ResponseLostError,
            OSError,
            ValueError,
        ) as error:
            raise UpstreamSilentError(reason(error)) from None
        return self.validate(admitted, upstream, response)

    def validate(
        self,
        admitted: Admitted,
        upstream: UpstreamRecord,
        response: aiohttp.ClientResponse,
    ) -> Answer:
        """Return the answer if it is signed by the upstream and is for the request.

        Raises:
            UpstreamNotRunError: The answer states that the request did not run, or
                another upstream has taken over the address.
            UpstreamSilentError: The answer is for another request or is unsigned.
        """
        head = self.adapter.read_head(response.status, response.headers)
        if head.request_id and head.request_id != admitted.request.request_id:
            response.close()
            raise UpstreamSilentError("the answer belongs to another request")
        if not head.is_other_incarnation:
            call_all(self.on_head, upstream, head)
        if head.is_not_run or head.is_other_incarnation:
            response.close()
            code = "moved" if head.is_other_incarnation else "full"
            raise UpstreamNotRunError(code, f"status {response.status}", reached=True)
        if not head.is_signed:
            response.close()
            raise UpstreamSilentError(f"unsigned answer with status {response.status}")
        return Answer(response, head, self.buffer)
