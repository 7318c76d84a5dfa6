"""Connections that are closed when too much arrives that is no message."""

import asyncio

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


def on_read(connection: object) -> None:
    """Allow as many bytes again to arrive before the next part of a body is read."""
    if isinstance(connection, ByteBound):
        connection.unread_bytes = 0
