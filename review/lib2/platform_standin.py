"""Small stand-ins of the platform: store, servers, requesters, and the settings files.

They follow SYSTEM.md, PROTOCOL.md and DEPLOY.md. All of them run in the process of the
case; only the project's own programs are processes of their own.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


# Below the ports that the system gives to outgoing connections.
PORTS = range(10_000, 30_000)
_chosen = set()


def free_port(host=HOST):
    """Return a port that is free at present, and that this case has not chosen yet."""
    while True:
        port = random.choice(PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            if port not in _chosen:
                probe.bind((host, port))
                _chosen.add(port)
                return port


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.path = pathlib.Path(path)
        self.path.write_text("")

    def __call__(self, *words):
        """Add a line to the record."""
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(map(str, words))
        with self.path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.strip().split("\r\n")
    headers = [tuple(field.split(": ", 1)) for field in fields if ": " in field]
    named = {name.lower(): value for name, value in headers}
    body = b""
    if "chunked" in named.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in named:
        body = await reader.readexactly(int(named["content-length"]))
    return line, named, body


class Store:
    """The platform's store: tables in memory, over HTTP.

    `reached_by` may refuse calls, to stand for a cut or an outage.
    """

    def __init__(self, record):
        self.record = record
        self.tables = {}
        self.version = 1
        self.changed = asyncio.Condition()
        self.writers = set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def put(self, table, key, value):
        """Write a row, as the operator or a server does; None removes it."""
        data = value
        if value is not None and not isinstance(value, bytes):
            data = json.dumps(value).encode()
        async with self.changed:
            self.version += 1
            self.tables.setdefault(table, {})[key] = (data, self.version)
            self.changed.notify_all()

    def rows(self, table, since=None):
        """Return all rows of a table, or those changed after a version."""
        rows = []
        for key, (data, version) in sorted(self.tables.get(table, {}).items()):
            if data is None if since is None else version <= since:
                continue
            row = {"tableName": table, "part": "", "key": key, "rowVersion": version}
            if data is None:
                row["deleted"] = True
            else:
                row["data"] = base64.b64encode(data).decode()
            rows.append(row)
        return (
            sorted(rows, key=lambda row: row["rowVersion"])
            if since is not None
            else rows
        )

    def reply(self, rows=()):
        """Return a status and an answer with rows."""
        return 200, {
            "rows": list(rows),
            "hasMore": False,
            "rowVersion": self.version,
            "nowMs": int(time.monotonic() * 1000),
        }

    async def serve(self, reader, writer):
        """Serve the calls of one channel."""
        self.writers.add(writer)
        try:
            while True:
                line, _headers, body = await read_message(reader)
                _method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                fields = dict(re.findall(r"([^&=]+)=([^&]*)", query))
                status, answer = await self.call(path, fields, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, path, fields, body):
        """Serve one call; return its status and answer."""
        await asyncio.sleep(0.004)
        if path == "/rows-get":
            return self.reply(self.rows(fields["tableName"]))
        if path == "/rows-feed":
            table, since = fields["tableName"], int(fields["sinceRevision"])
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(fields.get("waitMs", 0)) / 1000):
                    async with self.changed:
                        await self.changed.wait_for(lambda: self.rows(table, since))
            return self.reply(self.rows(table, since))
        if path == "/rows-tx":
            return await self.commit(json.loads(body))
        return 404, {}

    async def commit(self, call):
        """Write rows, if those that are expected have their versions."""
        current = []
        for row in call.get("expect", []):
            found = self.tables.get(row["tableName"], {}).get(row["key"], (None, 0))
            if (found[1] if found[0] is not None else 0) != row["rowVersion"]:
                rows = self.rows(row["tableName"])
                current += [one for one in rows if one["key"] == row["key"]]
                return 412, self.reply(current)[1]
        for row in call.get("write", []):
            await self.put(row["tableName"], row["key"], base64.b64decode(row["data"]))
        for row in call.get("remove", []):
            await self.put(row["tableName"], row["key"], None)
        return self.reply()


class Server:
    """A server of a service, with a script that answers one request."""

    def __init__(self, record, script, *, instance, service, slots=6, zone="riga-1"):
        self.record = record
        self.script = script
        self.instance = instance
        self.service = service
        self.slots = slots
        self.zone = zone
        self.runs = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    def row(self, **changes):
        """Return the server's row in the store."""
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        return fields | changes

    async def serve(self, reader, writer):
        """Serve one request."""
        try:
            line, headers, body = await read_message(reader)
            if headers.get("target-instance", self.instance) != self.instance:
                writer.write(
                    b"HTTP/1.1 421 -\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
                return
            self.runs.append((time.monotonic(), headers))
            self.record("run", self.instance, headers.get("attempt-id"), line)
            headers["x-path"] = line.split(" ")[1]
            await self.script(headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def answer_head(headers, status="200 OK", *fields):
    """Return the head of a signed answer."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Attempt-Id: {headers.get('attempt-id')}",
        "Server-Signature: 3e1b.07.5a2",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def render_entry(directory, name, store, *, ip=HOST, bounds=None, limits=None):
    """Write the settings of an entry with the project's template; return its fields."""
    bounds = {
        "retryBudgetRatio": 0.2,
        "budgetSlack": 52,
        "budgetWindowS": 10,
        "quotaWindowS": 8,
        "quotaOvershoot": 0.1,
        "quotaTolerance": 110000,
        "gracePeriodS": 8,
    } | (bounds or {})
    fields = {
        "nodeName": name,
        "zone": "riga-1",
        "ip": ip,
        "bootstrap": True,
        "platform.address": store,
        "listen.frontend": f"{ip}:{free_port(ip)}",
        "listen.ready": f"{ip}:{free_port(ip)}",
        "internalPortRange.0": free_port(ip),
        "limits.memoryMb": (limits or {}).get("memoryMb", 150),
        "limits.maxFds": (limits or {}).get("maxFds", 4100),
    } | {f"bounds.{key}": value for key, value in bounds.items()}
    text = (ROOT / "deploy/entry.json").read_text()

    def section(match):
        return match[2] if match[1] in fields else ""

    def value(match):
        found = fields[match[1]]
        return json.dumps(found) if match[2] or isinstance(found, bool) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)
    # The template's port of its metrics is fixed; several entries share this machine.
    text = text.replace(f"{ip}:7601", f"{ip}:{free_port(ip)}")
    path = pathlib.Path(directory) / f"{name}.json"
    path.write_text(text)
    return path, fields


class Program:
    """One of the project's programs, started with the command of the deploy file."""

    def __init__(self, record, role, settings, log):
        self.record, self.role, self.settings, self.log = record, role, settings, log

    async def __aenter__(self):
        keep = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with open(self.log, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "skylarkdoord",
                self.role,
                "--settings",
                str(self.settings),
                cwd=ROOT,
                env=keep | {"PYTHONPATH": str(ROOT / "target/deps")},
                stdout=log,
                stderr=log,
            )
        self.record("start", self.role, self.settings.stem)
        return self

    def send(self, number):
        """Send the program a signal."""
        self.record("signal", signal.Signals(number).name, self.settings.stem)
        self.process.send_signal(number)

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def until_ready(address, timeout_s=20.0):
    """Wait until an entry says that it is ready."""
    host, _, port = address.rpartition(":")
    ends = time.monotonic() + timeout_s
    while time.monotonic() < ends:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _, _ = await read_message(reader)
            writer.close()
            if " 200 " in line:
                return
        await asyncio.sleep(0.1)
    raise RuntimeError("the entry was not ready in time")


def run_case(folder, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else with 2."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case with the disruption" if trouble else "case without the disruption")
    try:
        with tempfile.TemporaryDirectory() as directory:
            broken = asyncio.run(
                asyncio.wait_for(case(record, directory, trouble), 110)
            )
    except Exception as error:
        record("the case could not run:", repr(error))
        sys.exit(2)
    record("the rule was broken:" if broken else "the rule held", broken or "")
    sys.exit(1 if broken else 0)
