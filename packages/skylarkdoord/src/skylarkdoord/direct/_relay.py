"""Passes an upstream's answer on to the caller."""

import time
from collections.abc import Iterator

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Cuts a stream's bytes into whole events."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield the events that the chunk completes, each with its end."""
        *events, self.rest = (self.rest + chunk).split(EVENT_END)
        for event in events:
            yield event + EVENT_END

    def reset(self) -> None:
        """Forget a part of an event."""
        self.rest = b""


def event_id(event: bytes) -> str:
    """Return an event's id; empty without one."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("ascii", "replace")
    return ""


class CallerStream:
    """The caller's side of a stream, begun with its first event.

    Args:
        raw: The caller's request.
        is_leaving: Whether the connection is to end after the answer.
    """

    def __init__(self, raw: web.BaseRequest, *, is_leaving: bool) -> None:
        self.raw = raw
        self.is_leaving = is_leaving
        self.response: web.StreamResponse | None = None
        self.last_id = ""
        self.began_at = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the caller has a part of the answer."""
        return self.response is not None

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head, once."""
        if self.response is not None:
            return
        self.began_at = time.monotonic()
        self.response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        if self.is_leaving:
            self.response.force_close()
        await self.response.prepare(self.raw)

    async def write(self, event: bytes) -> None:
        """Pass one event on."""
        assert self.response is not None
        self.last_id = event_id(event) or self.last_id
        await self.response.write(event)

    async def end(self) -> web.StreamResponse:
        """End the stream as complete."""
        assert self.response is not None
        await self.response.write_eof()
        return self.response

    def cut(self) -> web.StreamResponse:
        """End the connection so that the answer cannot pass for a whole one."""
        assert self.response is not None
        transport = self.raw.transport
        if transport is not None:
            if self.raw.version < HttpVersion11:
                # Without chunks, only a reset tells a cut from an end.
                transport.abort()
            else:
                transport.close()
        return self.response
