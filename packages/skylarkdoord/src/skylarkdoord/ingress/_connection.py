"""One caller's connection."""

from typing import TYPE_CHECKING, Any

from aiohttp.web_protocol import RequestHandler

from skylarkdoor.bounded_http import MAX_UNREAD_BYTES, ByteBound
from skylarkdoord.ingress._closed import Reason
from skylarkdoord.ingress._state import ConnectionState, Phase

if TYPE_CHECKING:
    import asyncio

    from skylarkdoord.ingress._table import ConnectionTable


class CallerConnection(ByteBound, RequestHandler):  # type: ignore[misc]
    """A caller's connection, which keeps its state in a table.

    Args:
        server: The HTTP server.
        table: All connections of callers.
        options: Options of the HTTP server's connections.
    """

    def __init__(
        self, server: Any, *, table: "ConnectionTable", **options: Any
    ) -> None:
        super().__init__(server, **options)
        self.table = table
        self.state = ConnectionState.opened(table.clock())

    def connection_made(self, transport: "asyncio.BaseTransport") -> None:
        """Add the connection to the table."""
        super().connection_made(transport)
        self.table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.table.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count received bytes and pass them on."""
        began = self.table.clock()
        self.state.on_received(len(data), began)
        super().data_received(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.table.closed.record(Reason.UNREAD_BYTES, self.state)
        self.table.read_s += self.table.clock() - began


def on_body_complete(connection: object) -> None:
    """Record that a request's body has been read whole."""
    if isinstance(connection, CallerConnection):
        connection.state.unread_bytes = 0
        connection.state.enter(Phase.ANSWER, connection.table.clock())
