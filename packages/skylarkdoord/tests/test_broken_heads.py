"""Tests of everything that reads responses against servers with invalid heads.

Direct entries have tests of their own, `tests/adapter/test_broken_heads.py`.
"""

import asyncio
import contextlib
import json
import socket
import struct

import pytest

from skylarkdoord.sidecar._claim_rows import ClaimRow, ClaimState, encode

from ._loopback import LoopbackServer
from ._readers import EXPECTED, READERS

CLAIM = ClaimRow("op-1", ClaimState.UNKNOWN, 1, "sidecar-2", "127.0.0.1:1", 1, 1)
DEFAULT_BODY = b"{}"
# Bodies that a reader accepts, where it doesn't accept any object.
BODIES = {
    "sidecar engine state": b'{"models": [], "adapters": [], "role": ""}',
    "sidecar owner": encode(CLAIM),
    "entry outcome": json.dumps({"phase": "done", "crashes": []}).encode(),
    "table": b'{"header": {"revision": "1"}}',
    "instances": b"[]",
}
# Longest time for a response that is known to be broken, in seconds.
MOST_S = 0.9
STATUS_LINE = b"HTTP/1.1 200 OK"
OWN = b"X-Request-Id: request-1"


def response(*lines, body, status_line=STATUS_LINE, has_length=True):
    """Return a response with further lines before its length."""
    length = [b"Content-Length: %d" % len(body)] if has_length else []
    return b"\r\n".join([status_line, *lines, OWN, *length, b"", body])


def status(code):
    """Return a function that builds a response with a status."""
    return lambda body: response(body=body, status_line=b"HTTP/1.1 " + code + b" OK")


def line(data):
    """Return a function that builds a response with a further line."""
    return lambda body: response(data, body=body)


def chunked(*lines):
    """Return a function that builds a chunked response with further lines."""

    def build(body):
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return response(*lines, body=chunks, has_length=False)

    return build


CHUNKED = b"Transfer-Encoding: chunked"
BROKEN = {
    "status 000": status(b"000"),
    "status 099": status(b"099"),
    "status 600": status(b"600"),
    "status 101": status(b"101"),
    "status 2x0": status(b"2x0"),
    "version 2": lambda body: response(body=body, status_line=b"HTTP/2.0 200 OK"),
    "blank first": line(b" X-Field: 1"),
    "blank in a name": line(b"X Field: 1"),
    "blank at the end of a name": line(b"X-Field : 1"),
    "BEL in a name": line(b"X\x07Field: 1"),
    "no colon": line(b"X-Field"),
    "BEL in a value": line(b"X-Field: a\x07b"),
    "length twice": line(b"Content-Length: 1"),
    "coding with a blank": chunked(b"Transfer-Encoding : chunked", CHUNKED),
    "coding and length": lambda body: chunked(CHUNKED, b"Content-Length: 2")(body),
    "gzip": line(b"Transfer-Encoding: gzip"),
    "gzip and chunked": chunked(b"Transfer-Encoding: gzip, chunked"),
    "after an interim response": lambda body: (
        b"HTTP/1.1 103 Early\r\n\r\n" + status(b"000")(body)
    ),
    "interim response": lambda body: (
        b"HTTP/1.1 103 Early\r\nX Field: 1\r\n\r\n" + response(body=body)
    ),
}
SOUND = {
    "length": lambda body: response(body=body),
    "chunked": chunked(CHUNKED),
    "bytes above 127 in a value": line(b"X-Field: caf\xe9"),
    "after an interim response": lambda body: (
        b"HTTP/1.1 100 Continue\r\n\r\n" + response(body=body)
    ),
}


class RawServer(LoopbackServer):
    """A server that responds with given bytes to each request.

    Args:
        data: The bytes.
        is_reset: Whether it then resets the connection instead of closing it.
    """

    def __init__(self, data, *, is_reset=False):
        self.data = data
        self.is_reset = is_reset

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.data)
            await writer.drain()
            await asyncio.sleep(0.05)
            if self.is_reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


async def is_accepted(reader, server):
    """Return whether a reader takes a server's response for a good one."""
    async with server:
        try:
            return await READERS[reader](server.address)
        except EXPECTED:
            return False


@pytest.mark.parametrize("reader", READERS)
class TestReaders:
    """Readers of responses."""

    # Guards against the incident: responses with status 000, or with a blank or a
    # control byte in a field's name, were taken for good ones.
    @pytest.mark.parametrize("name", BROKEN)
    async def test_broken(self, reader, name):
        """A response with an invalid head is an error, but no crash."""
        body = BODIES.get(reader, DEFAULT_BODY)
        is_running = await is_accepted(reader, RawServer(BROKEN[name](body)))
        assert is_running == (reader == "sidecar crash check")

    @pytest.mark.parametrize("name", SOUND)
    async def test_sound(self, reader, name):
        """A valid response is accepted."""
        body = BODIES.get(reader, DEFAULT_BODY)
        assert await is_accepted(reader, RawServer(SOUND[name](body)))


# Readers of responses that have no length and no chunks. A sidecar accepts none from
# its upstream, and the crash checks, health checks and orders read no body.
READ_TO_THE_END = [
    "entry answer",
    "entry outcome",
    "entry status",
    "guard report",
    "instances",
    "objects",
    "sidecar engine state",
    "sidecar owner",
    "table",
]


@pytest.mark.parametrize("reader", READ_TO_THE_END)
class TestUntilClose:
    """Responses that end with their connection."""

    def response(self, reader):
        """Return a response without a length."""
        body = BODIES.get(reader, DEFAULT_BODY)
        return response(body=body, has_length=False)

    async def test_closed(self, reader):
        """One is complete if its connection is closed in an orderly way."""
        assert await is_accepted(reader, RawServer(self.response(reader)))

    # Guards against the report that the part of an answer that arrived before a reset
    # was taken for a complete one.
    async def test_reset(self, reader):
        """One is incomplete if its connection is reset."""
        server = RawServer(self.response(reader), is_reset=True)
        assert not await is_accepted(reader, server)


class HangingServer(RawServer):
    """A server that pauses within its response, and leaves the connection open.

    Args:
        parts: Parts of the response.
    """

    def __init__(self, *parts):
        self.parts = parts

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            for part in self.parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.02)
            await reader.read()
        writer.close()


# Those that read a body and don't ask again.
READ_ONCE = [*READ_TO_THE_END, "sidecar answer"]
READ_ONCE.remove("entry outcome")


@pytest.mark.parametrize("reader", READ_ONCE)
class TestBrokenChunks:
    """Chunked bodies that break off with bytes that are no chunk."""

    # Guards against a reader that waits until its timeout, as the parser closed the
    # connection and left the body open.
    @pytest.mark.parametrize(
        "rest",
        [b"zz\r\n", b"-1\r\n", b"2\r\nabc\r\n", b"0\r\nX Field: 1\r\n\r\n"],
        ids=["size", "sign", "long chunk", "trailer"],
    )
    async def test_ends_at_once(self, reader, rest):
        """The response fails at once, or its body was complete."""
        body = BODIES.get(reader, DEFAULT_BODY)
        begin = response(CHUNKED, body=b"", has_length=False)
        chunk = b"%x\r\n%s\r\n" % (len(body), body)
        async with asyncio.timeout(MOST_S):
            server = HangingServer(begin, chunk, rest)
            if await is_accepted(reader, server):
                assert rest.startswith(b"0")
