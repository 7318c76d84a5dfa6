"""Tests of the engine's step loop."""

import asyncio

import pytest

from skylarkdoor_standins.engine import EngineSettings
from skylarkdoor_standins.engine._batcher import Batcher
from skylarkdoor_standins.engine._completions import CompletionRequest, make_sequence

FAST_TIME_SCALE = 10_000.0


def sequence(name: str, *, words: int = 1, max_tokens: int = 1):
    """Return a sequence whose prompt consists of words made from the name."""
    prompt = " ".join(f"{name}{index}" for index in range(words))
    request = CompletionRequest("m", prompt, max_tokens, True, False, False)
    return make_sequence(request, request_id=name)


async def read(item) -> list[str]:
    """Return all tokens of a sequence, waiting until it is finished."""
    tokens = []
    while (token := await item.next_token()) is not None:
        tokens.append(token)
    return tokens


@pytest.fixture
def batcher():
    """Return a batcher that is not running."""
    settings = EngineSettings(
        model="m", max_batch=4, time_scale=FAST_TIME_SCALE, load_lag_s=0.0
    )
    return Batcher(settings)


class TestStepTime:
    """`Batcher.step_duration_s`."""

    @pytest.fixture
    def engine(self):
        """Return a batcher whose knee is at two sequences."""
        settings = EngineSettings(
            model="m", prefill_tps=100.0, decode_tps=10.0, max_batch=4
        )
        return Batcher(settings)

    def test_shared_with_prefill(self, engine):
        """The prefill of a prompt lengthens the step of the decoding sequences."""
        assert engine.step_duration_s(50, 1) == pytest.approx(0.5 + 0.1)

    def test_knee(self, engine):
        """Beyond the knee, the step time grows with the number of sequences."""
        steps = [engine.step_duration_s(0, count) for count in (1, 2, 4)]
        assert steps == pytest.approx([0.1, 0.1, 0.2])

    def test_straggler(self, engine):
        """The slow factor of a straggler multiplies the step time."""
        engine.faults.update({"slow_factor": 3.0})
        assert engine.step_duration_s(0, 1) == pytest.approx(0.3)


class TestRun:
    """`Batcher.run`."""

    async def test_fifo(self, batcher):
        """Requests beyond the maximum batch wait and run in order of arrival."""
        items = [sequence(name, max_tokens=5) for name in "abcdefgh"]
        finished = []
        for item in items:
            batcher.submit(item)

        async def record_finish(item):
            await read(item)
            finished.append(item.request_id)

        loop = asyncio.create_task(batcher.run())
        await asyncio.gather(*(record_finish(item) for item in items))
        loop.cancel()
        assert finished == list("abcdefgh")
        assert batcher.stats.completed == 8

    async def test_cancel_waiting(self, batcher):
        """A request cancelled before it runs wastes no prompt tokens."""
        item = sequence("a", words=100)
        batcher.submit(item)
        batcher.cancel(item)
        assert batcher.stats.cancelled == 1
        assert batcher.stats.prefill_wasted == 0

    async def test_cancel_finished(self, batcher):
        """Cancelling a finished request has no effect."""
        item = sequence("a")
        batcher.submit(item)
        loop = asyncio.create_task(batcher.run())
        await read(item)
        loop.cancel()
        batcher.cancel(item)
        assert (batcher.stats.completed, batcher.stats.cancelled) == (1, 0)

    async def test_long_prompt(self, batcher):
        """A prompt longer than the prefill limit of a step takes several steps."""
        item = sequence("a", words=2000, max_tokens=3)
        batcher.submit(item)
        loop = asyncio.create_task(batcher.run())
        assert len(await read(item)) == 3
        loop.cancel()
        assert batcher.stats.prefill_computed == 2000
