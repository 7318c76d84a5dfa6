"""Decisions of an entry that stops on the requests that it can still serve."""

import asyncio

import pytest

from skylarkdoord._drain import TIME_MARGIN, Drain, cut_off

DESK = "desk"


class Clock:
    """A clock that the test sets."""

    now = 1000.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def drain(clock):
    """Return the decisions of an entry that does not stop yet."""
    return Drain(clock=clock)


def can_finish(drain, *, time_limit_s=60.0, tokens=100):
    """Return whether a request that comes now can finish."""
    return drain.can_finish(DESK, drain.clock.now + time_limit_s, tokens)


def answer(drain, seconds, *, tokens=100):
    """Let requests be answered that take a time and have a length."""
    for _ in range(20):
        drain.on_answered(DESK, seconds, tokens)


class TestDrain:
    """`Drain`."""

    def test_running(self, drain, clock):
        """An entry that does not stop serves requests of any length."""
        assert can_finish(drain, time_limit_s=3600.0)

    def test_fits(self, drain, clock):
        """A request is served if answers of its route take less than what is left."""
        answer(drain, 2.0)
        drain.start(2.0 * TIME_MARGIN)
        assert can_finish(drain)
        clock.now += 0.1
        assert not can_finish(drain)

    def test_longer_answer(self, drain, clock):
        """An answer of three times the length takes three times as long."""
        answer(drain, 1.0, tokens=100)
        drain.start(3.0 * TIME_MARGIN - 0.1)
        assert can_finish(drain, tokens=200)
        assert not can_finish(drain, tokens=300)

    def test_short_time_limit(self, drain, clock):
        """A request whose time limit is over before the entry ends is served."""
        answer(drain, 10.0)
        drain.start(5.0)
        assert can_finish(drain, time_limit_s=4.9)

    def test_unknown_route(self, drain, clock):
        """Of a route without answers, a request may take its whole time limit."""
        drain.start(5.0)
        assert can_finish(drain, time_limit_s=5.0)
        assert not can_finish(drain, time_limit_s=5.1)

    def test_over(self, drain, clock):
        """Nothing can be served once the time is over."""
        answer(drain, 0.1)
        drain.start(1.0)
        clock.now += 2.0
        assert drain.remaining_s() == 0.0
        assert not can_finish(drain)


class TestCutOff:
    """`cut_off`."""

    # Guards against a stop that fails, as a request takes time to end.
    async def test_again(self):
        """A request that is slow to end is cut off once, also if it is tried again."""
        cut = asyncio.timeout(None)
        ended = asyncio.Event()

        async def slow():
            async with cut:
                try:
                    await asyncio.sleep(60)
                finally:
                    await ended.wait()

        task = asyncio.create_task(slow())
        await asyncio.sleep(0)
        for _ in range(3):
            cut_off([cut])
            await asyncio.sleep(0.01)
        ended.set()
        with pytest.raises(TimeoutError):
            await task
