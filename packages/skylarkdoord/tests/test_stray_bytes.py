"""Tests of bytes that arrive on an idle connection."""

import asyncio
import contextlib

import pytest

from skylarkdoor.bounded_http import open_session, read_body

from ._loopback import LoopbackServer

# Time in which the client receives what was sent to it.
RECEIVE_S = 0.05
STRAY = {
    "status 000": b"HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nstray",
    "blank in a name": b"HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 5\r\n\r\nstray",
    "whole": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
    "no HTTP": b"stray",
}


class StrayServer(LoopbackServer):
    """A server that sends bytes after each response.

    Args:
        stray: The bytes.
    """

    def __init__(self, stray):
        self.stray = stray
        self.requests = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
                await writer.drain()
                await asyncio.sleep(RECEIVE_S / 2)
                writer.write(self.stray)
                await writer.drain()
        writer.close()


class TestStrayBytes:
    """A connection that is kept after a response."""

    # Guards against a response whose head nobody checked, as it arrived on its own.
    @pytest.mark.parametrize("name", STRAY)
    async def test_not_used(self, name):
        """They belong to no request; the next one uses another connection."""
        async with StrayServer(STRAY[name]) as server, open_session() as session:
            for number in (1, 2, 3):
                async with session.get(f"http://{server.address}/") as response:
                    assert response.status == 200
                    assert await read_body(response) == b"own"
                await asyncio.sleep(RECEIVE_S)
                assert server.requests == number
