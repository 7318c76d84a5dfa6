"""Tests of servers that want nothing for a time."""

import asyncio
import time

import pytest

from ._standins import Server, head, reply, route

ROUTE = route(maxAttempts=2)
# Time after the answer from which the server gets no more than the users accept.
SETTLE_S = 0.5
MAX_REQUESTS_AFTER = 2
PAUSE_S = 2.0


def turn_away(value, *, is_run=False, times=1):
    """Return a script that turns requests away with 503, and then answers.

    Args:
        value: Value of `Retry-After`.
        is_run: Whether the server does not state that it did not run the request.
        times: Requests that it turns away.
    """
    left = [times]

    async def script(request, writer):
        if not left[0]:
            await reply()(request, writer)
            return
        left[0] -= 1
        stated = ("Server-Signature: 3e1b.07",) if is_run else ("Not-Executed: 1",)
        fields = (*stated, f"Retry-After: {value}", "Content-Length: 0")
        writer.write(head(request, *fields, status="503 Service Unavailable"))

    return script


class TestPause:
    """`Retry-After` of an answer with 503."""

    # Guards against requests that reach a server while it wants nothing.
    @pytest.mark.parametrize("is_run", [False, True])
    async def test_nothing_sent(self, start, is_run):
        """The server gets nothing until the time has passed, then requests again."""
        pausing = Server(turn_away(PAUSE_S, is_run=is_run))
        async with pausing, Server(reply()) as other:
            async with start([ROUTE], [pausing, other]) as caller:
                while not pausing.requests:
                    await asyncio.gather(*(caller.get() for _ in range(6)))
                paused_at = time.monotonic()
                reached = None
                while time.monotonic() < paused_at + PAUSE_S - 0.2:
                    await asyncio.gather(*(caller.get() for _ in range(6)))
                    if reached is None and time.monotonic() > paused_at + SETTLE_S:
                        reached = len(pausing.requests)
                assert len(pausing.requests) - reached <= MAX_REQUESTS_AFTER
                reached = len(pausing.requests)
                while len(pausing.requests) == reached:
                    await asyncio.gather(*(caller.get() for _ in range(6)))

    async def test_all_pause(self, start):
        """If no server wants anything, a request is refused with the time left."""
        async with Server(turn_away(PAUSE_S)) as server:
            async with start([ROUTE], [server]) as caller:
                await caller.get()
                began = time.monotonic()
                status, headers, _ = await caller.get()
                assert time.monotonic() - began < 0.5
                assert status == 503
                assert 0.5 * PAUSE_S < float(headers["Retry-After"]) <= PAUSE_S
                await asyncio.sleep(float(headers["Retry-After"]) + 0.1)
                assert (await caller.get())[0] == 200

    @pytest.mark.parametrize("value", ["", "-1", "inf", "nan", "soon", "²"])
    async def test_malformed(self, start, value):
        """A time that can't be read changes nothing."""
        async with Server(turn_away(value)) as server:
            async with start([ROUTE], [server]) as caller:
                await caller.get()
                await asyncio.sleep(0.3)
                assert (await caller.get())[0] == 200
