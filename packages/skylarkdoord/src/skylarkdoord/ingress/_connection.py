"""One caller's connection."""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, cast

import aiohttp
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from skylarkdoor.bounded_http import MAX_UNREAD_BYTES, ByteBound
from skylarkdoord.ingress._closed import Reason
from skylarkdoord.ingress._deadlines import find_overdue
from skylarkdoord.ingress._limits import KIB, IngressLimits
from skylarkdoord.ingress._peer_state import has_left
from skylarkdoord.ingress._received import Parsed, Received
from skylarkdoord.ingress._shared_reads import SharedReader
from skylarkdoord.ingress._state import ConnectionState, Phase
from skylarkdoord.ingress._unfinished import WAITING_REQUEST_BYTES

if TYPE_CHECKING:
    from skylarkdoord.ingress._table import ConnectionTable

# A caller that sends the rest of its request before it reads is told why it is refused.
MAX_DROPPED_BYTES = 64 * KIB
# Bytes, and requests, that may wait while another request is being answered.
MAX_AHEAD_BYTES = 16 * KIB
MAX_AHEAD_REQUESTS = 4
# Time for the answer to the last request, in seconds.
REFUSED_OPEN_S = 1.0
# Nothing is being answered when these are found.
LATE_REASONS = (Reason.HEAD_TIMEOUT, Reason.IDLE)
STATUS_BY_REASON = {
    Reason.HEAD_BYTES: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.HEAD_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
}


