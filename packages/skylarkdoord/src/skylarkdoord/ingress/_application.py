"""Serves an application whose connections are kept in a table."""

from typing import Any

from aiohttp import web

from skylarkdoord.ingress._server import IngressServer
from skylarkdoord.ingress._table import ConnectionTable


class ApplicationRunner(web.ServerRunner):
    """Runs the server of an application.

    Args:
        application: The application, which has been set up.
        server: Its server.
        options: Options of `aiohttp.web.ServerRunner`.

    Attributes:
        table: Connections of the server.
    """

    def __init__(
        self, application: web.AppRunner, server: IngressServer, **options: Any
    ) -> None:
        super().__init__(server, **options)
        self.application = application
        self.table = server.table

    async def cleanup(self) -> None:
        """Close all listeners and connections, then the application."""
        await super().cleanup()
        await self.application.cleanup()


async def set_up(
    app: web.Application,
    table: ConnectionTable,
    *,
    shutdown_timeout_s: float,
    **options: Any,
) -> ApplicationRunner:
    """Return a runner that is ready to listen.

    Args:
        app: The application.
        table: Its connections.
        shutdown_timeout_s: Time for running requests when it is closed, in seconds.
        options: Further options of `IngressServer`.
    """
    application = web.AppRunner(app)
    await application.setup()
    assert application.server is not None
    server = IngressServer(
        application.server.request_handler,
        table=table,
        request_factory=application.server.request_factory,
        **options,
    )
    runner = ApplicationRunner(application, server, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    return runner
