"""Connections that are closed when too much arrives that is no message.

Both HTTP parsers accept lines between chunks, and others, at any length.
"""

import asyncio
import functools
import math
from typing import Any

import aiohttp
from aiohttp import web
from aiohttp.client_proto import ResponseHandler
from aiohttp.web_protocol import RequestHandler

# Most bytes that may arrive while none of a body is read: heads, interim responses, the
# lines between chunks, and what waits to be read. HTTP client and server stop receiving
# before that while a body waits.
MAX_UNREAD_BYTES = 512 * 1024


class ByteBound:
    """Aborts a connection after too many bytes of which none are read.

    Attributes:
        transport: The connection; None if it is closed.
        unread_bytes: Bytes that arrived since a part of a body was read.
    """

    transport: asyncio.Transport | None
    unread_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on, unless there are too many."""
        self.unread_bytes += len(data)
        if self.unread_bytes <= MAX_UNREAD_BYTES:
            super().data_received(data)  # type: ignore[misc]
        elif self.transport is not None:
            self.transport.abort()


class BoundedResponseHandler(ByteBound, ResponseHandler):  # type: ignore[misc]
    """A connection to an upstream."""


class BoundedRequestHandler(ByteBound, RequestHandler):  # type: ignore[misc]
    """A caller's connection.

    Attributes:
        written_bytes: Bytes of answers written to it so far.
        timeout_s: Timeout of the latest request's route, in seconds.
        is_streaming: Whether an answer is being written that may still grow.
        is_writing_whole: Whether an answer that is no stream is being written.
        unsent_limit: Unsent bytes from which on writing waits; None for the default.
    """

    written_bytes = 0
    timeout_s = math.inf
    is_streaming = False
    is_writing_whole = False
    unsent_limit: int | None = None


def on_written(connection: object, size: int) -> None:
    """Count bytes of an answer that were written to a caller's connection."""
    if isinstance(connection, BoundedRequestHandler):
        connection.written_bytes += size
        connection.is_streaming = True


def set_writing_whole(connection: object, *, is_writing: bool) -> None:
    """Record whether an answer that is no stream is being written."""
    if isinstance(connection, BoundedRequestHandler):
        connection.is_writing_whole = is_writing


def on_answer_complete(connection: object) -> None:
    """Let the end of an answer wait until the caller has read nearly all of it."""
    if not isinstance(connection, BoundedRequestHandler):
        return
    connection.is_streaming = False
    transport = connection.transport
    if connection.unsent_limit is not None and transport is not None:
        connection.unsent_limit = None
        transport.set_write_buffer_limits()


def on_read(connection: object) -> None:
    """Allow as many bytes again to arrive before the next part of a body is read."""
    if isinstance(connection, ByteBound):
        connection.unread_bytes = 0


class BoundedConnector(aiohttp.TCPConnector):
    """A connector of bounded connections."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the class of its connections.
        factory: Any = functools.partial(BoundedResponseHandler, loop=self._loop)
        self._factory = factory


class BoundedServer(web.Server):
    """An HTTP server of bounded connections."""

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return BoundedRequestHandler(self, loop=self._loop, **self._kwargs)
