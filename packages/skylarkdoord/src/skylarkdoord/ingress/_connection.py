"""One caller's connection."""

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp.web_protocol import RequestHandler

from skylarkdoor.bounded_http import MAX_UNREAD_BYTES, ByteBound
from skylarkdoord.ingress._closed import Reason
from skylarkdoord.ingress._shared_reads import SharedReader
from skylarkdoord.ingress._state import ConnectionState, Phase

if TYPE_CHECKING:
    from skylarkdoord.ingress._table import ConnectionTable


class CallerConnection(  # type: ignore[misc]
    SharedReader, ByteBound, RequestHandler, asyncio.BufferedProtocol
):
    """A caller's connection, which keeps its state in a table.

    Args:
        server: The HTTP server.
        table: All connections of callers.
        options: Options of the HTTP server's connections.
    """

    def __init__(
        self, server: Any, *, table: "ConnectionTable", **options: Any
    ) -> None:
        super().__init__(server, reads=table.reads, **options)
        self.table = table
        self.state = ConnectionState.opened(table.clock())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the table."""
        super().connection_made(transport)
        self.table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.table.remove(self)
        super().connection_lost(exc)

    @property
    def is_busy(self) -> bool:
        """Whether received bytes wait to be handled, or an answer to be sent."""
        transport = self.transport
        is_sent = transport is None or not transport.get_write_buffer_size()
        return self.is_waiting or not is_sent

    def close_now(self) -> None:
        """Close the connection without regard to what was not sent."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Count received bytes and pass them on."""
        self.state.on_received(len(data), self.table.clock())
        super().data_received(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.table.closed.record(Reason.UNREAD_BYTES, self.state)


def on_body_complete(connection: object) -> None:
    """Record that a request's body has been read whole."""
    if isinstance(connection, CallerConnection):
        connection.state.unread_bytes = 0
        connection.state.enter(Phase.ANSWER, connection.table.clock())
