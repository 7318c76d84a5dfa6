"""Tests of the metrics port of an entry or a guard."""

import asyncio
import threading

import aiohttp
import pytest

from skylarkdoor.kernel import Kernel
from skylarkdoor_bench.testing import free_port
from skylarkdoord.direct._metrics_server import MetricsServer

from ._make import make_settings

CONNECTIONS = 64
MAX_THREADS = 32
SETTLE_S = 0.5
CASES = {"silent": b"", "incomplete head": b"GET /metrics HTTP/1.1\r\nX-Noise: "}


@pytest.fixture
async def address():
    """Return the address of a running metrics server."""
    settings = make_settings("a")
    address = f"127.0.0.1:{free_port()}"
    listen = settings.listen._replace(metrics=address)
    server = MetricsServer(settings._replace(listen=listen))
    await server.start(Kernel())
    yield address
    await server.stop()


async def get(address):
    """Return the status of a request for the metrics."""
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/metrics") as response:
            assert "skylarkdoor_direct" in await response.text()
            return response.status


class TestCrowd:
    """Connections that stay open without a complete request."""

    # Guards against a process that runs out of memory or descriptors by its metrics.
    @pytest.mark.parametrize("case", CASES)
    async def test_threads(self, address, case):
        """They occupy a bounded number of threads, and metrics are answered."""
        at_rest = threading.active_count()
        writers = []
        for _ in range(CONNECTIONS):
            _, writer = await asyncio.open_connection(*address.split(":"))
            writer.write(CASES[case])
            writers.append(writer)
        await asyncio.sleep(SETTLE_S)
        threads = threading.active_count() - at_rest
        status = await get(address)
        for writer in writers:
            writer.transport.abort()
        assert threads <= MAX_THREADS
        assert status == 200
