"""Tests of requests that crash servers by one part of their prompts."""

import asyncio
import contextlib
import itertools
import time

import aiohttp
import pytest

from ._restarting import RestartingServer
from ._standins import Entry, route, stream

SERVERS = 8
STREAM = route(
    routeType="streaming", streamResume=False, maxAttempts=1, sessionAffinity=True
)
# Part that crashes each server, and a part that sound requests have as well.
BAD, SHARED = "bad0", "5a1e"
# Crashes after which, and time within which, the part has to be known; sends accepted
# after that.
CRASHES = 5
CONTACT_S = 3.0
MAX_SENDS_AFTER = 3
BAD_INTERVAL_S = 0.25
SOUND_FOR_EACH = 4
PHASE_S = 5.0
MIN_SERVED_SHARE = 0.9


class EngineServer(RestartingServer):
    """A server that crashes with one part of a prompt and answers all others."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.bad_sends = []

    async def crash(self, request, writer):
        """Crash if a part of the prompt is bad; otherwise send a stream."""
        if BAD not in request.header("Prefix-Hash")[0]:
            await stream(range(1, 6), pause_s=0.02)(request, writer)
            return
        self.bad_sends.append(time.monotonic())
        if self.server.is_serving():
            await super().crash(request, writer)


class Load:
    """Bad and sound requests, spread over entries.

    Attributes:
        outcomes: Time and success of each sound request.
    """

    def __init__(self, caller, entries):
        self.caller = caller
        self.entries = itertools.cycle(entries)
        self.numbers = itertools.count()
        self.outcomes = []
        self.tasks = []

    async def send(self, *shared):
        """Send a request with these parts and one of its own; return its success."""
        number = next(self.numbers)
        parts = [*shared, f"{number:x}"]
        headers = {
            "Attempt-Id": f"a{number}",
            "Prefix-Hash": ",".join(f"{part}:60" for part in parts),
        }
        url = f"{next(self.entries).url}/desk/{number}"
        headers |= {"Host": "desk.example", "Deadline-Ms": "3000"}
        with contextlib.suppress(aiohttp.ClientError):
            async with self.caller.session.post(url, headers=headers) as response:
                await response.read()
                return response.status == 200
        return False

    async def send_sound(self, item):
        """Send a sound request and record its outcome."""
        sent_at = time.monotonic()
        is_served = await self.send(SHARED, item)
        self.outcomes.append((sent_at, is_served))

    async def run(self, bad_parts, until):
        """Send both kinds of requests until a monotonic time, in seconds."""
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until():
                tasks.create_task(self.send(*bad_parts))
                for number in range(SOUND_FOR_EACH):
                    tasks.create_task(self.send_sound(f"{number:x}"))
                    await asyncio.sleep(BAD_INTERVAL_S / SOUND_FOR_EACH)


class TestCrashingParts:
    """One part of a prompt that crashes each server which runs it."""

    # Guards against the report: requests that no other resembles but for one part crash
    # server after server.
    @pytest.mark.parametrize("has_new_id", [True, False], ids=["new-id", "same-id"])
    @pytest.mark.parametrize(
        ("entries", "bad_parts", "begin"),
        [
            pytest.param(1, (SHARED, BAD), None, id="no-bytes"),
            pytest.param(1, (BAD,), stream((), is_cut=True), id="head"),
            pytest.param(
                3, (SHARED, BAD), stream((1,), is_cut=True), id="event-3-entries"
            ),
        ],
    )
    async def test_unlike_requests(
        self, start, store, entries, bad_parts, begin, has_new_id
    ):
        """The part is refused in time, and the requests without it are served."""
        async with contextlib.AsyncExitStack() as stack:
            options = {"down_s": 1.5, "has_new_id": has_new_id, "begin": begin}
            servers = [
                await stack.enter_async_context(
                    EngineServer(store, f"engine-{number}", **options)
                )
                for number in range(SERVERS)
            ]
            caller = await stack.enter_async_context(start([STREAM], []))
            running = [caller.entry] + [
                await stack.enter_async_context(Entry(store, f"edge-{number}"))
                for number in range(2, entries + 1)
            ]
            for entry in running:
                await entry.until_serving(SERVERS)

            def sends():
                return sorted(at for server in servers for at in server.bad_sends)

            def known_at():
                """Return when the part has to be known, a monotonic time."""
                if len(sends()) < CRASHES:
                    return time.monotonic() + CONTACT_S
                return sends()[CRASHES - 1] + CONTACT_S

            load = Load(caller, running)
            await load.run(bad_parts, lambda: known_at() + PHASE_S)
            late = [at for at in sends() if at > known_at()]
            served = [ok for sent_at, ok in load.outcomes if sent_at > known_at()]
        assert len(late) <= MAX_SENDS_AFTER
        assert sum(served) >= MIN_SERVED_SHARE * len(served)
