"""Stand-ins of the platform: store, servers, clients and a proxy.

Only the standard library is needed.

They follow PROTOCOL.md. Every address is a loopback address; each process of the
deployment gets an address of its own, so that all can use the same ports.
"""

import asyncio
import base64
import contextlib
import json
import logging
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


def network():
    """Return the first three parts of loopback addresses that nobody uses."""
    return f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"


def free_port(ip="127.0.0.1"):
    """Return a free port."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Message:
    """A request or a response as it was received."""

    def __init__(self, line, fields, body=b""):
        self.line = line
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        """Return the first value of a header."""
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Return the next message without its body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = head.decode("latin-1").strip().split("\r\n")
    fields = []
    for field in rest:
        name, _, value = field.partition(":")
        fields.append((name, value.strip()))
    return Message(line, fields)


async def read_body(reader, message):
    """Return the body of a message that states a length or comes in chunks."""
    if "chunked" in message.get("Transfer-Encoding").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(message.get("Content-Length", "0") or 0))


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = Path(path).open("w")  # noqa: SIM115
        self.began = time.monotonic()

    def now(self):
        """Return the time since the start, in seconds."""
        return time.monotonic() - self.began

    def line(self, text):
        """Write a line with its time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store, with its tables in memory.

    It holds `rows-feed` calls for at most 30 s, and answers each with the rows that
    changed, in order of their versions.
    """

    def __init__(self, record, ip):
        self.record = record
        self.ip = ip
        self.rows = {}
        self.version = 100
        self.changed = asyncio.Condition()
        self.began = time.monotonic()

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = (self.ip, self.server.sockets[0].getsockname()[1])

    async def put(self, table, key, value):
        """Write a row as the operator or a server; None removes it."""
        data = None if value is None else json.dumps(value).encode()
        async with self.changed:
            self.write(table, key, data)
            self.changed.notify_all()
        self.record.line(f"store acknowledges {table}/{key}: {json.dumps(value)[:300]}")

    def write(self, table, key, data):
        """Write a row in the present transaction."""
        self.version += 1
        self.rows.setdefault(table, {})[key] = (data, self.version)

    def listed(self, table, since=None):
        """Return rows in order: all of a table, or those changed after a version."""
        rows = []
        for key, (data, version) in self.rows.get(table, {}).items():
            row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
            if data is None:
                row["deleted"] = True
            else:
                row["data"] = base64.b64encode(data).decode()
            is_listed = data is not None if since is None else version > since
            if is_listed:
                rows.append(row)
        order = "key" if since is None else "rowVersion"
        return sorted(rows, key=lambda row: row[order])

    def reply(self, rows):
        """Return the fields of an answer with rows."""
        now_ms = int((time.monotonic() - self.began) * 1000)
        return {
            "rows": rows,
            "hasMore": False,
            "rowVersion": self.version,
            "nowMs": now_ms,
        }

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                status, fields = await self.answer(request)
                body = json.dumps(fields).encode()
                await asyncio.sleep(0.004)
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    async def answer(self, request):
        """Return status and fields of the answer to a call."""
        method, target, _ = request.line.split(" ", 2)
        path, _, query = target.partition("?")
        pairs = [pair.partition("=") for pair in query.split("&") if pair]
        query = {name: value for name, _, value in pairs}
        if path == "/rows-get":
            rows = self.listed(query["tableName"])
            source = query.get("source", "").replace("%00", "\0")
            return 200, self.reply([row for row in rows if row["key"] >= source])
        if path == "/rows-feed":
            return 200, await self.feed(query)
        if method == "POST" and path == "/rows-tx":
            return await self.transact(json.loads(request.body))
        return 404, {}

    async def feed(self, query):
        """Wait for changes and return them."""
        table, since = query["tableName"], int(query["sinceRevision"])
        wait_s = min(30.0, int(query["waitMs"]) / 1000)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self.listed(table, since))
        return self.reply(self.listed(table, since))

    async def transact(self, body):
        """Apply a transaction, or none of it."""
        async with self.changed:
            current = []
            holds = True
            for expected in body.get("expect", []):
                table = self.rows.get(expected["tableName"], {})
                data, version = table.get(expected["key"], (None, 0))
                found = version if data is not None else 0
                holds = holds and found == expected["rowVersion"]
                current += [
                    row
                    for row in self.listed(expected["tableName"])
                    if row["key"] == expected["key"]
                ]
            if not holds:
                return 412, self.reply(current)
            for row in body.get("write", []):
                data = base64.b64decode(row["data"])
                self.write(row["tableName"], row["key"], data)
            for row in body.get("remove", []):
                self.write(row["tableName"], row["key"], None)
            self.changed.notify_all()
        return 200, self.reply([])


class Server:
    """A server of the platform, which writes its row only when that changes.

    Attributes:
        is_leaving: Whether it states in its answers that it leaves.
        runs: Ids of the requests that it ran, with the times.
        work_s: Time for one request.
    """

    def __init__(self, record, store, name, service, ip, *, zone="north", slots=4):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.ip = ip
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_leaving = False
        self.work_s = 0.02
        self.runs = []
        self.handle = self.plain

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"

    async def register(self, state="ready"):
        """Write the row."""
        self.sequence += 1
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.store.put("servers", self.name, row)

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                if not await self.respond(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def respond(self, request, reader, writer):
        """Answer one request; return whether the connection stays open."""
        if request.line.startswith("GET /report "):
            body = json.dumps(
                {"running": 0, "waiting": 0, "kvUsage": 0, "kvSize": 90000}
            ).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body)
            await writer.drain()
            return True
        attempt = request.get("Attempt-Id")
        target = request.get("Target-Instance")
        if target and target != self.name:
            self.record.line(f"server {self.name} answers 421 to {attempt}")
            head = (
                f"HTTP/1.1 421 X\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            )
            writer.write(head.encode())
            await writer.drain()
            return True
        self.runs.append((attempt, self.record.now()))
        self.record.line(f"server {self.name} runs {attempt}")
        return await self.handle(request, reader, writer)

    def head(self, request, *fields, status="200 OK"):
        """Return the head of a signed answer."""
        lines = [
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {request.get('Attempt-Id')}",
            f"Server-Signature: {SIGNATURE}",
            *(["Server-Leaving: 1"] if self.is_leaving else []),
            *fields,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def plain(self, request, reader, writer):
        """Work for a moment, and send a whole answer."""
        await asyncio.sleep(self.work_s)
        body = f"answer to {request.get('Attempt-Id')}".encode()
        writer.write(self.head(request, f"Content-Length: {len(body)}") + body)
        await writer.drain()
        return True


class Proxy:
    """Forwards connections; those that are open can go silent for good."""

    def __init__(self, record, ip, target, name):
        self.record = record
        self.ip = ip
        self.target = target
        self.name = name
        self.open = set()
        self.silent = set()
        self.delay_s = 0.0

    async def start(self, port=0):
        """Listen."""
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"

    def silence(self):
        """Let all open connections go silent, without a reset."""
        self.silent |= self.open
        self.record.line(f"proxy {self.name}: {len(self.open)} open channels go silent")

    async def serve(self, reader, writer):
        """Forward one connection."""
        connection = object()
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        self.open.add(connection)
        there = asyncio.create_task(self.copy(connection, reader, back_writer))
        back = asyncio.create_task(self.copy(connection, back_reader, writer))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait({there, back})
        self.open.discard(connection)
        writer.close()
        back_writer.close()

    async def copy(self, connection, reader, writer):
        """Copy one direction."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if connection in self.silent:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        if connection not in self.silent:
            writer.close()


