"""A stream to one peer that is opened again and again."""

import asyncio
from typing import Any, Protocol

from grpclib.client import Channel

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.wire import LOST_ERRORS, Outbox, closed_connections
from skylarkdoord import _events

CONNECT_TIMEOUT_S = 0.7
HEARTBEAT_S = 1.0
SILENCE_TIMEOUT_S = 2.6
MAX_RETRY_DELAY_S = 1.0


class StreamHandler(Protocol):
    """Builds and handles the messages of one end of a stream."""

    def opening(self) -> list[Any]:
        """Return the messages that open the stream."""

    def batch(self, messages: list[Any]) -> Any:
        """Return what is sent for the messages that wait; none is a heartbeat."""

    def receive(self, batch: Any) -> None:
        """Handle what the peer sent."""

    def on_open(self) -> None:
        """The peer has answered."""

    def on_lost(self, *, is_silent: bool) -> None:
        """The stream has ended, or the peer no longer answers on it."""


async def run_stream(stream: Any, handler: StreamHandler, outbox: Outbox[Any]) -> None:
    """Send and receive on an open stream until it ends.

    Raises:
        GRPCError, StreamTerminatedError, OSError, TimeoutError: It was lost.
        OutboxFullError: The peer takes messages too slowly.
    """
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(_write(stream, handler, outbox))
            group.create_task(outbox.overflow())
            await _read(stream, handler)
    except ExceptionGroup as errors:
        raise errors.exceptions[0] from None


async def _write(stream: Any, handler: StreamHandler, outbox: Outbox[Any]) -> None:
    while True:
        messages = await outbox.take(timeout_s=HEARTBEAT_S)
        await stream.send_message(handler.batch(messages))


async def _read(stream: Any, handler: StreamHandler) -> None:
    is_open = False
    while True:
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            batch = await stream.recv_message()
        if batch is None:
            raise ConnectionResetError("the peer ended the stream")
        if not is_open:
            is_open = True
            handler.on_open()
        handler.receive(batch)


class Link:
    """Keeps a stream to one peer open.

    Args:
        address: The peer's `host:port`.
        stub: Class of the generated stub's method holder.
        method: Name of the method that opens the stream.
        handler: Builds and handles the messages.
        peer: Name of the peer in logs.
    """

    def __init__(
        self, address: str, stub: Any, method: str, handler: StreamHandler, *, peer: str
    ) -> None:
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
        """Connect again and again until cancelled."""
        backoff = Backoff(most_s=MAX_RETRY_DELAY_S)
        while True:
            try:
                with closed_connections():
                    await self.serve(backoff)
            except LOST_ERRORS as error:
                self.lose(error)
            finally:
                self.close()
            await asyncio.sleep(backoff.delay_s())

    async def serve(self, backoff: Backoff) -> None:
        """Serve one connection until it ends."""
        host, _, port = self.address.rpartition(":")
        channel = Channel(host, int(port))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S) as opening:
                async with getattr(self.stub(channel), self.method).open() as stream:
                    await stream.send_message(
                        self.handler.batch(self.handler.opening())
                    )
                    opening.reschedule(None)
                    self.is_open = True
                    backoff.reset()
                    await run_stream(stream, self.handler, self.outbox)
        finally:
            channel.close()

    def lose(self, error: Exception) -> None:
        """Log the end of a connection that had been open."""
        self.is_silent = isinstance(error, TimeoutError)
        if self.is_open:
            self.log.event(
                _events.PEER_LOST,
                peer=self.peer,
                address=self.address,
                error=repr(error),
            )

    def close(self) -> None:
        """Drop what was not sent."""
        self.is_open = False
        self.handler.on_lost(is_silent=self.is_silent)
        self.outbox = Outbox()
