"""Tests of callers whose requests never end."""

import asyncio
import contextlib

import pytest

from ._standins import HOST, Server, reply, route

MIB = 1024 * 1024
NOISE = b"q7Z" * 20_000
# Most bytes that a caller may get rid of: those that the entry accepts, and those in
# the buffers of the sockets.
MOST_SENT = 16 * MIB
HEAD = f"POST /desk/1 HTTP/1.1\r\nHost: {HOST}\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CASES = {
    "request line": (b"GET /", NOISE),
    "header fields": (HEAD, b"X-Noise: y\r\n" * 1000),
    "one field": (HEAD + b"X-Noise: ", NOISE),
    "line of a chunk": (CHUNKED + b"5;", NOISE),
    "trailers": (CHUNKED + b"0\r\n", b"X-Noise: y\r\n" * 1000),
    "body": (CHUNKED, b"ea60\r\n" + NOISE + b"\r\n"),
}


class TestEndlessRequests:
    """A caller that sends bytes without end."""

    # Guards against a caller that holds an entry's time with bytes that are no request.
    @pytest.mark.parametrize("case", CASES)
    async def test_bytes(self, start, case):
        """The connection is closed after a bounded number of bytes."""
        begin, noise = CASES[case]
        sent = 0
        async with Server(reply()) as server, start([route()], [server]) as caller:
            address = caller.entry.settings.listen.callers
            _, writer = await asyncio.open_connection(*address.split(":"))
            writer.write(begin)
            with contextlib.suppress(ConnectionError):
                while sent <= MOST_SENT:
                    writer.write(noise)
                    sent += len(noise)
                    await writer.drain()
            writer.close()
            assert (await caller.get())[0] == 200
        assert sent <= MOST_SENT
        assert len(server.requests) == 1
