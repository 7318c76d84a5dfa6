"""Tests of what the servers receive when an answer is lost or a server crashes."""

import asyncio
import contextlib

import aiohttp
import pytest

from skylarkdoor.suspicion import crash_id
from skylarkdoor_bench.testing import free_port
from skylarkdoord.direct.evidence import fingerprint_of

from ._standins import LOOPBACK, Server, reply, reset, route, server_row

ONCE = route(routeType="non_idempotent", maxAttempts=1)
# Methods that HTTP defines as idempotent, whatever the route says.
METHODS = ("GET", "PUT", "DELETE")
MAX_CRASHES = 3
BRIEFLY = aiohttp.ClientTimeout(total=0.3)


async def lose_answer(request, writer):
    """Reset the connection instead of responding."""
    reset(writer)


async def hang(request, writer):
    """Never respond."""
    await asyncio.sleep(60)


class CrashingServer(Server):
    """A server that ends with the first request that it receives.

    Its port is reserved, so that no server of a concurrent test gets it afterwards.
    """

    def __init__(self):
        super().__init__(self.crash)

    async def __aenter__(self):
        """Listen on a reserved port."""
        port = free_port()
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.address = f"{LOOPBACK}:{port}"
        return self

    async def crash(self, request, writer):
        """Stop listening and reset the connection."""
        self.server.close()
        reset(writer)


class TestLostAnswers:
    """Requests whose connection is reset before an answer."""

    # Guards against sends below the entry: a request that may run once ran twice.
    @pytest.mark.parametrize("method", METHODS)
    async def test_http_client_does_not_resend(self, start, method):
        """A request that may run once arrives once, whatever its HTTP method."""
        async with Server(lose_answer) as one, Server(lose_answer) as two:
            async with start([ONCE], [one, two]) as caller:
                status, _, _ = await caller.get(method=method)
        assert status == 502
        assert len(one.requests) + len(two.requests) == 1

    # Guards against sends below the entry: each attempt counted twice at the servers.
    async def test_attempts_equal_arrivals(self, start):
        """An idempotent request arrives once for each attempt of the entry."""
        async with Server(lose_answer) as one, Server(lose_answer) as two:
            async with start([route(maxAttempts=2)], [one, two]) as caller:
                assert (await caller.get())[0] == 502
        assert (len(one.requests), len(two.requests)) == (1, 1)


class TestCrashingRequest:
    """A request that crashes every server that runs it."""

    # Guards against a crash that is mistaken for a server that was never reached.
    @pytest.mark.parametrize("method", [*METHODS, "POST"])
    async def test_is_quarantined(self, start, method):
        """After three crashes, repeats of the request reach no server."""
        servers = [CrashingServer() for _ in range(MAX_CRASHES + 3)]
        async with contextlib.AsyncExitStack() as running:
            for server in servers:
                await running.enter_async_context(server)
            async with start([ONCE], servers) as caller:
                crashes = caller.entry.kernel.services["callers"].dependencies.crashes
                for _ in range(len(servers)):
                    await caller.get(method=method)
                    await asyncio.gather(*crashes.checks)
        assert sum(len(server.requests) for server in servers) == MAX_CRASHES

    # Guards against crashes that go unnoticed because no connection is reset.
    async def test_silent_crashes(self, start, store):
        """A request whose servers fall silent and start again is quarantined."""
        servers = [Server(hang) for _ in range(MAX_CRASHES + 1)]
        async with contextlib.AsyncExitStack() as running:
            for server in servers:
                await running.enter_async_context(server)
            async with start([ONCE], servers) as caller:
                crashes = caller.entry.kernel.services["callers"].dependencies.crashes
                for number in range(MAX_CRASHES):
                    with pytest.raises(TimeoutError):
                        await caller.get(timeout=BRIEFLY)
                    for index, server in enumerate(servers):
                        row = server_row(server, born=1 + len(server.requests))
                        await store.put("servers", f"i-{index}", row)
                    await caller.entry.until(
                        lambda count=number + 1: (
                            sum(
                                crashes.count(s.fingerprint) for s in crashes.suspicions
                            )
                            >= count
                        )
                    )
                status, _, _ = await caller.get()
        assert status == 503
        assert sum(len(server.requests) for server in servers) == MAX_CRASHES

    # Guards against crashes that are forgotten when all entries start anew.
    async def test_restart(self, start, store):
        """Crashes before a restart of the only entry count after it."""
        servers = [CrashingServer() for _ in range(MAX_CRASHES + 1)]
        async with contextlib.AsyncExitStack() as running:
            for server in servers:
                await running.enter_async_context(server)
            for _ in range(MAX_CRASHES + 1):
                async with start([ONCE], servers) as caller:
                    services = caller.entry.kernel.services
                    records = services["suspect_records"]
                    await records.has_read.wait()
                    await caller.get()
                    crashes = services["callers"].dependencies.crashes
                    await asyncio.gather(*crashes.checks)
                    await caller.entry.until(lambda r=records: not r.is_due())
        assert sum(len(server.requests) for server in servers) == MAX_CRASHES

    # Guards against a check at admission only, which misses requests in a queue.
    async def test_quarantined_in_queue(self, start):
        """A request that is quarantined while it waits for a slot is not sent."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            dependencies = caller.entry.kernel.services["callers"].dependencies
            acquire = dependencies.scheduler.acquire

            async def acquire_late(admitted, **options):
                slot = await acquire(admitted, **options)
                crashes = [crash_id(f"i-{number}", 1, 0) for number in range(3)]
                fingerprint = fingerprint_of(admitted)
                dependencies.crashes.suspicions.merge(fingerprint, crashes)
                return slot

            dependencies.scheduler.acquire = acquire_late
            status, _, _ = await caller.get()
            assert status == 503
            assert not server.requests
            assert not any(
                upstream.running for upstream in dependencies.upstreams.tracked.values()
            )

    # Guards against a retry between the third crash and the end of its check.
    async def test_retry_during_check(self, start):
        """A retry waits for no check: an unchecked lost answer counts as a crash."""
        servers = [CrashingServer() for _ in range(MAX_CRASHES + 1)]
        async with contextlib.AsyncExitStack() as running:
            for server in servers:
                await running.enter_async_context(server)
            async with start([route(maxAttempts=2)], servers) as caller:
                await caller.get()
                crashes = caller.entry.kernel.services["callers"].dependencies.crashes
                await asyncio.gather(*crashes.checks)
                await caller.get()
        assert sum(len(server.requests) for server in servers) == MAX_CRASHES
