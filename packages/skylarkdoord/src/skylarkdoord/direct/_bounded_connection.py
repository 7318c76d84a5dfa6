"""Connections that are closed when too much arrives that is no message.

Both HTTP parsers accept lines between chunks, and others, at any length.
"""

import functools
from typing import Any

import aiohttp
from aiohttp import web
from aiohttp.client_proto import ResponseHandler
from aiohttp.web_protocol import RequestHandler

# Most bytes that may arrive while none of a body is read: heads, interim responses, the
# lines between chunks, and what waits to be read. HTTP client and server stop receiving
# before that while a body waits.
MAX_UNREAD_BYTES = 512 * 1024


class BoundedResponseHandler(ResponseHandler):
    """An HTTP connection that is aborted after too many bytes without an answer.

    Attributes:
        unread_bytes: Bytes that arrived since a part of an answer was read.
    """

    unread_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on, unless there are too many."""
        self.unread_bytes += len(data)
        if self.unread_bytes <= MAX_UNREAD_BYTES:
            super().data_received(data)
        elif self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """A connector of bounded connections."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the class of its connections.
        factory: Any = functools.partial(BoundedResponseHandler, loop=self._loop)
        self._factory = factory


class BoundedRequestHandler(RequestHandler):
    """A caller's connection that is aborted after too many bytes without a request.

    Attributes:
        unread_bytes: Bytes that arrived since a part of a request was read.
    """

    unread_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on, unless there are too many."""
        self.unread_bytes += len(data)
        if self.unread_bytes <= MAX_UNREAD_BYTES:
            super().data_received(data)
        elif self.transport is not None:
            self.transport.abort()


def on_read(connection: object) -> None:
    """Allow as many bytes again to arrive before the next part of a body is read."""
    if isinstance(connection, (BoundedResponseHandler, BoundedRequestHandler)):
        connection.unread_bytes = 0


class BoundedServer(web.Server):
    """An HTTP server of bounded connections."""

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return BoundedRequestHandler(self, loop=self._loop, **self._kwargs)
