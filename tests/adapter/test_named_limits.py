"""Tests of upstreams that name the rate of requests that they take."""

import asyncio
import contextlib
import time
from collections import Counter

import pytest

from ._standins import Entry, Server, route, signed

INTERVAL_S = 0.02
RUN_S = 6.0
# A limit binds an entry this long after it was told.
TOLD_S = 0.5
WINDOW_S = 4.0
ROUTE = route(maxAttempts=2)
# Requests that arrive at once where there is no limit.
MIN_SERVED_SHARE = 0.8


class LimitedServer(Server):
    """A server that names a limit in its answers.

    Args:
        limit: The limit in requests a second, as sent; None for none.
    """

    def __init__(self, limit):
        super().__init__(self.answer)
        self.limit = limit
        self.slots = 16
        self.arrivals = []

    async def answer(self, request, writer):
        """Answer and note the time."""
        self.arrivals.append(time.monotonic())
        fields = ["Content-Length: 2"]
        if self.limit is not None:
            fields.append(f"Server-Limit: {self.limit}")
        writer.write(signed(request, *fields) + b"ok")
        await writer.drain()

    def most_in_window(self):
        """Return the most requests within 4 s, once every entry was told."""
        since = self.arrivals[0] + 2 * TOLD_S
        times = [at for at in self.arrivals if at >= since]
        return max(
            (sum(at <= other < at + WINDOW_S for other in times) for at in times),
            default=0,
        )


def allowed(limit):
    """Return the requests that are accepted within 4 s."""
    return 1.5 * WINDOW_S * limit + 5


async def send_requests(caller, entries, seconds=RUN_S):
    """Send requests to entries in turn; return the statuses."""
    answers = []
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        caller.entry = entries[number % len(entries)]
        answers.append(asyncio.create_task(caller.get()))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    return [status for status, _, _ in await asyncio.gather(*answers)]


@contextlib.asynccontextmanager
async def more_entries(store, count, servers):
    """Run further entries that serve."""
    async with contextlib.AsyncExitStack() as stack:
        entries = [
            await stack.enter_async_context(Entry(store, f"edge-{number + 2}"))
            for number in range(count)
        ]
        for entry in entries:
            await entry.until_serving(servers)
        yield entries


class TestNamedLimit:
    """An upstream that names a limit, beside one that names none."""

    # Guards against an upstream in need that gets as many requests as before.
    @pytest.mark.parametrize("limit", [0.5, 1, 5])
    @pytest.mark.parametrize("others", [0, 1, 3])
    async def test_within_limit(self, start, store, limit, others):
        """All entries together keep the limit, and the other upstream serves."""
        async with LimitedServer(limit) as limited, LimitedServer(None) as free:
            async with start([ROUTE], [limited, free]) as caller:
                own = caller.entry
                async with more_entries(store, others, 2) as entries:
                    statuses = await send_requests(caller, [own, *entries])
                caller.entry = own
        assert limited.most_in_window() <= allowed(limit)
        assert Counter(statuses) == {200: len(statuses)}

    # Guards against an upstream in need that gets nothing at all, or a service that is
    # refused although its upstreams would take some.
    async def test_all_limited(self, start, store):
        """If all upstreams are limited, at least half of what they take arrives."""
        limit = 5
        async with LimitedServer(limit) as one, LimitedServer(limit) as two:
            async with start([ROUTE], [one, two]) as caller:
                own = caller.entry
                async with more_entries(store, 1, 2) as entries:
                    statuses = await send_requests(caller, [own, *entries])
                caller.entry = own
        for server in (one, two):
            assert server.most_in_window() <= allowed(limit)
            assert len(server.arrivals) >= 0.5 * limit * RUN_S
        assert statuses.count(200) == len(one.arrivals) + len(two.arrivals)
        assert set(statuses) == {200, 503}

    # Guards against a jump when the upstream has just recovered.
    async def test_ended(self, start):
        """Once it names no limit, the upstream gets more and more requests again."""
        async with LimitedServer(2) as server:
            async with start([ROUTE], [server]) as caller:
                await send_requests(caller, [caller.entry], seconds=2.0)
                server.limit = None
                ended = time.monotonic()
                await send_requests(caller, [caller.entry], seconds=6.0)
                over = time.monotonic()
                statuses = await send_requests(caller, [caller.entry], seconds=1.0)
        since = [at - ended for at in server.arrivals if at > ended]
        assert sum(at <= 1.0 for at in since) <= 8
        assert set(statuses) == {200}
        in_time = sum(0.0 < at - over <= 1.0 for at in server.arrivals)
        assert in_time >= MIN_SERVED_SHARE * len(statuses)
