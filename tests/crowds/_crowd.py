"""An entry as a process with low limits, and what becomes of it beside a crowd."""

import asyncio
import contextlib
import json
import re
import sys
from pathlib import Path
from typing import NamedTuple

import aiohttp

from skylarkdoor_bench.testing import free_port
from tests.adapter._standins import HOST, Server, config, route, server_row, signed
from tests.soak._daemon import Daemon, entry_settings, until_ready

FOLDER = Path(__file__).parent
CLIENT = FOLDER / "_client.py"
LIMITED = FOLDER / "_limited.py"
KIB = 1024
MIB = 1024 * KIB
# The machine of the entry: its memory, and the descriptors of a process.
MEMORY_MB = 100
DESCRIPTORS = 1024
# Descriptors that stay free for upstreams, store and peers.
FREE_DESCRIPTORS = 32
SLOTS = 32
LIMITS = {
    "maxHeaderBytes": 32 * KIB,
    "maxBodyBytes": 4 * MIB,
    "headerTimeoutMs": 5000,
    "idleTimeoutMs": 5000,
}
LARGE_ANSWER = b"x" * MIB
HEADERS = {"Host": HOST, "Attempt-Id": "a1", "Deadline-Ms": "60000"}
FIELDS = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
# Time for which one ordinary caller tries again, and for each try, in seconds.
ORDINARY_S = 30.0
TRY_S = 5.0
PAUSE_S = 0.2
SAMPLE_S = 0.05
CLIENT_S = 60.0
# Answers after which callers try again; the route's requests may be repeated.
RETRIED = {408, 429, 500, 502, 503, 504}


class Outcome(NamedTuple):
    """What became of an entry.

    Attributes:
        ended: Exit status of its process; None if it lives.
        peak_mb: Most memory that it used, in megabytes.
        descriptors: Most descriptors that were seen open.
        beside: Status of an ordinary request while the crowd holds its connections;
            None if there is no answer.
        after: The same after the crowd has let go.
        crowd: What became of the crowd's connections.
    """

    ended: int | None
    peak_mb: float
    descriptors: int
    beside: int | None
    after: int | None
    crowd: list

    def faults(self):
        """Return what is wrong."""
        checks = {
            "ended": self.ended is None,
            "memory": self.peak_mb < MEMORY_MB,
            "descriptors": self.descriptors <= DESCRIPTORS - FREE_DESCRIPTORS,
            "beside": self.beside == 200,
            "after": self.after == 200,
        }
        return [name for name, is_right in checks.items() if not is_right]


class Crowd(NamedTuple):
    """What callers send that don't behave.

    Attributes:
        connections: Connections of each client.
        begin: What each connection sends first.
        repeated: What it sends then.
        repeats: How often it sends that.
        end: What it sends last.
        piece_bytes: Most bytes that a connection sends before the next one's turn.
        reads: Whether answers are read.
        clients: Number of clients.
    """

    connections: int
    begin: str = ""
    repeated: str = ""
    repeats: int = 0
    end: str = ""
    piece_bytes: int = 4 * KIB
    reads: bool = False
    clients: int = 1


class Client:
    """One process of a crowd.

    Args:
        crowd: What it sends.
        address: Host and port of the entry.
    """

    def __init__(self, crowd, address):
        plan = {**crowd._asdict(), "address": address}
        del plan["clients"]
        self.plan = json.dumps(plan).encode() + b"\n"

    async def start(self):
        """Start it, and wait until no connection gets on."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(CLIENT),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.process.stdin.write(self.plan)
        await self.process.stdin.drain()
        async with asyncio.timeout(CLIENT_S):
            return json.loads(await self.process.stdout.readline())

    async def end(self):
        """Let go of the connections."""
        self.process.stdin.close()
        try:
            async with asyncio.timeout(CLIENT_S):
                report = json.loads(await self.process.stdout.readline())
                await self.process.wait()
                return report
        finally:
            await self.kill()

    async def kill(self):
        """End the process, if it has not ended."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def answer(request, writer):
    """Answer a request; some get a large answer."""
    body = LARGE_ANSWER if request.target.endswith("/large") else b"answer"
    writer.write(signed(request, f"Content-Length: {len(body)}") + body)
    await writer.drain()


class CrowdedEntry:
    """An entry with low limits, before one server.

    Args:
        store: The platform's store.
        folder: Directory of its settings and log.
    """

    def __init__(self, store, folder):
        self.store = store
        settings = entry_settings("edge-1", store.address, guard_port=free_port())
        settings["memory"] = {"process_mb": MEMORY_MB}
        program = str(LIMITED), str(DESCRIPTORS)
        self.daemon = Daemon("direct-entry", settings, folder, program=program)
        self.listen = settings["listen"]
        self.address = self.listen["callers"].split(":")
        self.address[1] = int(self.address[1])
        self.descriptors = 0

    async def __aenter__(self):
        """Start it and wait until it serves."""
        await self.store.put("op", "config", config(route(), limits=LIMITS))
        self.server = await Server(answer).__aenter__()
        self.server.slots = SLOTS
        await self.store.put("servers", "i-0", server_row(self.server))
        await self.daemon.start()
        await until_ready(f"http://{self.listen['ready']}/readiness")
        assert await self.ordinary() == 200
        self.sampler = asyncio.create_task(self.sample())
        return self

    async def __aexit__(self, *exc):
        """End it."""
        self.sampler.cancel()
        await self.daemon.kill()
        await self.server.__aexit__(*exc)

    async def sample(self):
        """Look at its open descriptors until cancelled."""
        folder = Path(f"/proc/{self.daemon.process.pid}/fd")
        with contextlib.suppress(OSError):
            while True:
                self.descriptors = max(self.descriptors, len(list(folder.iterdir())))
                await asyncio.sleep(SAMPLE_S)

    def peak_mb(self):
        """Return the most memory that it has used, in megabytes; 0 if it has ended."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.daemon.process.pid}/status").read_text()
            if found := re.search(r"VmHWM:\s*(\d+)", status):
                return int(found[1]) / KIB
        return 0.0

    async def ordinary(self):
        """Send one request as callers do; return its status, None if there is none."""
        status = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ORDINARY_S):
                while True:
                    status = await self.try_once()
                    if status is not None and status not in RETRIED:
                        return status
                    await asyncio.sleep(PAUSE_S)
        return status

    async def try_once(self):
        """Send the request on a new connection; return its status."""
        url = f"http://{self.listen['callers']}/desk/ordinary"
        timeout = aiohttp.ClientTimeout(total=TRY_S)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(url, headers=HEADERS) as response:
                    await response.read()
                    return response.status
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def meet(self, crowd):
        """Let a crowd come, hold and go; return the outcome."""
        clients = [Client(crowd, self.address) for _ in range(crowd.clients)]
        try:
            await asyncio.gather(*(client.start() for client in clients))
            beside = await self.ordinary()
            reports = await asyncio.gather(*(client.end() for client in clients))
        finally:
            for client in clients:
                await client.kill()
        after = await self.ordinary()
        return Outcome(
            self.daemon.process.returncode,
            self.peak_mb(),
            self.descriptors,
            beside,
            after,
            reports,
        )
