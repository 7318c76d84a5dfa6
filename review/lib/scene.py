"""A small deployment on loopback, with a record of what was sent, answered and run."""

import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import traceback
from pathlib import Path

from platform_store import Store
from requesters import Channel

from deploy import Program, free_port, machine_fields

HOST = "desk.example"
LIMIT_S = 115
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case could not be run."""


def route(name, service, kind="idempotent", **changes):
    """Return a route of the operator's config."""
    fields = {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "anonymous": True,
    }
    return fields | changes


def config(routes, services, version=3, **changes):
    """Return the operator's config."""
    fields = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 65536,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [],
    }
    return fields | changes


class Scene:
    """The stand-ins and programs of one run.

    Attributes:
        trouble: Whether the disruption is played.
    """

    def __init__(self, folder, record_path):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self.file = Path(record_path).open("w")  # noqa: SIM115
        self.began = time.monotonic()
        self.store = Store(record=self.record)
        self.servers = []
        self.programs = []
        self.ports = {"frontend": free_port(), "ready": free_port(), "internal": 0}
        self.broken = []
        # The metrics port is the same everywhere, so each run has its own addresses.
        self.net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"

    def edge(self, number):
        """Return the address of an edge machine."""
        return f"{self.net}.{number}"

    def side(self, number):
        """Return the address of the machine of a server."""
        return f"{self.net}.{100 + number}"

    def now(self):
        """Return the time since the start of the run, in seconds."""
        return time.monotonic() - self.began

    def record(self, line):
        """Write a line to the record."""
        self.file.write(f"{self.now():8.3f} {line}\n")
        self.file.flush()

    def fail(self, line):
        """Record that the rule is broken."""
        self.broken.append(line)
        self.record(f"BROKEN: {line}")

    async def start_store(self):
        """Start the store."""
        await self.store.start()
        self.record(f"the store listens on {self.store.address}")

    async def add(self, server, port=0):
        """Start a server and write its entry."""
        await server.start(port)
        await server.register()
        self.servers.append(server)
        self.record(
            f"server {server.instance} of {server.service} listens on {server.address}"
        )

    def program(self, role, name, ip, store=None, **changes):
        """Return a program on a machine of its own address."""
        # Ports are the same on all machines.
        if not self.ports["internal"]:
            self.ports["internal"] = find_range()
        machine = "edge" if role == "entry" else "side"
        fields = machine_fields(
            name, machine, ip, store or self.store.address, self.ports, **changes
        )
        program = Program(role, fields, self.folder, self.record)
        program.frontend = fields["listen"]["frontend"]
        program.ready = fields["listen"]["ready"]
        self.programs.append(program)
        return program

    async def until_ready(self, programs, timeout_s=25):
        """Wait until the entries answer the platform's check with 200."""
        try:
            async with asyncio.timeout(timeout_s):
                for program in programs:
                    while not await is_ready(program.ready):
                        await asyncio.sleep(0.1)
                    self.record(f"{program.name} is ready")
        except TimeoutError:
            raise NotRunError("the entries did not become ready") from None

    async def close(self):
        """End all processes and stand-ins, and record why tasks failed."""
        for program in self.programs:
            await program.end()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        for program in self.programs:
            if program.log_path.exists():
                tail = program.log_path.read_text(errors="replace").splitlines()
                wanted = [
                    line
                    for line in tail
                    if '"event_name": "task_failed"' in line
                    or line.startswith("ModuleNotFoundError")
                ]
                for line in wanted[:6]:
                    self.file.write(f"         log of {program.name}: {line[:600]}\n")
        self.file.flush()


async def is_ready(address):
    """Ask an entry whether it is ready, as the platform does."""
    channel = Channel(address)
    try:
        await channel.open()
        channel.writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
        async with asyncio.timeout(1):
            return (await channel.read()).status == 200
    except (OSError, TimeoutError):
        return False
    finally:
        channel.close()


class Balancer:
    """Sends requesters to entries, as the platform does with the nodes of a zone.

    A node that has not answered two checks in a row, a second apart, gets no new
    channels until it answers again. If fewer than half are left, all get some.
    """

    def __init__(self, entries):
        self.entries = entries
        self.misses = {entry.name: 0 for entry in entries}
        self.turn = 0
        self.task = asyncio.create_task(self.check())

    async def check(self):
        """Check all entries each second."""
        while True:
            for entry in self.entries:
                ready = await is_ready(entry.ready)
                self.misses[entry.name] = 0 if ready else self.misses[entry.name] + 1
            await asyncio.sleep(1.0)

    def pick(self):
        """Return the entry of a new channel."""
        used = [entry for entry in self.entries if self.misses[entry.name] < 2]
        if 2 * len(used) < len(self.entries):
            used = self.entries
        self.turn += 1
        return used[self.turn % len(used)]


def find_range():
    """Return the first of 16 ports for communication between nodes."""
    return free_port()


async def _run(case, folder, record_path):
    scene = Scene(folder, record_path)
    # Whoever ends the run also ends the processes that it started.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    scene.record("with the disruption" if scene.trouble else "without the disruption")
    status = NOT_RUN
    try:
        async with asyncio.timeout(LIMIT_S):
            await case(scene)
        status = BROKEN if scene.broken else HELD
    except NotRunError as error:
        scene.record(f"NOT RUN: {error}")
    except Exception:
        scene.record("NOT RUN: " + traceback.format_exc())
    finally:
        await scene.close()
        scene.record(
            {
                BROKEN: "the rule was broken",
                HELD: "the rule held",
                NOT_RUN: "the case could not run",
            }[status]
        )
    return status


def main(case, script):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2."""
    folder = tempfile.mkdtemp(prefix="review-")
    record_path = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
    status = NOT_RUN
    try:
        status = asyncio.run(_run(case, folder, record_path))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print(Path(record_path).read_text()[-1500:])
    sys.exit(status)
