"""Reads from callers' connections within their share of the event loop."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from skylarkdoord.ingress._read_share import ReadShare

READ_BYTES = 64 * 1024
# Read at a time while the time of a pass is used up, as these bytes are kept.
KEPT_READ_BYTES = 4 * 1024


class SharedReads:
    """Gives the connections of one listener their turns in each pass of the loop.

    Args:
        share: Decides whose turn it is.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        share: "ReadShare[SharedReader] | None" = None,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.share: ReadShare[SharedReader] = share or ReadShare()
        self.clock = clock
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.is_pass_due = False

    def get_buffer(self) -> memoryview:
        """Return the buffer for the next read, which is used up at once."""
        return self.buffer if self.share.has_time() else self.buffer[:KEPT_READ_BYTES]

    def on_read(self, reader: "SharedReader", size: int) -> None:
        """Handle the bytes in the buffer, or keep them for a later pass."""
        data = bytes(self.buffer[:size])
        self.plan_pass()
        if self.share.has_time():
            self.handle(reader, data)
        else:
            reader.keep(data)
            self.share.wait(reader)

    def handle(self, reader: "SharedReader", data: bytes) -> None:
        """Handle bytes that a connection received."""
        began = self.clock()
        reader.data_received(data)
        self.share.on_handled(reader, self.clock() - began)

    def plan_pass(self) -> None:
        """Begin a pass when all other callbacks that are due have run."""
        if not self.is_pass_due:
            self.is_pass_due = True
            asyncio.get_running_loop().call_soon(self.run_pass)

    def run_pass(self) -> None:
        """Handle kept bytes for as long as there is time in this pass."""
        self.is_pass_due = False
        self.share.begin_pass()
        if self.share.is_behind:
            self.plan_pass()
        while (reader := self.share.next_turn()) is not None:
            data = reader.take()
            if reader.is_open():
                self.handle(reader, data)
                reader.read_on()


class SharedReader:
    """A connection whose received bytes are handled in turn with those of others.

    The class beside this one is an HTTP server's connection and `BufferedProtocol`.

    Attributes:
        reads: All connections of the listener.
        virtual_s: Time that its bytes have taken, see `ReadShare`, in seconds.
        is_waiting: Whether received bytes wait to be handled.
        kept: These bytes.
        is_full: Whether the HTTP server wants no further bytes.
        transport: The connection; None if it is closed.
    """

    reads: SharedReads
    transport: asyncio.Transport | None
    virtual_s = 0.0
    is_waiting = False
    kept = b""
    is_full = False

    def __init__(self, *arguments: Any, reads: SharedReads, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.reads = reads

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self.reads.get_buffer()

    def buffer_updated(self, size: int) -> None:
        """Take the bytes that were read into the buffer."""
        self.reads.on_read(self, size)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on."""
        super().data_received(data)  # type: ignore[misc]

    def keep(self, data: bytes) -> None:
        """Keep received bytes, and read no more until they are handled."""
        self.kept = data
        if self.transport is not None:
            self.transport.pause_reading()

    def take(self) -> bytes:
        """Return the kept bytes, which are kept no more."""
        data, self.kept = self.kept, b""
        return data

    def is_open(self) -> bool:
        """Return whether answers can still be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def read_on(self) -> None:
        """Read again, unless the HTTP server wants no further bytes."""
        if self.transport is not None and not self.is_full:
            self.transport.resume_reading()

    def pause_reading(self) -> None:
        """Stop reading, as the HTTP server wants no further bytes."""
        self.is_full = True
        super().pause_reading()  # type: ignore[misc]

    def resume_reading(self, *arguments: Any, **options: Any) -> None:
        """Read again, unless kept bytes have to be handled first."""
        self.is_full = False
        super().resume_reading(*arguments, **options)  # type: ignore[misc]
        if self.is_waiting and self.transport is not None:
            self.transport.pause_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the kept bytes."""
        self.reads.share.leave(self)
        self.kept = b""
        super().connection_lost(exc)  # type: ignore[misc]
