"""Connections of the HTTP client, on which responses are bounded and valid.

aiohttp's parsers accept lines between chunks, interim responses and others at any
number. Which heads they accept depends on the parser, of which there are two.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError

from skylarkdoor._byte_bound import ByteBound
from skylarkdoor._half_closed import HalfClosed, unreceived_bytes
from skylarkdoor._response_heads import InvalidHeadError, ResponseHeads
from skylarkdoor.failures import DescribedError, reason


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
