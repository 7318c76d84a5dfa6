"""Streams that entries relay from sidecars."""

from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from multidict import CIMultiDict

from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._relay import Relay

EVENTS = b"data: one\n\ndata: two\n\n"
DONE = b"data: [DONE]\n\n"
STRAY_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"


class ChunkedDelivery:
    """A delivery whose answer is a stream of given chunks.

    Args:
        chunks: The chunks.
        is_cut: Whether the connection is lost after them.
    """

    def __init__(self, chunks, is_cut):
        self.chunks = list(chunks)
        self.is_cut = is_cut
        self.answer = SimpleNamespace(
            content_type="text/event-stream",
            status=200,
            headers=CIMultiDict({"Content-Type": "text/event-stream"}),
        )

    async def read_chunk(self):
        """Return the next chunk."""
        if self.chunks:
            return self.chunks.pop(0)
        if self.is_cut:
            raise aiohttp.ClientPayloadError
        return b""

    async def query_outcome(self):
        """Return that nothing is known."""


@pytest.fixture
def read(make_request):
    """Return a function that relays chunks; returns what the caller got."""

    async def relay(chunks, *, is_cut=False):
        async def handle(raw):
            request = make_request()
            return await Relay(raw, request, ChunkedDelivery(chunks, is_cut)).run()

        app = web.Application()
        app.router.add_get("/", handle)
        async with TestServer(app) as server, aiohttp.ClientSession() as session:
            body = b""
            try:
                async with session.get(server.make_url("/")) as response:
                    assert headers.REQUEST_ID in response.headers
                    async for data in response.content.iter_any():
                        body += data
            except aiohttp.ClientError:
                return body, False
            return body, True

    return relay


class TestBrokenStream:
    """The upstream breaks off a stream, or goes on with what is no event."""

    # Guards against the report: callers find a part of an event, an error's text or its
    # head in their stream as if it were an event, or the stream ends as complete.
    @pytest.mark.parametrize(
        ("rest", "is_cut"),
        [
            (b"data: thr", True),
            (b"data: three\nid", True),
            (STRAY_HEAD, True),
            (STRAY_HEAD, False),
            (STRAY_HEAD + b"\n\n", True),
            (STRAY_HEAD + b"\n\n", False),
        ],
    )
    async def test_whole_events(self, read, rest, is_cut):
        """The caller gets whole events, an event for the error, and no end."""
        body, is_whole = await read([EVENTS, rest], is_cut=is_cut)
        assert not is_whole
        assert body.startswith(EVENTS)
        events = body.removeprefix(EVENTS).split(b"\n\n")
        assert events.pop() == b""
        assert len(events) == 1
        assert b'"code": "answer_cut"' in events[0]

    @pytest.mark.parametrize("size", [1, 5, 100])
    async def test_whole_stream(self, read, size):
        """A whole stream is passed on unchanged, however it arrives."""
        stream = EVENTS + DONE
        chunks = [stream[at : at + size] for at in range(0, len(stream), size)]
        assert await read(chunks) == (stream, True)

    async def test_end_without_blank_line(self, read):
        """The end of a whole stream may lack its blank line."""
        stream = EVENTS + DONE.strip()
        assert await read([stream]) == (stream, True)
