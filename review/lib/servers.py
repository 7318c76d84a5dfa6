"""Servers of the platform: plain services and model servers that stream events."""

import asyncio
import json

SIGNATURE = "3e1b.07"


class Request:
    """A request as a server received it."""

    def __init__(self, head, body):
        line, *fields = head.strip().split("\r\n")
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = [
            tuple(field.split(": ", 1)) if ": " in field else (field.rstrip(":"), "")
            for field in fields
        ]
        self.body = body

    def header(self, name):
        """Return a header's first value; empty if it is absent."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""


async def read_request(reader):
    """Return the next request on a connection; None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request = Request(head, b"")
        if "chunked" in request.header("Transfer-Encoding").lower():
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
            request.body = body
        else:
            request.body = await reader.readexactly(
                int(request.header("Content-Length") or 0)
            )
        return request
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Server:
    """A server with one row in the table `servers`.

    Args:
        store: The platform's store.
        instance: Its id.
        service: Name of its service.
        host: Loopback address of its machine.
        record: Called with a line for the record.
    """

    def __init__(
        self,
        store,
        instance,
        service,
        host,
        record,
        *,
        slots=8,
        version="v1",
        work_s=0.02,
        events=0,
        gap_s=0.05,
    ):
        self.store, self.instance, self.service, self.host = (
            store,
            instance,
            service,
            host,
        )
        self.record = record
        self.slots, self.version = slots, version
        self.work_s, self.events, self.gap_s = work_s, events, gap_s
        self.state = "ready"
        self.sequence = 0
        self.born = 1_796_000_000_000
        self.runs = []
        self.running = 0
        self.port = 0
        self.beat = None
        self.script = None
        self.writers = set()

    async def start(self, port=0):
        """Listen on a port."""
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"

    async def register(self):
        """Write the entry, and keep it up to date."""
        self.beat = asyncio.create_task(self.beats())
        await self.write_row()

    async def beats(self):
        """Count on; the entry changes only if more than its number does."""
        while True:
            await asyncio.sleep(1.2)
            self.sequence += 1
            await self.write_again()

    def entry(self):
        """Return the fields of the entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "agenskalns",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def write_row(self):
        """Write the entry with its next number."""
        self.sequence += 1
        await self.store.put("servers", self.instance, self.entry())

    async def write_again(self):
        """Write the entry if the store has none, or another one but for the number."""
        data, _ = self.store.tables.get("servers", {}).get(self.instance, (None, 0))
        if data is not None:
            try:
                found = json.loads(data)
            except ValueError:
                found = None
            if isinstance(found, dict) and found | {"sequence": 0} == self.entry() | {
                "sequence": 0
            }:
                return
        await self.store.put("servers", self.instance, self.entry())

    async def stop(self):
        """Close the listener."""
        if self.beat:
            self.beat.cancel()
        self.server.close()

    async def serve(self, reader, writer):
        """Serve one channel."""
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if request.method == "GET" and request.target == "/report":
                    load = json.dumps(
                        {
                            "phase": "unified",
                            "modelList": [],
                            "busy": False,
                            "sequence": 0,
                            "waiting": 0,
                            "running": self.running,
                            "kvUsage": 0,
                            "kvSize": 300000,
                            "cacheHandles": 0,
                            "born": self.born,
                        }
                    ).encode()
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        b"Content-Length: %d\r\n\r\n" % len(load) + load
                    )
                    await writer.drain()
                    continue
                work = asyncio.create_task(self.answer(request, writer))
                gone = asyncio.create_task(reader.read(1))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    # The channel has closed, so the work is dropped.
                    work.cancel()
                gone.cancel()
                await asyncio.gather(work, gone, return_exceptions=True)
                return
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        """Run a request, unless it names another server."""
        attempt = request.header("Attempt-Id")
        if request.header("Target-Instance") not in ("", self.instance):
            writer.write(
                (
                    f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\n"
                    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                ).encode()
            )
            await writer.drain()
            self.record(f"server {self.instance} answers {attempt} with 421")
            return
        self.runs.append((attempt, request))
        self.record(
            f"server {self.instance} ({self.service} {self.version}) runs {attempt}, "
            f"{request.method} {request.target}, "
            f"Last-Event-Id {request.header('Last-Event-Id') or '-'}"
        )
        self.running += 1
        try:
            if self.script is not None:
                await self.script(self, request, writer)
            elif self.events:
                await self.stream(request, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = f"{self.instance} answers {attempt}".encode()
                writer.write(self.head(request, f"Content-Length: {len(body)}") + body)
                await writer.drain()
        finally:
            self.running -= 1

    def head(self, request, *fields, status="200 OK"):
        """Return the head of a signed answer."""
        lines = (
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {request.header('Attempt-Id')}",
            f"Server-Signature: {SIGNATURE}.{self.instance}",
            *fields,
            "",
            "",
        )
        return "\r\n".join(lines).encode()

    def event(self, number):
        """Return one event."""
        return f"id: {number}\ndata: piece {number} of {self.version}\n\n".encode()

    async def stream(self, request, writer):
        """Send the events after the last one that the requester has."""
        last = int(request.header("Last-Event-Id") or 0)
        writer.write(
            self.head(
                request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
            )
        )
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = self.event(number)
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
