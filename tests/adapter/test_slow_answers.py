"""Tests of answers that come slowly, in small pieces, or twice."""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from ._standins import Server, chunk, event, reply, route, signed, stream

STREAM = route(routeType="streaming", maxAttempts=1)
RESUMABLE = route(routeType="streaming", streamResume=True, maxAttempts=2)
# Time within which a request ends after its route's timeout, in seconds.
MARGIN_S = 0.5


def drip(numbers):
    """Return a script that sends events, then single bytes of one without an end."""

    async def script(request, writer):
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(signed(request, *fields))
        for number in numbers:
            writer.write(chunk(event(number)))
        while True:
            writer.write(chunk(b"d"))
            await writer.drain()
            await asyncio.sleep(0.05)

    return script


class TestSlowStreams:
    """Streams that are slow, and streams that only look alive."""

    # Guards against slow but sound streams that are cut.
    async def test_sound(self, start):
        """A stream with long pauses is passed on to its end."""
        numbers = range(1, 5)
        async with Server(stream(numbers, pause_s=0.6)) as server:
            async with start([STREAM], [server]) as caller:
                _, _, body = await caller.get()
        assert body == b"".join(map(event, numbers))

    # Guards against stalled streams that never end as a byte comes now and then.
    async def test_stalled(self, start):
        """A stream that sends bytes but no event is cut at the route's timeout."""
        short = STREAM | {"timeoutMs": 1000}
        async with Server(drip([1, 2])) as server:
            async with start([short], [server]) as caller:
                began = time.monotonic()
                with pytest.raises(aiohttp.ClientPayloadError):
                    await caller.get()
                assert time.monotonic() - began < 1.0 + MARGIN_S
                async with asyncio.timeout(MARGIN_S):
                    await server.closed.wait()

    async def test_stalled_before_first_event(self, start):
        """Where it may run again, another server takes over in time."""
        dripping = drip([])

        async def drip_once(request, writer):
            is_first = len(one.requests) + len(two.requests) == 1
            script = dripping if is_first else stream(range(1, 4))
            await script(request, writer)

        async with Server(drip_once) as one, Server(drip_once) as two:
            async with start([RESUMABLE], [one, two]) as caller:
                _, _, body = await caller.get()
        assert body == b"".join(map(event, range(1, 4)))


class TestSecondCopies:
    """Servers that send an answer a second time, late."""

    # Guards against a second copy that reaches the next caller of the connection.
    async def test_late_copy(self, start):
        """The requests that follow get their own answers."""
        count = 10

        async def twice(request, writer):
            answer = reply(request.target.encode())
            await answer(request, writer)
            await asyncio.sleep(0.05)
            with contextlib.suppress(ConnectionError):
                await answer(request, writer)

        async with Server(twice) as server:
            async with start([route()], [server]) as caller:
                for number in range(count):
                    target = f"/desk/{number}"
                    status, _, body = await caller.get(target)
                    assert (status, body) == (200, target.encode())
                    await asyncio.sleep(0.03)
        assert len(server.requests) == count
