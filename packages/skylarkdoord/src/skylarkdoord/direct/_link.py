"""Streams to a peer, with heartbeats and reconnection."""

import asyncio
from typing import Any, Protocol

from grpclib.client import Channel

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.grace_timeout import GraceTimeout
from skylarkdoor.wire import (
    CONNECTION_LOST_ERRORS,
    Outbox,
    run_duplex,
    translate_closed_connection,
)
from skylarkdoord import _events
from skylarkdoord.direct._pace import Pace

CONNECT_TIMEOUT_S = 0.7
MAX_RETRY_DELAY_S = 1.0


class StreamHandler(Protocol):
    """Builds and handles the messages of one end of a stream."""

    def opening_messages(self) -> list[Any]:
        """Return the messages to send when the stream opens."""

    def batch(self, messages: list[Any]) -> Any:
        """Combine queued messages into one to send; without any it is a heartbeat."""

    def receive(self, batch: Any) -> None:
        """Handle a message from the peer."""

    def on_open(self) -> None:
        """Handle the peer's first message, before `receive` is called with it."""

    def on_lost(self, *, is_silent: bool) -> None:
        """Handle the end of the stream.

        Args:
            is_silent: Whether the stream timed out rather than was closed.
        """


async def run_stream(
    stream: Any,
    handler: StreamHandler,
    outbox: Outbox[Any],
    pace: Pace,
) -> None:
    """Send and receive on an open stream until it ends.

    Args:
        stream: The open stream.
        handler: Builds and handles the messages.
        outbox: Queue of outgoing messages.
        pace: Intervals of the heartbeats.

    Raises:
        GRPCError, StreamTerminatedError, OSError: The connection was lost.
        TimeoutError: The peer sent nothing for the silence timeout.
        OutboxFullError: The peer reads messages too slowly.
    """
    await run_duplex(
        _read(stream, handler, pace),
        _write(stream, handler, outbox, pace),
        outbox,
    )


async def _write(
    stream: Any, handler: StreamHandler, outbox: Outbox[Any], pace: Pace
) -> None:
    while True:
        messages = await outbox.take_pending(timeout_s=pace.heartbeat_s())
        await stream.send_message(handler.batch(messages))


async def _read(stream: Any, handler: StreamHandler, pace: Pace) -> None:
    is_open = False
    while True:
        async with GraceTimeout(pace.silence_timeout_s()):
            batch = await stream.recv_message()
        if batch is None:
            raise ConnectionResetError("the peer ended the stream")
        if not is_open:
            is_open = True
            handler.on_open()
        handler.receive(batch)


class Link:
    """Keeps a stream to one peer open and reconnects when it is lost.

    Args:
        address: The peer's `host:port`.
        stub: The generated gRPC stub class.
        method: Name of the stub's method that opens the stream.
        handler: Builds and handles the messages.
        peer: Name of the peer in logs.
        pace: Intervals of the heartbeats.
    """

    def __init__(
        self,
        address: str,
        stub: Any,
        method: str,
        handler: StreamHandler,
        *,
        peer: str,
        pace: Pace,
    ) -> None:
        self.pace = pace
        self.address = address
        self.stub = stub
        self.method = method
        self.handler = handler
        self.peer = peer
        self.outbox: Outbox[Any] = Outbox()
        self.is_open = False
        self.is_silent = False
        self.log = events.get_logger("direct.link")

    async def run(self) -> None:
        """Connect, and reconnect with back-off, until cancelled."""
        backoff = Backoff(max_s=MAX_RETRY_DELAY_S)
        while True:
            try:
                with translate_closed_connection():
                    await self.serve(backoff)
            except CONNECTION_LOST_ERRORS as error:
                self.on_disconnect(error)
            finally:
                self.close()
            await asyncio.sleep(backoff.delay_s())

    async def serve(self, backoff: Backoff) -> None:
        """Open a connection and run its stream until it ends."""
        host, _, port = self.address.rpartition(":")
        channel = Channel(host, int(port))
        try:
            async with GraceTimeout(CONNECT_TIMEOUT_S) as opening:
                async with getattr(self.stub(channel), self.method).open() as stream:
                    await stream.send_message(
                        self.handler.batch(self.handler.opening_messages())
                    )
                    opening.cancel()
                    self.is_open = True
                    backoff.reset()
                    await run_stream(stream, self.handler, self.outbox, self.pace)
        finally:
            channel.close()

    def on_disconnect(self, error: Exception) -> None:
        """Log the loss of the connection if it had been open."""
        self.is_silent = isinstance(error, TimeoutError)
        if self.is_open:
            self.log.event(
                _events.PEER_LOST,
                peer=self.peer,
                address=self.address,
                error=repr(error),
            )

    def close(self) -> None:
        """Notify the handler and discard the unsent messages."""
        self.is_open = False
        self.handler.on_lost(is_silent=self.is_silent)
        self.outbox = Outbox()
