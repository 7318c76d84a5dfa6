"""HTTP sessions whose responses are bounded and valid, whatever is sent.

aiohttp's parsers accept lines between chunks, interim responses and others at any
number, and its `read` a body of any size. Which heads they accept depends on the
parser, of which there are two.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError

from skylarkdoor import untrusted_json
from skylarkdoor._byte_bound import ByteBound, on_read
from skylarkdoor._half_closed import HalfClosed, unreceived_bytes
from skylarkdoor._response_heads import InvalidHeadError, ResponseHeads
from skylarkdoor.failures import DescribedError, reason

MIB = 1024 * 1024
# Bytes of a response that are received before they are read; up to twice as many are
# held.
READ_BUFFER_BYTES = 64 * 1024
# Largest body unless a caller states another limit.
MAX_BODY_BYTES = 8 * MIB
# Most bytes of bodies that one budget admits at a time.
MAX_TOTAL_BYTES = 32 * MIB


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body has more bytes than its reader accepts."""


class InvalidResponseError(DescribedError, aiohttp.ClientError):
    """The head of a response is not valid HTTP."""


class BoundedResponseHandler(ByteBound, ResponseHandler):  # type: ignore[misc]
    """A client's connection.

    Attributes:
        heads: Checks the head of the response.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.heads = ResponseHeads()

    def set_response_params(self, **options: Any) -> None:
        """Begin a response; the bytes of the one before don't count."""
        self.unread_bytes = 0
        self.heads = ResponseHeads()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on, unless they are no part of a valid response.

        Without a parser, aiohttp keeps the bytes and calls this method once more. Where
        one of its parsers fails, it leaves the body open.
        """
        if data and self._parser is not None:
            try:
                self.check(data)
            except InvalidHeadError as error:
                self.reject(error)
                return
        super().data_received(data)
        failure = self.exception()
        if isinstance(failure, HttpProcessingError):
            self.fail_body(failure)

    def check(self, data: bytes) -> None:
        """Check received bytes.

        Raises:
            InvalidHeadError: The head is invalid, or the response was complete before.
        """
        if self.heads.is_complete and self.open_body is None:
            raise InvalidHeadError("bytes after the end of a response")
        self.heads.feed(data)

    def eof_received(self) -> bool:  # type: ignore[override]
        """Return whether the connection stays open, as the request isn't received yet.

        A body that ends with the connection is not complete if the other side then
        resets it. Over TLS the connection is closed at once.
        """
        super().eof_received()
        transport = self.transport
        if (
            transport is None
            or self.open_body is None
            or not self.heads.is_until_close
            or transport.get_extra_info("sslcontext") is not None
            or not unreceived_bytes(transport)
        ):
            return False
        HalfClosed(transport, self.on_reset).poll()
        return True

    @property
    def open_body(self) -> aiohttp.StreamReader | None:
        """The body of the response, unless it is complete."""
        body = self._payload
        return None if body is None or body.is_eof() else body

    def on_reset(self, error: OSError) -> None:
        """End the response after the connection was reset."""
        self.fail_body(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response.

        A reset leaves its body incomplete, also one that ends with the connection.
        """
        if exc is not None:
            self.fail_body(exc)
        super().connection_lost(exc)

    def fail_body(self, error: BaseException) -> None:
        """Let the reader of the body fail, unless it is complete."""
        body = self.open_body
        if body is not None:
            body.set_exception(aiohttp.ClientPayloadError(reason(error)), error)

    def reject(self, error: InvalidHeadError) -> None:
        """End the response with an error, and close the connection."""
        self.set_exception(InvalidResponseError(str(error)))
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """A connector of bounded connections."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the class of its connections.
        factory: Any = functools.partial(BoundedResponseHandler, loop=self._loop)
        self._factory = factory


class BodyBudget:
    """Bounds the bodies that are received at the same time.

    Args:
        max_body_bytes: Largest body, in bytes.
        max_total_bytes: Most bytes of all bodies together.

    Attributes:
        used: Bytes of the bodies that are being received.
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_total_bytes = max_total_bytes
        self.used = 0

    def add(self, received: int, body: int) -> None:
        """Count received bytes.

        Args:
            received: The bytes.
            body: Bytes of their body so far, including these.

        Raises:
            BodyTooLargeError: The body, or all bodies together, are too large.
        """
        self.used += received
        if body > self.max_body_bytes:
            raise BodyTooLargeError("the response is too large")
        if self.used > self.max_total_bytes:
            raise BodyTooLargeError("all responses together are too large")

    def release(self, body: int) -> None:
        """Stop counting a body that was received, or given up."""
        self.used -= body

    async def read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the complete body of a response.

        Raises:
            aiohttp.ClientError: The body is incomplete.
            BodyTooLargeError: The body, or all bodies together, are too large.
        """
        chunks = []
        size = 0
        try:
            while chunk := await read_chunk(response):
                chunks.append(chunk)
                size += len(chunk)
                self.add(len(chunk), size)
            return b"".join(chunks)
        finally:
            self.release(size)
            # The traceback of an error would keep them.
            chunks.clear()


def open_session(
    *, connector: BoundedConnector | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Return a client session whose connections are bounded.

    Args:
        connector: Connector of the session; None for one with no limit on the number
            of connections.
        options: Further options of `aiohttp.ClientSession`.
    """
    return aiohttp.ClientSession(
        connector=connector or BoundedConnector(limit=0),
        **{"read_bufsize": READ_BUFFER_BYTES} | options,
    )


async def read_chunk(response: aiohttp.ClientResponse) -> bytes:
    """Return the next bytes of a body; empty at its end.

    Raises:
        aiohttp.ClientError: The body is incomplete.
    """
    connection = response.connection
    protocol = connection.protocol if connection else None
    try:
        chunk = await response.content.readany()
    except HttpProcessingError as error:
        # From the uncompiled parser, if it fails while a reader waits.
        raise aiohttp.ClientPayloadError(reason(error)) from None
    on_read(protocol)
    return chunk


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the complete body of a response.

    Raises:
        aiohttp.ClientError: The body is incomplete.
        BodyTooLargeError: The body has more than `max_bytes`.
    """
    return await BodyBudget(max_bytes, max_bytes).read(response)


async def read_json(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> dict[str, Any]:
    """Return the JSON object in the body of a response.

    Raises:
        aiohttp.ClientError: The body is incomplete.
        BodyTooLargeError: The body has more than `max_bytes`.
        ValueError: The body is no JSON object.
    """
    value = untrusted_json.loads(await read_body(response, max_bytes))
    if not isinstance(value, dict):
        raise ValueError("expected a JSON object")
    return value
