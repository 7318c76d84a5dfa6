"""Tests of processes that start while a port of theirs is taken."""

import asyncio
import json
import socket

import pytest

from skylarkdoor_bench.testing import free_port
from tests.soak._daemon import Daemon, entry_settings

from ._standins import config, route

ROLES = {
    "direct-entry": ("peers", "callers", "ready", "metrics"),
    "guard": ("peers", "metrics"),
}
PORTS = [(role, name) for role, names in ROLES.items() for name in names]
PROCESS_READY, PROCESS_STOPPED, PORT_TAKEN, PORT_OPENED = 201, 203, 211, 212
TIMEOUT_S = 30.0
POLL_S = 0.05


def lines(daemon):
    """Return the numbers of the events that a process has logged."""
    return [json.loads(line)["event"] for line in daemon.log.read_text().splitlines()]


async def until(daemon, number):
    """Wait until a process has logged an event."""
    async with asyncio.timeout(TIMEOUT_S):
        while number not in lines(daemon):
            assert daemon.process.returncode is None
            await asyncio.sleep(POLL_S)


@pytest.fixture
async def start(store, tmp_path):
    """Return a function that starts a process, one port of which is taken."""
    daemons = []
    await store.put("op", "config", config(route()))

    async def starting(role, name):
        settings = entry_settings("edge-1", store.address, guard_port=free_port())
        listen = settings["listen"]
        settings["listen"] = {name: listen[name] for name in ROLES[role]}
        host, _, port = listen[name].rpartition(":")
        taken = socket.create_server((host, int(port)))
        daemon = Daemon(role, settings, tmp_path)
        daemons.append(daemon)
        await daemon.start()
        return daemon, taken

    yield starting
    for daemon in daemons:
        await daemon.kill()


class TestTakenPort:
    """A port that another process holds."""

    # Guards against a restarted process that ends as its former one holds a port.
    @pytest.mark.parametrize(("role", "name"), PORTS)
    async def test_freed(self, start, role, name):
        """The process starts, and opens the port once it is free."""
        daemon, taken = await start(role, name)
        with taken:
            await until(daemon, PORT_TAKEN)
        await until(daemon, PORT_OPENED)
        await until(daemon, PROCESS_READY)

    # Guards against a process that can't start for want of its metrics.
    @pytest.mark.parametrize("role", ROLES)
    async def test_metrics(self, start, role):
        """A process serves while its port of metrics stays taken."""
        daemon, taken = await start(role, "metrics")
        with taken:
            await until(daemon, PROCESS_READY)

    # Guards against a process that does not stop while it waits for a port.
    @pytest.mark.parametrize(("role", "name"), PORTS)
    async def test_stopped_meanwhile(self, start, role, name):
        """A process that waits for its port stops when it is asked to."""
        daemon, taken = await start(role, name)
        with taken:
            await until(daemon, PORT_TAKEN)
            daemon.process.terminate()
            async with asyncio.timeout(TIMEOUT_S):
                assert await daemon.process.wait() == 0
        assert lines(daemon)[-1] == PROCESS_STOPPED