class CallerConnection(  # type: ignore[misc]
    SharedReader, ByteBound, RequestHandler, asyncio.BufferedProtocol
):
    """A caller's connection, which keeps its state in a table.

    Args:
        server: The HTTP server.
        table: All connections of callers.
        options: Options of the HTTP server's connections.

    Attributes:
        state: What the connection does.
        received: What has arrived and is neither body nor a complete head.
        ahead_bytes: Bytes that arrived while another request was being answered.
        is_held_back: Whether nothing is read until the requests that wait are handled.
        newest_body: Body of the latest head.
        has_head: Whether a head was complete.
        is_refusing: Whether what arrives from now on is dropped.
        is_shut: Whether the request that waits is refused.
        dropped_bytes: Bytes that were dropped.
        body_timeout: Ends the reading of a body early; None if none is read.
    """

    def __init__(
        self, server: Any, *, table: "ConnectionTable", **options: Any
    ) -> None:
        super().__init__(server, reads=table.reads, **options)
        self.table = table
        self.state = ConnectionState.opened(table.clock())
        self.received = Received(table.clock())
        self.ahead_bytes = 0
        self.is_held_back = False
        self.newest_body: aiohttp.StreamReader = aiohttp.EMPTY_PAYLOAD
        self.has_head = False
        self.is_refusing = False
        self.is_shut = False
        self.dropped_bytes = 0
        self.body_timeout: asyncio.Timeout | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the table."""
        super().connection_made(transport)
        self.table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the table."""
        self.table.remove(self)
        super().connection_lost(exc)

    @property
    def is_busy(self) -> bool:
        """Whether received bytes wait to be handled, or an answer to be sent."""
        transport = self.transport
        is_sent = transport is None or not transport.get_write_buffer_size()
        return self.is_waiting or not is_sent

    def close_now(self) -> None:
        """Close the connection without regard to what was not sent."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Count received bytes and pass them on."""
        now = self.table.clock()
        self.state.on_received(len(data), now)
        if self.is_refusing:
            self.drop(len(data))
        else:
            self.parse(data, now)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.table.closed.record(Reason.UNREAD_BYTES, self.state)

    def drop(self, size: int) -> None:
        """Drop received bytes; many of them are left to the caller's system."""
        self.dropped_bytes += size
        if self.dropped_bytes > MAX_DROPPED_BYTES:
            self.pause_reading()

    def parse(self, data: bytes, now: float) -> None:
        """Parse received bytes, and count those that may have no end."""
        # aiohttp has no public access to the requests that it has parsed.
        waiting = len(self._messages)
        super().data_received(data)
        has_new_head = len(self._messages) > waiting
        is_malformed = False
        if has_new_head:
            self.has_head = True
            message, self.newest_body = self._messages[-1]
            if not isinstance(message, RawRequestMessage):
                is_malformed = True
                forget_frames(message.exc)
        body = self.newest_body
        is_open = not body.is_eof()
        parsed = Parsed(has_new_head, is_open, body.total_bytes, is_malformed)
        self.received.update(data, parsed, now)
        # The parser would make an error of each further part.
        self.is_refusing = is_malformed
        if self.state.phase is Phase.ANSWER:
            self.ahead_bytes += len(data)
        self.hold_back()
        self.check_size()

    def hold_back(self) -> None:
        """Read no further while much was sent ahead."""
        is_far = self.ahead_bytes > MAX_AHEAD_BYTES
        if is_far or len(self._messages) > MAX_AHEAD_REQUESTS:
            self.is_held_back = True
            if self.transport is not None:
                self.transport.pause_reading()
        self.count_unfinished()

    def on_fewer_ahead(self) -> None:
        """Read on once no request waits."""
        if not self._messages:
            self.ahead_bytes = 0
            if self.is_held_back:
                self.is_held_back = False
                self.read_on()
        self.count_unfinished()

    def may_read(self) -> bool:
        """Return whether further bytes may be read."""
        return super().may_read() and not self.is_held_back

    def keep(self, data: bytes) -> None:
        """Keep received bytes, which count as held."""
        super().keep(data)
        self.count_unfinished()

    def count_unfinished(self) -> None:
        """Count what is held of requests that are not handled yet."""
        size = max(self.received.unfinished_bytes, self.ahead_bytes) + len(self.kept)
        size += WAITING_REQUEST_BYTES * max(0, len(self._messages) - 1)
        self.table.set_unfinished(self, 0 if self.is_refusing else size)

    def check_size(self) -> None:
        """Close the connection if what arrived is too large."""
        limits = self.table.limits()
        if self.received.is_head_too_large(limits):
            self.refuse(Reason.HEAD_BYTES)
        elif self.received.is_framing_too_large(limits):
            self.refuse(Reason.FRAMING_BYTES)

    def close_overdue(self, limits: IngressLimits, now: float) -> None:
        """Close the connection if it takes too long, or if its caller has left."""
        transport = cast(asyncio.WriteTransport | None, self.transport)
        if transport is None or transport.is_closing():
            return
        if self.is_held_back and has_left(transport):
            transport.abort()
            return
        if self.is_refusing:
            self.close_refused(transport, now)
            return
        if self.is_waiting:
            # What has arrived is not handled yet.
            return
        if transport.get_write_buffer_size():
            self.state.answered_at = now
            return
        reason = find_overdue(self.state, self.received, limits, now)
        if reason is not None:
            self.refuse(reason)

    def close_refused(self, transport: asyncio.WriteTransport, now: float) -> None:
        """Close the connection once its last request is answered."""
        is_busy = self.state.phase in (Phase.BODY, Phase.ANSWER)
        if not is_busy and now - self.state.answered_at > REFUSED_OPEN_S:
            transport.close()

    def refuse(self, reason: Reason) -> None:
        """Accept no further bytes, and close after the running answer.

        Requests that wait are not run. A first head is answered, if there is a status
        for the reason. An incomplete body ends with its timeout, or with the connection
        if it can't be read on.
        """
        self.table.closed.record(reason, self.state)
        self.is_refusing = True
        transport = cast(asyncio.Transport | None, self.transport)
        if transport is None:
            return
        if reason is Reason.BODY_STALLED and self.cut_body():
            return
        if self.state.phase is Phase.BODY:
            transport.abort()
        elif self.has_head:
            self.drop_waiting()
            self.close()
            if reason in LATE_REASONS:
                transport.close()
        else:
            transport.write(closing_answer(STATUS_BY_REASON.get(reason)))
            transport.close()

    def drop_waiting(self) -> None:
        """Let no request run that waits; the next one is answered, if none is now."""
        if self.state.phase is Phase.ANSWER:
            self._messages.clear()
        else:
            self.is_shut = True

    def cut_body(self) -> bool:
        """End the reading of a body; return whether one is being read."""
        if self.body_timeout is None:
            return False
        self.body_timeout.reschedule(0.0)
        self.body_timeout = None
        return True


def set_body_timeout(connection: object, timeout: asyncio.Timeout | None) -> None:
    """Set what ends the reading of a body early; None once it is no longer read."""
    if isinstance(connection, CallerConnection):
        connection.body_timeout = timeout


def give_up_body(connection: object) -> None:
    """End the reading of a body, so that others have room."""
    if isinstance(connection, CallerConnection) and connection.cut_body():
        connection.is_refusing = True
        connection.table.closed.record(Reason.MEMORY, connection.state)


def refuse_body(connection: object) -> None:
    """Drop what arrives of a body that is not read."""
    if isinstance(connection, CallerConnection):
        connection.is_refusing = True


def on_body_complete(connection: object) -> None:
    """Record that a request's body has been read whole."""
    if isinstance(connection, CallerConnection):
        connection.state.unread_bytes = 0
        connection.state.enter(Phase.ANSWER, connection.table.clock())


def forget_frames(error: BaseException) -> None:
    """Let go of the frames of an error, which hold the bytes that were parsed."""
    error.__traceback__ = None
    error.__context__ = None
    error.__cause__ = None


def closing_answer(status: HTTPStatus | None) -> bytes:
    """Return the answer to a head that is not complete; empty without a status."""
    if status is None:
        return b""
    lines = (
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Length: 0",
        "Connection: close",
    )
    return "\r\n".join((*lines, "", "")).encode()
