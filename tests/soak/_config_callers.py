"""Callers and a server of streams at the load of a deployment, in their own process.

`python -m tests.soak._config_callers PORT RATE HOST:PORT...` serves streams on the port
and sends each of the entries so many requests a second until it is ended.
"""

import asyncio
import contextlib
import random
import sys

from tests.adapter._standins import HOST, LOOPBACK, chunk, event, signed

STREAM_PATH = "/draft/1"
# Streams of the deployment brandl-grown: mean events of a stream and mean body.
MEAN_EVENTS = 12
MEAN_BODY_BYTES = 3000
EVENT_INTERVAL_S = 0.05
# Chunks of a body, with a pause between them.
CHUNKS = 4
CHUNK_INTERVAL_S = 0.02
GIVE_UP_S = 5.0
# Requests of one connection before the caller opens another.
REQUESTS_A_CONNECTION = 20
# Requests under way at one entry before its callers hold back.
MAX_PENDING = 200


async def serve(reader, writer):
    """Serve one connection of an entry: answer each request with a stream."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            await serve_request(reader, writer)
            await writer.drain()
    writer.close()


async def serve_request(reader, writer):
    """Read a request and answer it."""
    request = _Head((await reader.readuntil(b"\r\n\r\n")).decode("latin-1"))
    if not request.header("Attempt-Id"):
        writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        return
    await reader.readexactly(int(request.header("Content-Length")[0]))
    await stream(request, writer)


async def stream(request, writer):
    """Send a stream of a drawn number of events."""
    fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(signed(request, *fields))
    for number in range(1, 1 + int(random.expovariate(1 / MEAN_EVENTS))):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")


class _Head:
    """The head of a request."""

    def __init__(self, head):
        _, *fields = head.strip().split("\r\n")
        self.headers = [field.split(": ", 1) for field in fields]

    def header(self, name):
        """Return all values of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower()]


class Callers:
    """Callers of one entry, who keep connections open and send bodies in chunks.

    Args:
        address: Address of the entry.
        rate: Requests a second.
    """

    def __init__(self, address, rate):
        self.address = address
        self.rate = rate
        self.idle = []
        self.pending = set()
        self.count = 0

    async def run(self):
        """Send requests at random times until cancelled."""
        while True:
            await asyncio.sleep(random.expovariate(self.rate))
            if len(self.pending) < MAX_PENDING:
                task = asyncio.create_task(self.send())
                self.pending.add(task)
                task.add_done_callback(self.pending.discard)

    async def send(self):
        """Send one request on an idle connection or a new one."""
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError, EOFError
        ):
            async with asyncio.timeout(GIVE_UP_S):
                await self.exchange()

    async def exchange(self):
        """Send one request and read its answer."""
        host, _, port = self.address.rpartition(":")
        if self.idle:
            reader, writer, uses = self.idle.pop()
        else:
            reader, writer = await asyncio.open_connection(host, int(port))
            uses = 0
        is_whole = False
        try:
            await self.write(writer)
            is_whole = await read_answer(reader)
        finally:
            if is_whole and uses < REQUESTS_A_CONNECTION:
                self.idle.append((reader, writer, uses + 1))
            else:
                writer.close()

    async def write(self, writer):
        """Write a request whose body comes in chunks."""
        self.count += 1
        lines = (
            f"POST {STREAM_PATH} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: load-{self.address}-{self.count}",
            f"Deadline-Ms: {int(GIVE_UP_S * 1000)}",
            "Transfer-Encoding: chunked",
        )
        writer.write("\r\n".join((*lines, "", "")).encode())
        size = 1 + int(random.expovariate(CHUNKS / MEAN_BODY_BYTES))
        for _ in range(CHUNKS):
            writer.write(chunk(b"x" * size))
            await asyncio.sleep(CHUNK_INTERVAL_S)
        writer.write(b"0\r\n\r\n")


async def read_answer(reader):
    """Read an answer; return whether its connection may be used again."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b"transfer-encoding: chunked" not in head:
        return False
    while (await reader.readuntil(b"\r\n")) != b"0\r\n":
        await reader.readuntil(b"\r\n")
    await reader.readuntil(b"\r\n")
    return b"connection: close" not in head


async def main(port, rate, addresses):
    """Serve streams and call all entries until the process is ended."""
    server = await asyncio.start_server(serve, LOOPBACK, int(port), backlog=1000)
    async with server, asyncio.TaskGroup() as tasks:
        for address in addresses:
            tasks.create_task(Callers(address, float(rate)).run())


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], sys.argv[3:]))
