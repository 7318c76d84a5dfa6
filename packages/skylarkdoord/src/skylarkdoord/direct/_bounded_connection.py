"""Connections that are closed when too much arrives that no answer consists of."""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Most bytes that may arrive while none of an answer is read: heads, interim responses,
# the lines between chunks, and what waits to be read. The HTTP client stops receiving
# before that while an answer waits.
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
