"""A loopback proxy that harms the connections that pass through it."""

import asyncio
import contextlib
import enum
import socket
import struct

BUFFER_BYTES = 64 * 1024
DELAY_S = 0.15


class Harm(enum.Enum):
    """What a proxy does to what passes."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to an address.

    Args:
        host: Address on which it listens.
        target: Host and port to which it passes on.
    """

    def __init__(self, host, target):
        self.host = host
        self.target = target
        self.harm = Harm.NONE
        self.writers = set()
        self.tasks = set()

    async def start(self, port=0):
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{self.host}:{self.port}"

    async def stop(self):
        """End every connection."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def set(self, harm):
        """Change what is done from now on, to open connections too."""
        self.harm = harm
        if harm in (Harm.RESET, Harm.REFUSE):
            for writer in list(self.writers):
                _reset(writer)

    async def serve(self, reader, writer):
        """Serve one connection."""
        if self.harm is Harm.REFUSE:
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            return
        ends = {writer, far_writer}
        self.writers |= ends
        task = asyncio.current_task()
        self.tasks.add(task)
        there = asyncio.create_task(self.pump(reader, far_writer, back=False))
        back = asyncio.create_task(self.pump(far_reader, writer, back=True))
        try:
            await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
            # What is under way back is still delivered when the far end is done.
            if not there.done() or there.result():
                await asyncio.wait({back}, timeout=0.2)
        except asyncio.CancelledError:
            # The run is over; asyncio would print a traceback for each connection.
            pass
        finally:
            there.cancel()
            back.cancel()
            await asyncio.gather(there, back, return_exceptions=True)
            self.writers -= ends
            self.tasks.discard(task)
            writer.close()
            far_writer.close()

    async def pump(self, reader, writer, *, back):
        """Pass bytes one way; returns whether they ended cleanly."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(BUFFER_BYTES):
                while self.harm is Harm.SILENT or (self.harm is Harm.ONE_WAY and back):
                    await asyncio.sleep(0.02)
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
            return True
        if back:
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
