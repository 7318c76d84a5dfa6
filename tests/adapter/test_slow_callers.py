"""Tests of callers that send or read slowly, at an entry with bounded memory."""

import asyncio
import contextlib
import socket
import time

import aiohttp
import pytest

from skylarkdoord.direct import _bounded_connection
from skylarkdoord.direct._settings import MemorySettings

from ._standins import HOST, Entry, Server, chunk, config, reply, route, server_row
from ._standins import signed as signed_head

MIB = 1024 * 1024
MAX_HELD = 16 * MIB
TIMEOUT_S = 1.5
STREAM = route(routeType="streaming", maxAttempts=1, timeoutMs=1500)
PLAIN = route(timeoutMs=1500)
LONG = route(timeoutMs=20_000)
HEADERS = {"Host": HOST, "Attempt-Id": "a1", "Deadline-Ms": "20000"}
RECEIVE_BUFFER_BYTES = 4096
BIG = b"x" * (7 * MIB)


@pytest.fixture
def start(store):
    """Return a context manager that runs an entry with a bound."""

    @contextlib.asynccontextmanager
    async def running(routes, server, max_held_bytes=MAX_HELD):
        await store.put(
            "op", "config", config(*routes, limits={"maxBodyBytes": 6 * MIB})
        )
        await store.put("servers", "i-0", server_row(server))
        entry = Entry(store)
        memory = MemorySettings(max_held_bytes=max_held_bytes)
        entry.settings = entry.settings._replace(memory=memory)
        async with entry:
            await entry.until_serving(1)
            yield entry

    return running


def held(entry):
    """Return the held bytes of an entry."""
    return entry.kernel.services["callers"].held


