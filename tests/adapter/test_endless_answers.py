"""Tests of servers whose answers are malformed or never end."""

import asyncio
import contextlib
import random

import aiohttp
import pytest

from skylarkdoor_platform._store import PlatformStore
from skylarkdoord.direct.exceptions import StoreError

from ._standins import Server, chunk, reply, route, signed, stream

# Bytes that no text of the entry contains.
NOISE = b"q7Z" * 20_000
MIB = 1024 * 1024
# Most bytes that a server may get rid of in an answer: those that the entry accepts,
# and those in the buffers of the sockets.
MOST_SENT = 16 * MIB
STREAM = route(routeType="streaming", streamResume=True, maxAttempts=2)


class EndlessServer(Server):
    """A server that sends without end until its connection is closed.

    Args:
        begin: Returns the bytes that it sends first to a request.
        noise: Bytes that it repeats after them.
    """

    def __init__(self, begin, noise):
        super().__init__(self.send)
        self.begin = begin
        self.noise = noise
        self.sent = 0

    async def send(self, request, writer):
        """Send until the connection is closed."""
        writer.write(self.begin(request))
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(self.noise)
                self.sent += len(self.noise)
                await writer.drain()


def nothing(request):
    """Return no bytes."""
    return b""


def complete(request):
    """Return a complete answer."""
    return signed(request, "Content-Length: 2") + b"ok"


def chunked(request):
    """Return the head of a chunked answer."""
    return signed(request, "Transfer-Encoding: chunked")


def until_close(request):
    """Return the head of an answer that ends with its connection."""
    return signed(request)


def within_chunk_line(request):
    """Return the head of an answer and the beginning of a chunk's line."""
    return chunked(request) + b"5;"


def event_stream(request):
    """Return the head of a stream and the beginning of an event."""
    fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    return signed(request, *fields) + chunk(b"id: 1\ndata: ")


CASES = {
    "no HTTP": (nothing, NOISE),
    "after an answer": (complete, NOISE),
    "chunked body": (chunked, chunk(NOISE)),
    "body until close": (until_close, NOISE),
    "line of a chunk": (within_chunk_line, NOISE),
    "interim responses": (nothing, b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "one event": (event_stream, chunk(NOISE)),
}


@pytest.fixture(params=CASES)
def endless(request):
    """Return a server that sends without end, in one of several ways."""
    return EndlessServer(*CASES[request.param])


def route_for(server):
    """Return a route whose answers the server sends."""
    return STREAM if server.begin is event_stream else route()


class TestEndlessAnswers:
    """A server that sends bytes without end."""

    # Guards against an upstream's bytes in the texts and logs of the entry.
    async def test_texts(self, start, endless, caplog):
        """The caller gets a short error in the entry's own words."""
        async with endless, start([route_for(endless)], [endless]) as caller:
            status, _, body = await caller.get()
        assert status in (502, 504)
        assert len(body) < 500
        assert NOISE[:9] not in body
        assert NOISE[:9].decode() not in caplog.text

    # Guards against an answer that fills an entry's memory, or holds its time.
    async def test_bytes(self, start, endless):
        """The connection is closed after a bounded number of bytes."""
        async with endless, start([route_for(endless)], [endless]) as caller:
            status, _, _ = await caller.get()
        assert status == 502
        assert endless.sent <= MOST_SENT * len(endless.requests)

    # Guards against a caller that waits for its time limit although another server
    # could answer.
    async def test_retry(self, start, endless):
        """A request that may be repeated is answered by another server."""
        answer = reply() if endless.begin is not event_stream else stream((1, 2))
        async with endless, Server(answer) as other:
            async with start([route_for(endless)], [endless, other]) as caller:
                dependencies = caller.entry.kernel.services["callers"].dependencies
                for number in range(4):
                    status, _, body = await caller.get(f"/desk/{number}")
                    assert status == 200
                    assert NOISE[:9] not in body
                tracked = dependencies.upstreams.tracked.values()
        assert endless.requests
        assert any(upstream.failures for upstream in tracked)


FRAGMENTS = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"Attempt-Id: a1\r\n",
    b"Attempt-Id: other\r\n",
    b"Server-Signature: 3e1b.07\r\n",
    b"Content-Length: 2\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Server-Limit: 1e400\r\n",
    b"\r\n",
    b"ok",
    b"2\r\nok\r\n",
    b"ffffffffffffffff\r\n",
    b"0\r\n\r\n",
    b"\x00\xff" * 7,
    b"id: 1\ndata: x\n\n",
)


class FragmentServer(Server):
    """A server that sends fragments of answers, cut at random places.

    Args:
        rng: Source of the fragments and places.
    """

    def __init__(self, rng):
        super().__init__(self.send)
        self.rng = rng

    async def send(self, request, writer):
        """Send an answer and close the connection."""
        data = b"".join(self.rng.choices(FRAGMENTS, k=self.rng.randrange(12)))
        if self.rng.random() < 0.5:
            data = signed(request, "Content-Length: 2") + data
        while data:
            size = self.rng.randint(1, len(data))
            writer.write(data[:size])
            await writer.drain()
            await asyncio.sleep(0)
            data = data[size:]


class TestFragments:
    """A server whose answers consist of random fragments."""

    # Guards against bytes that make the entry fail, or pass for an answer.
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("type_", ["idempotent", "streaming"])
    async def test_any_bytes(self, start, seed, type_, caplog):
        """Each request is answered, and with success only by a signed answer."""
        once = route(routeType=type_, maxAttempts=1)
        async with FragmentServer(random.Random(seed)) as server:
            async with start([once], [server]) as caller:
                for number in range(100):
                    with contextlib.suppress(aiohttp.ClientPayloadError):
                        status, headers, _ = await caller.get(f"/desk/{number}")
                        assert status in (200, 502)
                        assert status == 502 or "Server-Signature" in headers
        assert "Traceback" not in caplog.text


class TestEndlessStore:
    """A store that sends bytes without end."""

    # Guards against a response of the store that fills an entry's memory.
    @pytest.mark.parametrize(
        ("fields", "noise"),
        [(b"", NOISE), (b"Transfer-Encoding: chunked\r\n", chunk(NOISE))],
    )
    async def test_bytes(self, fields, noise):
        """The call fails after a bounded number of bytes."""
        head = b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n"
        async with EndlessServer(lambda request: head, noise) as endless:
            client = PlatformStore(endless.address)
            with pytest.raises(StoreError, match="too large"):
                await client.read("config")
            await client.close()
        assert MIB < endless.sent <= MOST_SENT
