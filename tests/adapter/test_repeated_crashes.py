"""Tests of requests that crash servers which are soon back, at the same address."""

import asyncio
import contextlib

import aiohttp
import pytest

from skylarkdoord.direct.evidence._crash_state import MAX_CRASHES

from ._restarting import RestartingServer
from ._standins import Entry, route, stream

ONCE = route(routeType="non_idempotent", maxAttempts=1)
SERVERS = 4
# Sends after the third crash that the users accept.
MAX_SENDS_AFTER = 3
REPEATS = 12
REPEAT_INTERVAL_S = 0.4


@contextlib.asynccontextmanager
async def running(store, **options):
    """Run servers that crash and start again."""
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(
                RestartingServer(store, f"desk-{number}", **options)
            )
            for number in range(SERVERS)
        ]


async def repeat(caller, times=REPEATS):
    """Repeat a request, as impatient callers do."""
    for _ in range(times):
        await caller.get()
        await asyncio.sleep(REPEAT_INTERVAL_S)


def count_crashes(servers):
    """Return how many requests crashed a server."""
    return sum(len(server.requests) for server in servers)


class TestRestartedServers:
    """A request that crashes servers which start again at the same address."""

    # Guards against a crash that is hidden by the server's next incarnation.
    @pytest.mark.parametrize("has_new_id", [False, True])
    @pytest.mark.parametrize("down_s", [0.05, 1.1])
    async def test_never_answered(self, start, store, down_s, has_new_id):
        """No server gets the request after three crashes."""
        options = {"down_s": down_s, "has_new_id": has_new_id}
        async with running(store, **options) as servers:
            async with start([route(maxAttempts=3)], []) as caller:
                await caller.entry.until_serving(SERVERS)
                await repeat(caller)
        assert count_crashes(servers) == MAX_CRASHES

    # Guards against an earlier answer that exempts a request from quarantine.
    @pytest.mark.parametrize("has_new_id", [False, True])
    @pytest.mark.parametrize("down_s", [0.05, 1.1])
    async def test_answered_before(self, start, store, down_s, has_new_id):
        """A request that was answered earlier is stopped at the bound as well."""
        options = {"down_s": down_s, "has_new_id": has_new_id, "answers": 1}
        async with running(store, **options) as servers:
            async with start([route(maxAttempts=3)], []) as caller:
                await caller.entry.until_serving(SERVERS)
                await repeat(caller, times=SERVERS + REPEATS)
        assert count_crashes(servers) <= MAX_CRASHES + MAX_SENDS_AFTER

    # Guards against the report: four servers, all of which crash within a moment and
    # are back at their addresses under new ids some seconds later.
    async def test_crash_in_waves(self, start, store):
        """Servers that come back all at once do not get the request again."""
        async with running(store, down_s=3.0, has_new_id=True) as servers:
            async with start([route(maxAttempts=2)], []) as caller:
                await caller.entry.until_serving(SERVERS)
                await repeat(caller, times=20)
        assert count_crashes(servers) == MAX_CRASHES

    # Guards against a crash that looks like an answer because some of it arrived.
    @pytest.mark.parametrize("numbers", [(), (1, 2)])
    async def test_crash_within_answer(self, start, store, numbers):
        """A stream that ends with its upstream, before or after its first events."""
        begin = stream(numbers, is_cut=True)
        options = {"down_s": 1.1, "has_new_id": True, "begin": begin}
        async with running(store, **options) as servers:
            streaming = route(routeType="streaming", streamResume=True, maxAttempts=2)
            async with start([streaming], []) as caller:
                await caller.entry.until_serving(SERVERS)
                for _ in range(REPEATS):
                    with contextlib.suppress(aiohttp.ClientError):
                        await caller.get()
                    await asyncio.sleep(REPEAT_INTERVAL_S)
        assert count_crashes(servers) == MAX_CRASHES

    # Guards against crashes that only the registry can tell, while it is away.
    @pytest.mark.parametrize("has_new_id", [False, True])
    @pytest.mark.parametrize("down_s", [0.05, 1.1])
    async def test_store_away(self, start, store, down_s, has_new_id):
        """Crashes during an outage of the store count."""
        options = {"down_s": down_s, "has_new_id": has_new_id}
        async with running(store, **options) as servers:
            async with start([route(maxAttempts=3)], []) as caller:
                await caller.entry.until_serving(SERVERS)
                store.status = 503
                await repeat(caller)
        assert count_crashes(servers) <= MAX_CRASHES + MAX_SENDS_AFTER

    # Guards against each entry counting only the crashes that it saw itself.
    @pytest.mark.parametrize("has_new_id", [False, True])
    @pytest.mark.parametrize("down_s", [0.05, 1.1])
    async def test_two_entries(self, start, store, down_s, has_new_id):
        """Crashes add up that two entries see in turn."""
        options = {"down_s": down_s, "has_new_id": has_new_id}
        async with running(store, **options) as servers:
            async with start([ONCE], []) as caller, Entry(store, "edge-2") as other:
                entries = (caller.entry, other)
                for entry in entries:
                    await entry.until_serving(SERVERS)
                for number in range(REPEATS):
                    caller.entry = entries[number % 2]
                    await caller.get()
                    await asyncio.sleep(REPEAT_INTERVAL_S)
                caller.entry = entries[0]
        assert count_crashes(servers) <= MAX_CRASHES + MAX_SENDS_AFTER
