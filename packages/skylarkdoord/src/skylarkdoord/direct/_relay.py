"""Writes the events of a stream to the caller."""

import time

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from skylarkdoor.event_stream import event_id
from skylarkdoord.direct._bounded_connection import on_answer_complete, on_written


class CallerStream:
    """The caller's side of a streamed answer.

    The head is sent together with the first event, so that until then an error can
    still be answered.

    Args:
        raw: The caller's request as received by the HTTP server.
        is_draining: Whether the entry is draining, so that the connection is closed
            after the answer.

    Attributes:
        response: The response to the caller; None until the head is sent.
        last_id: Id of the latest event written that has one.
        began_at: Monotonic time at which the head was sent, in seconds.
    """

    def __init__(self, raw: web.BaseRequest, *, is_draining: bool) -> None:
        self.raw = raw
        self.is_draining = is_draining
        self.response: web.StreamResponse | None = None
        self.last_id = ""
        self.began_at = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer was sent to the caller."""
        return self.response is not None

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head unless it was sent already."""
        if self.response is not None:
            return
        self.began_at = time.monotonic()
        self.response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        if self.is_draining:
            self.response.force_close()
        await self.response.prepare(self.raw)

    async def write(self, event: bytes) -> None:
        """Send one event to the caller."""
        assert self.response is not None
        self.last_id = event_id(event) or self.last_id
        on_written(self.raw.protocol, len(event))
        await self.response.write(event)

    async def end(self) -> web.StreamResponse:
        """End the stream as complete and return the response."""
        assert self.response is not None
        on_answer_complete(self.raw.protocol)
        await self.response.write_eof()
        return self.response

    def abort(self) -> web.StreamResponse:
        """Close the connection so that the answer is recognisably incomplete."""
        assert self.response is not None
        transport = self.raw.transport
        if transport is not None:
            if self.raw.version < HttpVersion11:
                # Without chunked encoding, a regular close marks the end of the answer.
                transport.abort()
            else:
                transport.close()
        return self.response
