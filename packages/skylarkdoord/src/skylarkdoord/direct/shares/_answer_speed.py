"""How fast engines produce answers, and which of them can finish an answer in time.

Answers the load in which engines of one service differ in speed, and answers in length,
so that the slower engines can't finish the longest answers within their callers' time
limits: such an answer would hold a slot until then, for nothing.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

# Shorter answers say little of the speed, as reading the prompt takes most of the time.
MIN_TOKENS = 32
# Weight that earlier answers keep when one is added.
SAMPLE_DECAY = 0.95
# Number of answers from which on the speed is stated.
MIN_SAMPLES = 2
# An answer may be this many times as long as its caller expects.
LENGTH_MARGIN = 1.5
MIN_REMAINING_S = 0.001
# If no engine is fast enough, those with this share of the highest speed are used.
FASTEST_SHARE = 0.8


class AnswerSpeed:
    """Speed of one engine, from the answers that it completed.

    Attributes:
        tokens: Expected tokens of the answers, those of earlier ones decayed.
        seconds: Time for which they held their slots, decayed alike.
        samples: Number of answers.
    """

    def __init__(self) -> None:
        self.tokens = 0.0
        self.seconds = 0.0
        self.samples = 0

    def record(self, tokens: int, held_s: float) -> None:
        """Record a complete answer.

        Args:
            tokens: Tokens that its caller expected.
            held_s: Time for which it held its slot, in seconds.
        """
        if tokens < MIN_TOKENS or held_s <= 0.0:
            return
        self.tokens = SAMPLE_DECAY * self.tokens + tokens
        self.seconds = SAMPLE_DECAY * self.seconds + held_s
        self.samples += 1

    @property
    def tokens_per_s(self) -> float:
        """Tokens of one answer per second; 0 if unknown."""
        if self.samples < MIN_SAMPLES:
            return 0.0
        return self.tokens / self.seconds


class Engine(Protocol):
    """An engine whose speed may be known."""

    @property
    def tokens_per_s(self) -> float:
        """Tokens of one answer per second; 0 if unknown."""


EngineT = TypeVar("EngineT", bound=Engine)


def fast_enough(
    engines: Sequence[EngineT], tokens: int, remaining_s: float
) -> list[EngineT]:
    """Return the engines that can finish an answer in time, or else the fastest ones.

    Engines of unknown speed count as fast enough.

    Args:
        engines: The engines to choose from.
        tokens: Tokens that the caller expects in the answer; 0 if unknown.
        remaining_s: Time until the request times out, in seconds.
    """
    if not tokens:
        return list(engines)
    needed = LENGTH_MARGIN * tokens / max(remaining_s, MIN_REMAINING_S)
    highest = max((engine.tokens_per_s for engine in engines), default=0.0)
    needed = min(needed, FASTEST_SHARE * highest)
    return [
        engine
        for engine in engines
        if not engine.tokens_per_s or engine.tokens_per_s >= needed
    ]
