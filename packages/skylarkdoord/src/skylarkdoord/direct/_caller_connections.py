"""Watches what callers have not read, and closes connections that read nothing."""

import asyncio
import time
from typing import cast

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._bounded_connection import BoundedRequestHandler
from skylarkdoord.direct._held_bytes import HeldBytes, UnsentAnswer, choose_unread
from skylarkdoord.direct._metrics import HELD_BYTES
from skylarkdoord.ingress import Reason

# Interval between two looks at the connections. In this time a caller's unread bytes
# grow by what one upstream sends.
SAMPLE_INTERVAL_S = 0.25


class CallerConnections:
    """The callers' connections that have carried a request.

    Args:
        held: Counts the bytes that are held for them.
    """

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.unsent: dict[BoundedRequestHandler, UnsentAnswer] = {}
        self.transports: dict[BoundedRequestHandler, asyncio.WriteTransport] = {}
        self.was_ready = True
        self.log = events.get_logger("direct.callers")

    def add(self, connection: object) -> None:
        """Watch a connection from its request on, until it is closed and sent."""
        if not isinstance(connection, BoundedRequestHandler):
            return
        # The HTTP server forgets the transport of a connection that it closes, although
        # unsent bytes remain.
        transport = connection.transport
        if transport is not None and connection not in self.transports:
            self.transports[connection] = cast(asyncio.WriteTransport, transport)
            self.unsent[connection] = UnsentAnswer(time.monotonic())

    async def run(self) -> None:
        """Look at the connections until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.sample()
            HELD_BYTES.set(self.held.used)
            self.log_readiness()

    def sample(self) -> None:
        """Count the unsent bytes, and abort the connections of stalled callers."""
        now = time.monotonic()
        for connection, transport in list(self.transports.items()):
            buffered = transport.get_write_buffer_size()
            unsent = self.unsent[connection]
            unsent.update(connection.written_bytes, buffered, now)
            if unsent.is_stalled(connection.timeout_s, now):
                self.log.event(
                    _events.CALLER_STALLED,
                    bytes=buffered,
                    timeout_s=connection.timeout_s,
                )
                transport.abort()
                buffered = 0
            # The task that writes a whole answer learns of an abort later.
            is_sent = not buffered and not connection.is_writing_whole
            if transport.is_closing() and is_sent:
                del self.transports[connection], self.unsent[connection]
        self.held.unsent = sum(
            unsent.buffered
            for connection, unsent in self.unsent.items()
            if not connection.is_writing_whole
        )
        self.close_unread(now)
        self.limit_unsent()

    def close_unread(self, now: float) -> None:
        """Close connections of callers that read nothing while too much is held."""
        if self.held.max_bytes is None:
            return
        excess = self.held.used - self.held.max_bytes
        for connection in choose_unread(self.unsent, excess, now):
            connection.table.closed.record(Reason.MEMORY, connection.state)
            self.held.unsent -= self.unsent[connection].buffered
            self.transports[connection].abort()

    def limit_unsent(self) -> None:
        """Let each connection take as many unsent bytes as there is memory for."""
        limit = self.held.max_unsent_bytes()
        for connection, transport in self.transports.items():
            is_streaming = connection.is_streaming and not transport.is_closing()
            if is_streaming and connection.unsent_limit != limit:
                connection.unsent_limit = limit
                transport.set_write_buffer_limits(high=limit)

    def log_readiness(self) -> None:
        """Log when readiness is withdrawn or restored."""
        is_ready = self.held.is_ready()
        if is_ready != self.was_ready:
            self.was_ready = is_ready
            event = _events.MEMORY_FREED if is_ready else _events.MEMORY_FULL
            self.log.event(event, used=self.held.used, max=self.held.max_bytes)
