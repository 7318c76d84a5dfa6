"""Servers on loopback that tests write by hand."""

import asyncio


class LoopbackServer:
    """A server on a free port; subclasses define `serve` for one connection.

    Attributes:
        address: Its `host:port`.
    """

    async def __aenter__(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc):
        """Close the listener."""
        self.server.close()
