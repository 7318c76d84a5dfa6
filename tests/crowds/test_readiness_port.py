"""Tests of the readiness port of an entry that its callers crowd."""

import asyncio
import contextlib

import aiohttp
import pytest

from skylarkdoor_bench.testing import free_port
from tests.adapter._standins import Store, config, route
from tests.soak._daemon import Daemon, entry_settings, is_ready, until_ready

from ._connections import Crowd, Usage

DESCRIPTORS = 256
# Descriptors that connections leave for the store, upstreams and other entries.
KEPT_DESCRIPTORS = 32
CROWD_S = 4.0
ANSWER_TIMEOUT_S = 20.0


@pytest.fixture
async def entry(tmp_path):
    """Return an entry with few descriptors."""
    program = ("-m", "tests.crowds._limited", str(DESCRIPTORS))
    async with Store() as store:
        await store.put("op", "config", config(route()))
        settings = entry_settings("edge-1", store.address, guard_port=free_port())
        daemon = Daemon("direct-entry", settings, tmp_path, program=program)
        daemon.ready = settings["listen"]["ready"]
        await daemon.start()
        await until_ready(f"http://{daemon.ready}/readiness")
        yield daemon
        await daemon.kill()


async def check(entry):
    """Return whether the entry answers that it is ready."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    with contextlib.suppress(TimeoutError):
        async with aiohttp.ClientSession(timeout=timeout) as session:
            return await is_ready(session, f"http://{entry.ready}/readiness")
    return False


class TestReadinessPort:
    """Connections to the readiness port."""

    # Guards against an entry that has no descriptors left for the store.
    async def test_silent(self, entry):
        """Silent ones leave descriptors, and the check is answered."""
        async with Crowd(entry.ready, 2 * DESCRIPTORS, []):
            await asyncio.sleep(CROWD_S)
            descriptors = Usage(entry.process.pid).descriptors
            is_answered = await check(entry)
            assert entry.process.returncode is None
        assert descriptors <= DESCRIPTORS - KEPT_DESCRIPTORS
        assert is_answered
