"""Tests of the memory of an entry, as a process of its own."""

import asyncio
import contextlib
import json
import re
from pathlib import Path

import aiohttp
import pytest

from skylarkdoor_bench.testing import free_port
from tests.soak._daemon import Daemon, entry_settings

from ._standins import HOST, Server, config, route, server_row

TEMPLATE = Path(__file__).parents[2] / "deploy" / "entry.json"
MEMORY_MB = 136
REQUESTS = 48
MIB = 1024 * 1024
HEADERS = {"Host": HOST, "Attempt-Id": "a1", "Deadline-Ms": "60000"}


def deployed_memory():
    """Return the section `memory` as the platform renders the entry's template."""
    found = re.search(
        r"\{\{#limits\.memoryMb\}\}(.*?),\s*\{\{/limits\.memoryMb\}\}",
        TEMPLATE.read_text(),
        re.DOTALL,
    )
    section = re.sub(
        r"\{\{#contracts\}\}.*?\{\{/contracts\}\}", '"base", "platform", ', found[1]
    )
    section = section.replace("{{limits.memoryMb}}", str(MEMORY_MB))
    return json.loads("{" + section + "}")["memory"]


def most_memory(process):
    """Return the most memory that a process has used so far, in megabytes."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s*(\d+)", status)[1]) / 1024


async def hang(request, writer):
    """Leave a request without an answer."""
    await asyncio.Event().wait()


@pytest.fixture
async def entry(store, tmp_path):
    """Return an entry with the memory settings of the deployment."""
    settings = entry_settings("edge-1", store.address, guard_port=free_port())
    daemon = Daemon("direct-entry", settings | {"memory": deployed_memory()}, tmp_path)
    await daemon.start()
    daemon.listen = settings["listen"]
    yield daemon
    await daemon.kill()


async def is_ready(session, entry):
    """Return whether an entry accepts callers."""
    with contextlib.suppress(aiohttp.ClientConnectorError):
        async with session.get(f"http://{entry.listen['ready']}/readiness") as response:
            return response.status == 200
    return False


async def post(session, entry):
    """Send a large request; return its status."""
    url = f"http://{entry.listen['callers']}/desk/1"
    async with session.post(url, headers=HEADERS, data=b"x" * 4 * MIB) as response:
        return response.status


class TestMemory:
    """An entry with little memory."""

    # Guards against entries that are killed because upstreams hang large requests.
    async def test_hung_upstreams(self, store, entry):
        """Requests beyond the memory are refused; the entry stays within its memory."""
        routes = [route(timeoutMs=60_000, maxAttempts=1)]
        limits = {"maxBodyBytes": 4 * MIB}
        await store.put("op", "config", config(*routes, limits=limits))
        refused = []

        async def fill():
            refused.append(await post(session, entry))

        async with Server(hang) as server, aiohttp.ClientSession() as session:
            server.slots = REQUESTS
            await store.put("servers", "i-0", server_row(server))
            async with asyncio.timeout(20):
                while not await is_ready(session, entry):
                    await asyncio.sleep(0.05)
            tasks = [asyncio.create_task(fill()) for _ in range(REQUESTS)]
            async with asyncio.timeout(30):
                while len(server.requests) + len(refused) < REQUESTS:
                    await asyncio.sleep(0.05)
            assert entry.process.returncode is None
            assert most_memory(entry.process) < MEMORY_MB
            assert set(refused) == {503}
            assert server.requests
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
