"""Connections of callers that don't behave, and what they do to a process."""

import asyncio
import contextlib
import re
import socket
from pathlib import Path

PART_BYTES = 64 * 1024
KIB = 1024


class Crowd:
    """Connections that send the same bytes, read nothing and stay open.

    Args:
        address: Address to which they connect.
        count: Number of connections.
        parts: What each one sends.
        receive_bytes: Size of the buffer of its system for answers; None for the
            default.
    """

    def __init__(self, address, count, parts, *, receive_bytes=None):
        self.host, _, self.port = address.rpartition(":")
        self.count = count
        self.parts = parts
        self.receive_bytes = receive_bytes
        self.tasks = []

    async def __aenter__(self):
        self.tasks = [asyncio.create_task(self.run()) for _ in range(self.count)]
        return self

    async def __aexit__(self, *_exc):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def run(self):
        """Send on one connection until it is closed, then keep it until cancelled."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                sock=await self.connect(), limit=KIB
            )
            try:
                await self.send(writer)
                await asyncio.Event().wait()
            finally:
                writer.transport.abort()
                del reader

    async def connect(self):
        """Return a connected socket."""
        connecting = socket.socket()
        connecting.setblocking(False)
        if self.receive_bytes is not None:
            size = self.receive_bytes
            connecting.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        address = (self.host, int(self.port))
        await asyncio.get_running_loop().sock_connect(connecting, address)
        return connecting

    async def send(self, writer):
        """Send all parts, as far as the other side takes them."""
        for part in self.parts:
            for start in range(0, len(part), PART_BYTES):
                writer.write(part[start : start + PART_BYTES])
                await writer.drain()


class Usage:
    """Resources that a process uses.

    Args:
        pid: Its process id.
    """

    def __init__(self, pid):
        self.folder = Path(f"/proc/{pid}")

    def read(self, field):
        """Return the number in a line of the process's status."""
        status = (self.folder / "status").read_text()
        return int(re.search(rf"^{field}:\s*(\d+)", status, re.MULTILINE)[1])

    @property
    def peak_mb(self):
        """Most resident memory so far, in MiB."""
        return self.read("VmHWM") / KIB

    @property
    def descriptors(self):
        """Number of open descriptors."""
        return len(list((self.folder / "fd").iterdir()))