def render(template, fields):
    """Fill in a settings template as DEPLOY.md says, as far as ours use it."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
            if found is None:
                return None
        return found

    def section(match):
        return match[2] if value(match[1]) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def place(match):
        found = value(match[1])
        if match[2]:
            return json.dumps(found)
        if isinstance(found, bool):
            return str(found).lower()
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Machine:
    """A machine with one process of a role of the deploy file.

    Args:
        role: Name of the role.
        ip: Its loopback address.
        store: Address of the store as `host:port`.
    """

    def __init__(self, record, folder, role, name, ip, store, *, zone="north", **more):
        self.record = record
        self.name = name
        self.ip = ip
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            role
        ]
        self.callers = f"{ip}:8221"
        self.ready = f"{ip}:8224"
        self.fields = {
            "nodeName": name,
            "role": role,
            "ip": ip,
            "zone": zone,
            "region": "riga",
            "listen": {"frontend": self.callers, "ready": self.ready},
            "internalPortRange": [7600, 7615],
            "bootstrap": True,
            "limits": {"memoryMb": 150, "maxFds": 4100},
            "bounds": {
                "drainMs": 2000,
                "gracePeriodS": 8,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 52,
                "quotaWindowS": 8,
                "quotaOvershoot": 0.1,
                "quotaTolerance": 110000,
            },
            "platform": {"address": store},
        } | more
        self.settings = Path(folder) / f"{name}.conf"
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    async def start(self):
        """Start the process with the command of the deploy file."""
        template = (ROOT / self.role["template"]).read_text()
        self.settings.write_text(render(template, self.fields))
        words = self.role["run"].split()
        words = [
            str(self.settings) if word == "/etc/skylarkdoor/boot.conf" else word
            for word in words
        ]
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=kept | {"PYTHONPATH": str(ROOT / "target/deps")},
                stdout=log,
                stderr=log,
            )
        self.record.line(f"{self.name} starts")

    async def until_ready(self):
        """Wait until the process accepts requesters."""
        host, port = self.ready.split(":")
        async with asyncio.timeout(25):
            while True:
                with contextlib.suppress(OSError):
                    answer = await call(
                        host, int(port), "GET", "/readiness", {}, b"", 2.0
                    )
                    if answer.status == 200:
                        self.record.line(f"{self.name} is ready")
                        return
                await asyncio.sleep(0.1)

    def send(self, number):
        """Send a signal."""
        self.record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        """End the process, whatever it does."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Answer:
    """What a requester got."""

    def __init__(self, status, fields=(), body=b"", *, is_whole=True, error=""):
        self.status = status
        self.message = Message("", list(fields), body)
        self.body = body
        self.is_whole = is_whole
        self.error = error


