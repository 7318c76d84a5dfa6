"""An entry as a process, two services, and connections kept open to it."""

import asyncio
import contextlib
import resource
import socket
import sys
import time
from pathlib import Path

from skylarkdoor_bench.testing import free_port
from tests.adapter._standins import (
    HOST,
    LOOPBACK,
    Server,
    Store,
    config,
    route,
    server_row,
)
from tests.soak._daemon import Daemon, entry_settings, until_ready
from tests.soak._proxy import Fault, Proxy

MIB = 1024 * 1024
CROWD_S = 40.0


class TwoServices:
    """An entry whose only route can be moved from one service to another.

    Args:
        folder: Directory of its settings and log.
        descriptors: Most descriptors that the entry may open; None for no change.
    """

    def __init__(self, folder, *, descriptors=None):
        self.folder = folder
        self.descriptors = descriptors
        self.old = Server(answer_slowly)
        self.new = Server(answer_slowly)
        self.version = 1

    async def __aenter__(self):
        """Start the store, a server of each service and the entry."""
        async with contextlib.AsyncExitStack() as stack:
            self.store = await stack.enter_async_context(Store())
            for name, server in (("old", self.old), ("new", self.new)):
                await stack.enter_async_context(server)
                row = server_row(server, service=name, slots=64)
                await self.store.put("servers", f"i-{name}", row)
            await self.route_to("old")
            store_host, _, store_port = self.store.address.rpartition(":")
            self.link = Proxy(LOOPBACK, (store_host, int(store_port)))
            store = await self.link.start()
            stack.push_async_callback(self.link.stop)
            settings = entry_settings("edge-1", store, guard_port=free_port())
            self.entry = Daemon("direct-entry", settings, self.folder)
            stack.push_async_callback(self.entry.kill)
            with limited_descriptors(self.descriptors):
                await self.entry.start()
            await until_ready(f"http://{settings['listen']['ready']}/readiness")
            host, _, port = settings["listen"]["callers"].rpartition(":")
            self.address = host, int(port)
            self.stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc):
        """Stop everything."""
        await self.stack.aclose()

    async def route_to(self, service):
        """Write a configuration whose route leads to a service."""
        self.version += 1
        written = config(
            route(service=service),
            version=self.version,
            services=[
                {"name": name, "healthPath": "/healthz"} for name in ("old", "new")
            ],
            limits={"maxBodyBytes": 4 * MIB},
        )
        await self.store.put("op", "config", written)

    async def lose_store(self, duration_s):
        """Part the entry from the store for a time in seconds."""
        self.link.set_fault(Fault.REFUSE)
        await asyncio.sleep(duration_s)
        self.link.set_fault(Fault.NONE)

    async def has_answered(self, within_s):
        """Return whether a request on a new connection gets 200 within a time."""
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(within_s):
                caller = Caller(*await asyncio.open_connection(*self.address))
                return await caller.get("last") == 200
        return False


class Caller:
    """A connection to an entry.

    Args:
        reader: Its received bytes.
        writer: Sends bytes.

    Attributes:
        sent: Monotonic time at which each request was sent, by its id.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.sent = {}

    async def get(self, name):
        """Send a request with an id and return the status of its answer."""
        self.sent[name] = time.monotonic()
        self.writer.write(
            f"GET /desk/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\n"
            "Deadline-Ms: 4000\r\n\r\n".encode()
        )
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].split()[0]
        await self.reader.readexactly(int(length))
        return int(head.split()[1])

    async def ask(self, name, delay_s, pause_s):
        """Wait, then send one request after another until cancelled."""
        await asyncio.sleep(delay_s)
        number = 0
        while True:
            number += 1
            await self.get(f"{name}-{number}")
            await asyncio.sleep(pause_s)


async def answer_slowly(request, writer):
    """Answer a request of a caller after a usual time."""
    await asyncio.sleep(0.01)
    attempt = request.header("Attempt-Id")[0]
    writer.write(
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: 3e1b.07\r\n"
        "Content-Length: 2\r\n\r\nok".encode()
    )


@contextlib.contextmanager
def limited_descriptors(number):
    """Let processes that are started meanwhile open a number of descriptors."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    if number is not None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (number, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


async def open_silent(address, number):
    """Open connections that send nothing, and return them."""
    loop = asyncio.get_running_loop()
    opened = []
    for _ in range(number):
        connection = socket.socket()
        connection.setblocking(False)
        opened.append(connection)
        await loop.sock_connect(connection, address)
    return opened


@contextlib.asynccontextmanager
async def chunk_senders(address, number):
    """Run callers that send bodies in one-byte chunks, in a process of their own."""
    program = Path(__file__).with_name("_chunk_senders.py")
    arguments = (program, *address, number, CROWD_S)
    process = await asyncio.create_subprocess_exec(sys.executable, *map(str, arguments))
    try:
        yield
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
