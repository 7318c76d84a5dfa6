"""Speed of engines, and which of them can finish an answer in time."""

from typing import NamedTuple

import pytest

from skylarkdoord.direct.shares._answer_speed import (
    LENGTH_MARGIN,
    MIN_SAMPLES,
    MIN_TOKENS,
    AnswerSpeed,
    fast_enough,
)


class Engine(NamedTuple):
    """An engine of known speed, or of speed 0 if it is unknown."""

    tokens_per_s: float


class TestAnswerSpeed:
    """`AnswerSpeed`."""

    def test_unknown_at_first(self):
        """The speed is unknown until there are enough answers."""
        speed = AnswerSpeed()
        for _ in range(MIN_SAMPLES - 1):
            speed.record(100, 1.0)
        assert speed.tokens_per_s == 0.0
        speed.record(100, 1.0)
        assert speed.tokens_per_s == pytest.approx(100.0)

    def test_short_answers(self):
        """Short answers, and those in no time, are left out."""
        speed = AnswerSpeed()
        for _ in range(MIN_SAMPLES):
            speed.record(MIN_TOKENS - 1, 1.0)
            speed.record(100, 0.0)
        assert speed.tokens_per_s == 0.0

    def test_engine_slows_down(self):
        """The speed follows an engine that becomes slower."""
        speed = AnswerSpeed()
        for _ in range(50):
            speed.record(100, 1.0)
        for _ in range(100):
            speed.record(100, 4.0)
        assert speed.tokens_per_s == pytest.approx(25.0, rel=0.05)


class TestFastEnough:
    """`fast_enough`."""

    FAST, SLOW, UNKNOWN = Engine(200.0), Engine(70.0), Engine(0.0)

    def chosen(self, tokens, remaining_s, engines=(FAST, SLOW, UNKNOWN)):
        """Return the engines that are fast enough."""
        return fast_enough(engines, tokens, remaining_s)

    def test_short(self):
        """All engines are fast enough for a short answer."""
        assert self.chosen(100, 10.0) == [self.FAST, self.SLOW, self.UNKNOWN]

    def test_margin(self):
        """A long answer, with its margin, goes to the fast and unknown ones."""
        slowest = 70.0 * 10.0 / LENGTH_MARGIN
        assert self.SLOW in self.chosen(int(slowest), 10.0)
        assert self.chosen(int(slowest) + 1, 10.0) == [self.FAST, self.UNKNOWN]

    @pytest.mark.parametrize("remaining_s", [1.0, 0.0, -1.0])
    def test_none_fast_enough(self, remaining_s):
        """The fastest ones are left if none can finish the answer."""
        assert self.chosen(5000, remaining_s, (self.FAST, self.SLOW)) == [self.FAST]

    def test_one_engine(self):
        """An engine is never left out if there is no faster one."""
        assert self.chosen(5000, 1.0, (self.SLOW,)) == [self.SLOW]

    def test_not_stated(self):
        """All engines are fast enough if the caller states no length."""
        assert len(self.chosen(0, 0.1)) == 3
