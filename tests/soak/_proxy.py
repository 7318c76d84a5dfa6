"""A loopback proxy that injects faults into the connections it forwards."""

import asyncio
import contextlib
import enum
import socket
import struct

BUFFER_BYTES = 64 * 1024
DELAY_S = 0.15


class Fault(enum.Enum):
    """A fault that a proxy injects.

    Attributes:
        NONE: Everything is forwarded.
        DELAY: Each chunk is delayed by `DELAY_S`.
        RESET: Open connections are reset once.
        SILENT: Nothing is forwarded, and connections stay open.
        ONE_WAY: Responses are held back, and connections stay open.
        REFUSE: Open connections and new ones are reset.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections to an address.

    Args:
        host: Address on which it listens.
        target: Host and port to which it forwards.
    """

    def __init__(self, host, target):
        self.host = host
        self.target = target
        self.fault = Fault.NONE
        self.writers = set()
        self.tasks = set()

    async def start(self, port=0):
        """Start to listen and return the address."""
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{self.host}:{self.port}"

    async def stop(self):
        """Stop listening and close every connection."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def set_fault(self, fault):
        """Change the fault; it applies to open connections too."""
        self.fault = fault
        if fault in (Fault.RESET, Fault.REFUSE):
            for writer in list(self.writers):
                _reset(writer)

    async def serve(self, reader, writer):
        """Forward one connection in both directions."""
        if self.fault is Fault.REFUSE:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            return
        ends = {writer, target_writer}
        self.writers |= ends
        task = asyncio.current_task()
        self.tasks.add(task)
        forward = asyncio.create_task(
            self.copy(reader, target_writer, is_response=False)
        )
        backward = asyncio.create_task(
            self.copy(target_reader, writer, is_response=True)
        )
        try:
            await asyncio.wait({forward, backward}, return_when=asyncio.FIRST_COMPLETED)
            # Unless the forward direction failed, forward the rest of the response.
            if not forward.done() or forward.result():
                await asyncio.wait({backward}, timeout=0.2)
        except asyncio.CancelledError:
            # The run has ended. If this propagated, asyncio would print a traceback
            # for each connection.
            pass
        finally:
            forward.cancel()
            backward.cancel()
            # The run may end while this waits.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(forward, backward, return_exceptions=True)
            self.writers -= ends
            self.tasks.discard(task)
            writer.close()
            target_writer.close()

    async def copy(self, reader, writer, *, is_response):
        """Copy one direction; return whether it ended cleanly."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(BUFFER_BYTES):
                while self.fault is Fault.SILENT or (
                    self.fault is Fault.ONE_WAY and is_response
                ):
                    await asyncio.sleep(0.02)
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
            return True
        if is_response:
            _reset(writer)
        return False


def _reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()
