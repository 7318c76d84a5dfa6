"""HTTP server whose connections are kept in a table."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from skylarkdoord.ingress._connection import CallerConnection, on_body_complete
from skylarkdoord.ingress._table import ConnectionTable

# Value of Retry-After, in seconds.
RETRY_AFTER_S = "1"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class IngressServer(web.Server):
    """An HTTP server for callers.

    Args:
        handler: Answers one request.
        table: All connections of callers.
        connection_class: Class of the connections.
        options: Further options of `aiohttp.web.Server`.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        table: ConnectionTable,
        connection_class: type[CallerConnection] = CallerConnection,
        **options: Any,
    ) -> None:
        super().__init__(self.track, **options)  # type: ignore[arg-type]
        self.handler = handler
        self.table = table
        self.connection_class = connection_class

    def __call__(self) -> CallerConnection:
        """Return the handler of a new connection."""
        return self.connection_class(
            self, table=self.table, loop=self._loop, **self._kwargs
        )

    async def track(self, raw: web.BaseRequest) -> web.StreamResponse:
        """Answer one request and keep its connection's state."""
        connection = raw.protocol
        assert isinstance(connection, CallerConnection)
        connection.state.on_request(self.table.clock())
        connection.on_fewer_ahead()
        if raw.content.is_eof():
            on_body_complete(connection)
        try:
            return refusal() if connection.is_shut else await self.handler(raw)
        finally:
            connection.state.on_answered(self.table.clock())
            connection.on_fewer_ahead()


def refusal() -> web.Response:
    """Return the answer to a request that is not run, on a connection that closes."""
    response = web.Response(
        status=web.HTTPServiceUnavailable.status_code,
        headers={"Retry-After": RETRY_AFTER_S},
    )
    response.force_close()
    return response
