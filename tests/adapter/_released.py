"""Servers of two software versions, entries as processes, and callers."""

import asyncio
import contextlib
import json
import time

import aiohttp

from skylarkdoor_bench.testing import free_port
from tests.soak._daemon import Daemon, entry_settings, until_ready

from ._standins import HOST, Server, config, reply, route, server_row

OLD, NEW = "v1", "v2"
KEY = "rollout/desk"
DURATION_S = 6.0
ROLLBACK_S = 5.0
EXPOSURE_FRACTION = 0.1
EXPOSURE_TOLERANCE = 50
BOUNDS = {
    "exposure_fraction": EXPOSURE_FRACTION,
    "exposure_tolerance": EXPOSURE_TOLERANCE,
    "rollback_s": ROLLBACK_S,
}
SLOTS = 8
CALLERS = 12
CALL_PAUSE_S = 0.02
ANSWER_S = 0.02
IDEMPOTENT = route(maxAttempts=2)
ONCE = route("booking", routeType="non_idempotent", maxAttempts=1)


def good(answer_s=ANSWER_S):
    """Return a script that answers after a short time, in seconds."""
    answer = reply()

    async def script(request, writer):
        await asyncio.sleep(answer_s)
        await answer(request, writer)

    return script


def failing():
    """Return a script of which a third of the answers are server errors."""
    answers = [reply(), reply(), reply(status="500 Internal Server Error")]
    count = 0

    async def script(request, writer):
        nonlocal count
        count += 1
        await asyncio.sleep(ANSWER_S)
        await answers[count % 3](request, writer)

    return script


class ReleasedServer(Server):
    """A server that notes when it got its requests and which answers failed."""

    def __init__(self, script, version):
        super().__init__(self.note)
        self.answer = script
        self.version = version
        self.slots = SLOTS
        self.arrivals = []
        self.running = 0

    async def note(self, request, writer):
        """Note a request and answer it."""
        self.arrivals.append(time.monotonic())
        self.running += 1
        try:
            await self.answer(request, writer)
        finally:
            self.running -= 1


class Release:
    """A deployment in which servers of a new version stand beside those of the old.

    Args:
        store: The platform's store.
        folder: Directory of the entries' settings and logs.
        new: Script of the servers of the new version.
        entries: Number of entries.
        rollouts: Settings of roll-outs; None for none.
    """

    def __init__(self, store, folder, new, *, entries=2, rollouts=BOUNDS):
        self.store = store
        self.folder = folder
        self.count = entries
        self.rollouts = rollouts
        self.old = [ReleasedServer(good(), OLD) for _ in range(2)]
        self.new = [ReleasedServer(new, NEW) for _ in range(2)]
        self.daemons = []
        self.urls = []
        self.results = []
        self.ordered_at = 0.0

    async def __aenter__(self):
        """Start everything; requests come from now on."""
        self.store.now_ms = lambda: int(time.monotonic() * 1000)
        await self.store.put("op", "config", config(IDEMPOTENT, ONCE))
        self.stack = contextlib.AsyncExitStack()
        for server in (*self.old, *self.new):
            await self.stack.enter_async_context(server)
        await self.write_rows(self.old)
        await self.write_rows(self.new)
        guard_port = free_port()
        try:
            for number in range(self.count):
                await self.add(f"edge-{number}", guard_port)
        except BaseException:
            await self.kill_all()
            raise
        self.callers = [
            asyncio.create_task(self.call(number)) for number in range(CALLERS)
        ]
        return self

    async def __aexit__(self, *exc):
        """Stop everything."""
        for caller in self.callers:
            caller.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)
        await self.kill_all()
        await self.stack.aclose()

    async def write_rows(self, servers, state="ready"):
        """Write the rows of servers."""
        for server in servers:
            row = server_row(server, version=server.version, state=state)
            await self.store.put("servers", f"i-{server.address}", row)

    async def add(self, name, guard_port):
        """Start an entry."""
        settings = entry_settings(name, self.store.address, guard_port=guard_port)
        if self.rollouts is not None:
            settings["rollouts"] = self.rollouts
        daemon = Daemon("direct-entry", settings, self.folder)
        self.daemons.append(daemon)
        self.urls.append(f"http://{settings['listen']['callers']}")
        await daemon.start()
        await until_ready(f"http://{settings['listen']['ready']}/readiness")

    async def kill_all(self):
        """Kill all entries."""
        for daemon in self.daemons:
            await daemon.kill()

    async def restart_all(self):
        """Kill all entries at once and start them again."""
        await self.kill_all()
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def call(self, number):
        """Send requests to the entries in turn until cancelled."""
        timeout = aiohttp.ClientTimeout(total=4.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                number += 1
                path = "/booking/1" if number % 5 == 0 else "/desk/1"
                url = self.urls[number % len(self.urls)] + path
                headers = {
                    "Host": HOST,
                    "Attempt-Id": f"a{number}",
                    "Deadline-Ms": "3000",
                }
                began = time.monotonic()
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.post(url, headers=headers) as response:
                        await response.read()
                        self.results.append((began, response.status))
                await asyncio.sleep(CALL_PAUSE_S)

    async def order(self, to=NEW, **changes):
        """Give an order."""
        self.ordered_at = time.monotonic()
        fields = {"service": "desk", "to": to, "durationS": DURATION_S}
        await self.store.put("op", KEY, fields | changes)

    def status(self):
        """Return the status in the store that is newer than the order; None if none."""
        data, version = self.store.tables.get("status", {}).get(KEY, (None, 0))
        _, ordered = self.store.tables["op"][KEY]
        return json.loads(data) if data and version > ordered else None

    async def until_state(self, *states, timeout_s=DURATION_S):
        """Wait for one of these states; return it and the time since the order."""
        async with asyncio.timeout(timeout_s + 3.0):
            while True:
                status = self.status()
                if status is not None and status["state"] in states:
                    return status, time.monotonic() - self.ordered_at
                await asyncio.sleep(0.01)

    def sent(self, servers, since, until=float("inf")):
        """Return how many requests servers got within a time."""
        return sum(since <= at < until for server in servers for at in server.arrivals)

    def has_logged(self, name):
        """Return the entries' log lines of an event."""
        return [
            line
            for daemon in self.daemons
            for line in map(json.loads, daemon.log.read_text().splitlines())
            if line.get("event_name") == name
        ]