async def call(host, port, method, target, headers, body, timeout_s):
    """Send one request on a new connection and return the answer."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, port), min(1.0, timeout_s)
    )
    try:
        async with asyncio.timeout(timeout_s):
            return await exchange(reader, writer, method, target, headers, body)
    except TimeoutError:
        return Answer(None, is_whole=False, error="time limit")
    finally:
        writer.close()


async def exchange(reader, writer, method, target, headers, body):
    """Send one request on a connection and return the answer."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    try:
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Answer(None, is_whole=False, error="closed without an answer")
        status = int(head.line.split(" ")[1])
        try:
            content = await read_body(reader, head)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, head.fields, is_whole=False, error="cut")
        return Answer(status, head.fields, content)
    except ConnectionError as error:
        return Answer(None, is_whole=False, error=type(error).__name__)


class Requester:
    """Sends requests with ids of their own."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.sent = {}
        self.answers = {}

    async def send(
        self, machine, path, *, method="POST", body=b"x", deadline_ms=2000, **headers
    ):
        """Send one request to a machine and return its id."""
        self.count += 1
        attempt = f"{self.count:016x}"
        host, port = machine.callers.split(":")
        fields = {"Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        self.sent[attempt] = (self.record.now(), machine.name)
        self.record.line(f"requester sends {attempt} to {machine.name}: {path}")
        try:
            answer = await call(
                host, int(port), method, path, fields, body, deadline_ms / 1000
            )
        except (OSError, TimeoutError) as error:
            answer = Answer(None, is_whole=False, error=type(error).__name__)
        self.answers[attempt] = answer
        told = answer.error or f"{answer.status}, {len(answer.body)} bytes"
        self.record.line(f"requester of {attempt} gets {told}")
        return attempt


def route(name="desk", **changes):
    """Return a route of the operator's config."""
    return {
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
    } | changes


def config(version, *routes, **changes):
    """Return an operator's config."""
    services = {item["service"] for item in routes}
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": name, "healthPath": "/healthz"} for name in services],
        "limits": {
            "maxHeaderBytes": 32768,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [],
    } | changes


def run_case(folder, case):
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        folder: Folder of the case, for record.txt.
        case: Coroutine function; gets the record, a temporary folder and whether there
            is trouble, and returns the violations as texts.
    """
    record = Record(Path(folder) / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    keep = os.environ.get("KEEP_LOGS")
    with contextlib.ExitStack() as stack:
        place = keep or stack.enter_context(tempfile.TemporaryDirectory())
        Path(place).mkdir(parents=True, exist_ok=True)
        # Connections of the stand-ins may be open at the end.
        logging.disable(logging.CRITICAL)
        try:
            violations = asyncio.run(case(record, place, is_troubled))
        except Exception as error:
            record.line(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
    for violation in violations:
        record.line(f"BROKEN: {violation}")
        print(f"BROKEN: {violation}")
    if not violations:
        record.line("the rule held")
        print("the rule held")
    return 1 if violations else 0
