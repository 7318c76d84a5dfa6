"""Stand-ins for the platform's store and servers, and an entry in this process."""

import asyncio
import base64
import contextlib
import copy
import json
import socket
import struct
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web

from skylarkdoor.kernel import Kernel
from skylarkdoor_bench.testing import free_port
from skylarkdoord.direct import DirectSettings
from skylarkdoord.direct._settings import DirectListen
from skylarkdoord.direct.entry import build

HOST = "desk.example"
SIGNATURE = "3e1b.07"
LOOPBACK = "127.0.0.1"

Script = Callable[["Request", asyncio.StreamWriter], Awaitable[None]]


class Store:
    """The platform's store, with tables in memory.

    Attributes:
        status: Status of every response; rows are only sent with 200.
        is_history_lost: Whether the next feed call reports a lost history.
        era: Number of times that it came back from an older copy; None if it states
            no era.
        now_ms: Returns its clock, in milliseconds.
        on_commit: Serves a call that writes.
        calls: Paths of the calls.
        uses: Path and table of each call other than a feed call.
        lost_answers: Tables of which the next write is made, but not answered.
        odd_fields: Fields of the answers to calls of a path, which then come at once.
    """

    def __init__(self):
        self.now_ms = lambda: 1500
        self.uses = []
        self.lost_answers = set()
        self.odd_fields = {}
        self.on_commit = self.commit
        self.tables = {}
        self.version = 1
        self.changed = asyncio.Condition()
        self.status = 200
        self.is_history_lost = False
        self.era = None
        self.calls = []

    async def __aenter__(self):
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get("/rows-get", self.get)
        app.router.add_get("/rows-feed", self.feed)
        app.router.add_post("/rows-tx", self.write)
        app.on_response_prepare.append(self.add_era)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, LOOPBACK, 0)
        await site.start()
        self.address = f"{LOOPBACK}:{self.runner.addresses[0][1]}"
        return self

    async def __aexit__(self, *exc):
        """Close the listener."""
        await self.runner.cleanup()

    async def add_era(self, request, response):
        """Add the era to a response."""
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)

    def copy(self):
        """Return a copy of all tables, to which the store can come back."""
        return copy.deepcopy(self.tables), self.version

    async def come_back(self, older):
        """Come back from an older copy; versions are given out again."""
        async with self.changed:
            self.tables, self.version = copy.deepcopy(older)
            self.era = (self.era or 0) + 1
            self.changed.notify_all()

    async def put(self, table, key, value):
        """Write a row: bytes unchanged, other values as JSON; None removes it."""
        data = value if value is None or isinstance(value, bytes) else to_json(value)
        async with self.changed:
            self.version += 1
            self.tables.setdefault(table, {})[key] = (data, self.version)
            self.changed.notify_all()

    def rows(self, table, since=-1):
        """Return the rows changed after a version."""
        rows = []
        for key, (data, version) in sorted(self.tables.get(table, {}).items()):
            if version <= since or (data is None and since < 0):
                continue
            row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
            if data is None:
                row["deleted"] = True
            else:
                row["data"] = base64.b64encode(data).decode()
            rows.append(row)
        return rows

    def answer(self, rows, status=200, odd=()):
        """Return a response with rows."""
        fields = {
            "rows": rows,
            "hasMore": False,
            "rowVersion": self.version,
            "nowMs": self.now_ms(),
        }
        return web.json_response(fields | dict(odd), status=status)

    async def get(self, request):
        """Serve a full read."""
        self.calls.append(request.path)
        self.uses.append((request.path, request.query["tableName"]))
        if self.status != 200:
            return web.Response(status=self.status)
        odd = self.odd_fields.get(request.path, {})
        return self.answer(self.rows(request.query["tableName"]), odd=odd)

    async def feed(self, request):
        """Serve a feed call: wait for changes and return them."""
        self.calls.append(request.path)
        if self.status != 200:
            return web.Response(status=self.status)
        if self.is_history_lost:
            self.is_history_lost = False
            return web.Response(status=410)
        if request.path in self.odd_fields:
            return self.answer([], odd=self.odd_fields[request.path])
        table, since = request.query["tableName"], int(request.query["sinceRevision"])
        if since > self.version:
            return web.Response(status=410)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                async with self.changed:
                    await self.changed.wait_for(lambda: self.rows(table, since))
        return self.answer(self.rows(table, since))

    async def write(self, request):
        """Serve a call that writes."""
        return await self.on_commit(request)

    async def commit(self, request):
        """Write rows, if those that are expected to have a version have it."""
        body = await request.json()
        changes = [*body.get("write", []), *body.get("remove", [])]
        tables = {row["tableName"] for row in changes}
        self.uses += [(request.path, table) for table in sorted(tables)]
        if self.status != 200:
            return web.Response(status=self.status)
        current = [
            row
            for expected in body.get("expect", [])
            for row in self.rows(expected["tableName"])
            if row["key"] == expected["key"]
        ]
        versions = {
            (row["tableName"], row["key"]): row["rowVersion"] for row in current
        }
        for expected in body.get("expect", []):
            name = expected["tableName"], expected["key"]
            if versions.get(name, 0) != expected["rowVersion"]:
                return self.answer(current, status=412)
        for row in body.get("write", []):
            data = base64.b64decode(row["data"])
            await self.put(row["tableName"], row["key"], data)
        for row in body.get("remove", []):
            await self.put(row["tableName"], row["key"], None)
        if tables & self.lost_answers:
            self.lost_answers -= tables
            return web.Response(status=500)
        return self.answer([])