async def get(entry, **options):
    """Send a request; return status, headers and body."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(entry.url + "/desk/1", headers=HEADERS, **options) as response,
    ):
        return response.status, response.headers, await response.read()


async def send(entry, fields, body=b""):
    """Send the beginning of a request; return the connection."""
    host, port = entry.settings.listen.callers.split(":")
    connection = socket.socket()
    # Otherwise the system takes several megabytes that the caller has not read.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=connection)
    lines = [f"{name}: {value}" for name, value in (HEADERS | fields).items()]
    writer.write("\r\n".join(["POST /desk/1 HTTP/1.1", *lines, "", ""]).encode() + body)
    return reader, writer


def endless(pause_s=0.0):
    """Return a script that streams events of 64 KiB without end."""

    async def script(request, writer):
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(signed_head(request, *fields))
        while True:
            writer.write(chunk(b"data: " + b"x" * 65536 + b"\n\n"))
            await writer.drain()
            await asyncio.sleep(pause_s)

    return script


class TestSlowSenders:
    """Callers that send their bodies slowly."""

    # Guards against memory that is used up by bodies under way.
    async def test_refused(self, start):
        """A large body beyond the bound is refused unread, a small one is served."""
        fields = {"Content-Length": str(5 * MIB)}
        async with Server(reply()) as server, start([PLAIN], server) as entry:
            _, first = await send(entry, fields)
            await entry.until(lambda: held(entry).used == 5 * MIB)
            reader, second = await send(entry, fields)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in head
            assert b"a1" in head
            assert (await get(entry, data=b"x" * 1000))[0] == 200
            first.close()
            second.close()
            await entry.until(lambda: held(entry).used == 0)
            assert (await get(entry, data=b"x" * 5 * MIB))[0] == 200
        assert len(server.requests) == 2

    # Guards against large callers that are shut out by bodies which never end.
    async def test_made_room(self, start):
        """A body that gets no further is answered 408 as soon as others need room."""
        fields = {"Content-Length": str(5 * MIB)}
        async with Server(reply()) as server, start([PLAIN], server) as entry:
            reader, first = await send(entry, fields, b"x" * MIB)
            await entry.until(lambda: held(entry).used == 5 * MIB)
            await asyncio.sleep(1.2)
            assert (await get(entry, data=b"x" * 5 * MIB))[0] == 200
            async with asyncio.timeout(2.0):
                assert (await reader.readline()).startswith(b"HTTP/1.1 408")
            first.close()
            await entry.until(lambda: held(entry).used == 0)
        assert len(server.requests) == 1

    # Guards against bytes that stay reserved for a caller which sends no body.
    async def test_never_sent(self, start):
        """A body that does not arrive before the deadline is answered 408."""
        fields = {"Content-Length": "100000", "Deadline-Ms": "500"}
        async with Server(reply()) as server, start([PLAIN], server) as entry:
            reader, writer = await send(entry, fields)
            async with asyncio.timeout(2.0):
                assert (await reader.readline()).startswith(b"HTTP/1.1 408")
            writer.close()
            await entry.until(lambda: held(entry).used == 0)
        assert not server.requests


class TestSlowReaders:
    """Callers that do not read their answers."""

    # Guards against a connection that is kept for a caller which never reads.
    @pytest.mark.parametrize("is_stream", [False, True])
    async def test_never_read(self, start, is_stream):
        """The connection is closed after the route's timeout, and nothing is held."""
        script = endless() if is_stream else reply(BIG)
        routes = [STREAM if is_stream else PLAIN]
        async with Server(script) as server, start(routes, server) as entry:
            reader, writer = await send(entry, {"Content-Length": "0"})
            reader._transport.pause_reading()
            began = time.monotonic()
            await entry.until(lambda: held(entry).used > 0)
            connections = entry.kernel.services["callers"].connections
            await entry.until(lambda: not connections.transports)
            assert TIMEOUT_S < time.monotonic() - began < 2 * TIMEOUT_S + 1.0
            assert held(entry).used == 0
            writer.close()

    # Guards against refusals that pile up for a caller which reads nothing.
    async def test_refusals(self, start, monkeypatch):
        """Answers to refused requests are watched too."""
        monkeypatch.setattr(_bounded_connection.BoundedRequestHandler, "timeout_s", 0.5)
        async with Server(reply()) as server, start([PLAIN], server) as entry:
            refused = {"Deadline-Ms": "never", "Content-Length": "0"}
            reader, writer = await send(entry, refused)
            reader._transport.pause_reading()
            connections = entry.kernel.services["callers"].connections
            await entry.until(lambda: connections.transports)
            lines = [f"{name}: {value}" for name, value in (HEADERS | refused).items()]
            head = "\r\n".join(["POST /desk/1 HTTP/1.1", *lines, "", ""]).encode()
            with contextlib.suppress(ConnectionError):
                while connections.transports:
                    writer.write(head * 200)
                    await writer.drain()
                    await asyncio.sleep(0.01)
            await entry.until(lambda: not connections.transports)
            writer.close()

    # Guards against a connection that counts as ended while its answer is still held.
    async def test_held_until_it_ends(self, start):
        """Nothing of an answer is held once its connection is no longer watched."""
        async with Server(reply(BIG)) as server, start([PLAIN], server) as entry:
            reader, writer = await send(entry, {"Content-Length": "0"})
            reader._transport.pause_reading()
            await entry.until(lambda: held(entry).used > 0)
            connections = entry.kernel.services["callers"].connections
            async with asyncio.timeout(3 * TIMEOUT_S):
                while connections.transports:
                    await asyncio.sleep(0)
            assert held(entry).used == 0
            writer.close()

    async def test_read_late(self, start):
        """A caller that reads after a pause gets its whole answer."""
        async with Server(reply(BIG)) as server, start([PLAIN], server) as entry:
            reader, writer = await send(entry, {"Content-Length": "0"})
            await entry.until(lambda: held(entry).writing > 0)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(len(BIG)) == BIG
            writer.close()
            await entry.until(lambda: held(entry).used == 0)

    # Guards against answers that are lost because many large ones arrive together.
    async def test_at_once(self, start):
        """Whole answers beyond the bound wait for each other."""
        async with Server(reply(BIG)) as server, start([LONG], server) as entry:
            server.slots = 8
            answers = await asyncio.gather(*(get(entry) for _ in range(6)))
            assert [(status, len(body)) for status, _, body in answers] == [
                (200, len(BIG))
            ] * 6
            await entry.until(lambda: held(entry).used == 0)

    # Guards against an upstream that cuts off a stream because its caller reads slowly.
    async def test_stream_is_buffered(self, start):
        """While there is memory, the upstream is read though the caller does not."""
        async with Server(endless(0.02)) as server, start([STREAM], server) as entry:
            reader, writer = await send(entry, {"Content-Length": "0"})
            reader._transport.pause_reading()
            await entry.until(lambda: held(entry).unsent > 600 * 1024)
            writer.close()

    async def test_readiness(self, start):
        """Readiness is withdrawn while too much is held."""
        routes = [LONG]
        async with (
            Server(reply(BIG)) as server,
            start(routes, server, max_held_bytes=2 * MIB) as entry,
        ):
            reader, writer = await send(entry, {"Content-Length": "0"})
            callers = entry.kernel.services["callers"]
            await entry.until(lambda: not held(entry).is_ready())
            path = callers.dependencies.adapter.readiness_path
            url = f"http://{entry.settings.listen.ready}{path}"
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as response:
                    assert response.status == 503
                assert (await get(entry))[0] == 503
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(BIG))
                await entry.until(held(entry).is_ready)
                async with session.get(url) as response:
                    assert response.status == 200
            assert (await get(entry))[0] == 200
            writer.close()
