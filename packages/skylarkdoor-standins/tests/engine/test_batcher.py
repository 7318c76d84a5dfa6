"""The engine's step loop."""

import asyncio

import pytest

from skylarkdoor_standins.engine import EngineSettings
from skylarkdoor_standins.engine._batcher import Batcher
from skylarkdoor_standins.engine._completions import CompletionRequest, make_sequence

FAST = 10_000.0


def sequence(name: str, *, words: int = 1, max_tokens: int = 1):
    """Return a sequence of its own prompt."""
    prompt = " ".join(f"{name}{index}" for index in range(words))
    request = CompletionRequest("m", prompt, max_tokens, True, False, False)
    return make_sequence(request, request_id=name)


async def read(item) -> list[str]:
    """Return a sequence's tokens once the last has come."""
    tokens = []
    while (token := await item.next_token()) is not None:
        tokens.append(token)
    return tokens


@pytest.fixture
def batcher():
    """Return a batcher that is not run yet."""
    settings = EngineSettings(model="m", max_batch=4, time_scale=FAST, load_lag_s=0.0)
    return Batcher(settings)


class TestStepTime:
    """`Batcher.step_s`."""

    @pytest.fixture
    def engine(self):
        """Return a batcher whose knee is at two sequences."""
        settings = EngineSettings(
            model="m", prefill_tps=100.0, decode_tps=10.0, max_batch=4
        )
        return Batcher(settings)

    def test_shared_with_prefill(self, engine):
        """Prompt work slows down those that decode."""
        assert engine.step_s(50, 1) == pytest.approx(0.5 + 0.1)

    def test_knee(self, engine):
        """Beyond the knee each sequence more slows every one down."""
        steps = [engine.step_s(0, count) for count in (1, 2, 4)]
        assert steps == pytest.approx([0.1, 0.1, 0.2])

    def test_straggler(self, engine):
        """A straggler takes longer by its factor."""
        engine.faults.update({"slow_factor": 3.0})
        assert engine.step_s(0, 1) == pytest.approx(0.3)


class TestRun:
    """`Batcher.run`."""

    async def test_first_come(self, batcher):
        """Requests over the largest batch wait in their order."""
        items = [sequence(name, max_tokens=5) for name in "abcdefgh"]
        ended = []
        for item in items:
            batcher.submit(item)

        async def follow(item):
            await read(item)
            ended.append(item.request_id)

        loop = asyncio.create_task(batcher.run())
        await asyncio.gather(*(follow(item) for item in items))
        loop.cancel()
        assert ended == list("abcdefgh")
        assert batcher.stats.completed == 8

    async def test_cancel_waiting(self, batcher):
        """A request dropped before it ran wastes nothing."""
        item = sequence("a", words=100)
        batcher.submit(item)
        batcher.cancel(item)
        assert batcher.stats.cancelled == 1
        assert batcher.stats.prefill_wasted == 0

    async def test_cancel_finished(self, batcher):
        """Dropping a finished request changes nothing."""
        item = sequence("a")
        batcher.submit(item)
        loop = asyncio.create_task(batcher.run())
        await read(item)
        loop.cancel()
        batcher.cancel(item)
        assert (batcher.stats.completed, batcher.stats.cancelled) == (1, 0)

    async def test_long_prompt(self, batcher):
        """A prompt longer than a step's share is computed over several steps."""
        item = sequence("a", words=2000, max_tokens=3)
        batcher.submit(item)
        loop = asyncio.create_task(batcher.run())
        assert len(await read(item)) == 3
        loop.cancel()
        assert batcher.stats.prefill_computed == 2000