class Request:
    """A request as a server received it."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body

    def header(self, name):
        """Return all values of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower()]


class Server:
    """A server of the platform that responds as scripted.

    Args:
        script: Writes the response to one request.
    """

    def __init__(self, script):
        self.script = script
        self.slots = 4
        self.requests = []
        self.closed = asyncio.Event()

    async def __aenter__(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exc):
        """Close the listener."""
        self.server.close()

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            line, *fields = head.strip().split("\r\n")
            headers = [tuple(field.split(": ", 1)) for field in fields]
            request = Request(line, headers, b"")
            length = int((request.header("Content-Length") or ["0"])[0])
            request.body = await reader.readexactly(length)
            self.requests.append(request)
            work = asyncio.create_task(self.script(request, writer))
            disconnected = asyncio.create_task(reader.read(1))
            await asyncio.wait(
                {work, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                self.closed.set()
                work.cancel()
            disconnected.cancel()
            await asyncio.gather(work, disconnected, return_exceptions=True)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def to_json(value):
    """Return a value as JSON bytes."""
    return json.dumps(value).encode()


def head(request, *fields, status="200 OK"):
    """Return the head of an unsigned response to a request."""
    attempt = request.header("Attempt-Id")[0]
    lines = (f"HTTP/1.1 {status}", f"Attempt-Id: {attempt}", *fields, "", "")
    return "\r\n".join(lines).encode()


def signed(request, *fields, status="200 OK"):
    """Return the head of a response with the server's signature."""
    return head(request, f"Server-Signature: {SIGNATURE}", *fields, status=status)


def reply(body=b"answer", status="200 OK"):
    """Return a script that sends a complete response."""

    async def script(request, writer):
        length = f"Content-Length: {len(body)}"
        writer.write(signed(request, length, status=status) + body)
        await writer.drain()

    return script


def reset(writer):
    """Reset a connection instead of closing it in an orderly way."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def refuse():
    """Return a script that responds that the request was not run."""

    async def script(request, writer):
        fields = ("Not-Executed: 1", "Content-Length: 0")
        writer.write(head(request, *fields, status="503 Service Unavailable"))

    return script


async def receive(request):
    """Return status, body and whether the body is complete of the answer to a request.

    Args:
        request: Context of the request; the status is None if there is no answer.
    """
    body, status = b"", None
    try:
        async with request as response:
            status = response.status
            async for data in response.content.iter_any():
                body += data
    except aiohttp.ClientError:
        return status, body, False
    return status, body, True


def event(number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: word {number}\n\n".encode()


def chunk(data):
    """Return bytes as one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream(numbers, *, tail=b"", is_cut=False, pause_s=0.0):
    """Return a script that sends a stream of events.

    Args:
        numbers: Ids of the events; a resumed stream skips those already received.
        tail: Bytes sent after the last event.
        is_cut: Whether the response ends before it is complete.
        pause_s: Pause after each event, in seconds.
    """

    async def script(request, writer):
        last = int((request.header("Last-Event-Id") or ["0"])[0])
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(signed(request, *fields))
        for number in numbers:
            if number > last:
                writer.write(chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(pause_s)
        if tail:
            writer.write(chunk(tail))
        if not is_cut:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


def route(name="desk", **changes):
    """Return a route of the operator's configuration."""
    fields = {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "routeType": "idempotent",
        "timeoutMs": 4000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 2,
        "anonymous": True,
    }
    return fields | changes


def config(*routes, version=3, **changes):
    """Return an operator's configuration."""
    services = {item["service"] for item in routes}
    fields = {
        "version": version,
        "routes": list(routes),
        "services": [{"name": name, "healthPath": "/healthz"} for name in services],
        "limits": {"maxBodyBytes": 1000},
        "tenants": [],
    }
    return fields | changes


def server_row(server, **changes):
    """Return a server's row."""
    fields = {
        "service": "desk",
        "address": server.address,
        "zone": "north",
        "version": "v1",
        "slots": server.slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1,
    }
    return fields | changes


class Entry:
    """A direct entry in this process.

    Args:
        store: The platform's store.
    """

    def __init__(self, store, instance="edge-1"):
        self.settings = DirectSettings(
            instance=instance,
            data_centre="north",
            adapter="skylarkdoor_platform",
            store=store.address,
            listen=DirectListen(
                peers=f"{LOOPBACK}:{free_port()}",
                metrics=f"{LOOPBACK}:{free_port()}",
                callers=f"{LOOPBACK}:{free_port()}",
                ready=f"{LOOPBACK}:{free_port()}",
            ),
            guard_port=free_port(),
            first_start=True,
            shutdown_timeout_s=6.0,
        )
        self.kernel = Kernel()

    @property
    def url(self):
        """Base URL for callers."""
        return f"http://{self.settings.listen.callers}"

    async def __aenter__(self):
        """Start the services."""
        self.apply = build(self.kernel, self.settings)
        await self.kernel.start()
        return self

    async def __aexit__(self, *exc):
        """Stop the services without a drain notice."""
        callers = self.kernel.services["callers"]
        callers.drain_notice_s = 0.0
        await self.kernel.stop()

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def until_serving(self, servers=1):
        """Wait until the entry has the configuration and a number of servers."""
        fleet = self.kernel.services["fleet"].fleet
        await self.until(
            lambda: (
                fleet.routing is not None
                and sum(
                    cached.record is not None for cached in fleet.cached_rows.values()
                )
                >= servers
            )
        )
