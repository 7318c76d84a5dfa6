"""Tests of a named limit over real processes, some of which fail meanwhile."""

import asyncio
import contextlib
import signal

import aiohttp
import pytest

from skylarkdoor_bench.testing import free_port
from tests.soak._daemon import Daemon, entry_settings

from ._standins import HOST, config, route, server_row
from .test_named_limits import RUN_S, LimitedServer, allowed

CALLERS = 8
PAUSE_S = 0.02
EVENT_AT_S = 3.0
START_TIMEOUT_S = 20.0
HEADERS = {"Host": HOST, "Attempt-Id": "a1", "Deadline-Ms": "600"}


class Entries:
    """Entries as processes of their own.

    Args:
        store: The platform's store.
        folder: Directory of their settings and logs.
    """

    def __init__(self, store, folder):
        self.store = store
        self.folder = folder
        self.guard_port = free_port()
        self.daemons = []
        self.urls = []

    async def add(self):
        """Start one more entry and let callers use it."""
        name = f"edge-{len(self.daemons)}"
        settings = entry_settings(name, self.store.address, guard_port=self.guard_port)
        daemon = Daemon("direct-entry", settings, self.folder)
        self.daemons.append(daemon)
        await daemon.start()
        ready = f"http://{settings['listen']['ready']}/readiness"
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self.is_ready(session, ready):
                    await asyncio.sleep(0.05)
        self.urls.append(f"http://{settings['listen']['callers']}/desk/")

    async def is_ready(self, session, url):
        """Return whether an entry accepts callers."""
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(url) as response:
                return response.status == 200
        return False

    async def kill(self):
        """Kill an entry and start it again."""
        daemon = self.daemons[0]
        await daemon.kill()
        await daemon.start()

    async def freeze(self):
        """Suspend an entry for a while."""
        self.daemons[0].process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        self.daemons[0].process.send_signal(signal.SIGCONT)

    async def nothing(self):
        """Leave all entries alone."""

    async def stop(self):
        """Kill all entries."""
        for daemon in self.daemons:
            await daemon.kill()


async def call(entries, number):
    """Send requests to the entries in turn until cancelled."""
    timeout = aiohttp.ClientTimeout(total=2.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            number += 1
            url = f"{entries.urls[number % len(entries.urls)]}{number}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.get(url, headers=HEADERS) as response:
                    await response.read()
            await asyncio.sleep(PAUSE_S)


async def run_callers(entries, event):
    """Send requests for a while, with an event in between."""
    tasks = [asyncio.create_task(call(entries, 1000 * n)) for n in range(CALLERS)]
    await asyncio.sleep(EVENT_AT_S)
    await event()
    await asyncio.sleep(RUN_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class TestLimitedProcesses:
    """An upstream that names a limit, while entries come and go."""

    # Guards against an entry that takes more than its part once others fail.
    @pytest.mark.parametrize(
        ("count", "limit", "event"),
        [
            (2, 1, "kill"),
            (2, 5, "freeze"),
            (4, 0.5, "kill"),
            (4, 5, "add"),
            (8, 1, "nothing"),
            (8, 50, "freeze"),
        ],
    )
    async def test_event(self, store, tmp_path, count, limit, event):
        """The limit is kept in any 4 s."""
        await store.put("op", "config", config(route()))
        entries = Entries(store, tmp_path)
        async with LimitedServer(limit) as limited, LimitedServer(None) as free:
            for number, server in enumerate((limited, free)):
                await store.put("servers", f"i-{number}", server_row(server))
            try:
                for _ in range(count):
                    await entries.add()
                await run_callers(entries, getattr(entries, event))
            finally:
                await entries.stop()
        assert limited.most_in_window() <= allowed(limit)
        assert len(free.arrivals) > len(limited.arrivals) or limit == 50
