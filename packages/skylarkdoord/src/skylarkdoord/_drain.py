"""Decides which requests an entry that stops can still serve."""

import asyncio
import time
from collections.abc import Callable, Iterable

from skylarkdoord._moving_mean import MovingMean

# An answer may take this many times as long as answers of its route and length do.
TIME_MARGIN = 1.5


def cut_off(cuts: Iterable[asyncio.Timeout]) -> None:
    """Let timeouts expire now, but for those that have expired already."""
    now = asyncio.get_running_loop().time()
    for cut in cuts:
        if not cut.expired():
            cut.reschedule(now)


class AnswerTimes:
    """Mean time and length of the answers of one kind of request.

    Attributes:
        seconds: Time from the receipt of a request to the end of its answer.
        tokens: Tokens that callers expected in the answers.
    """

    def __init__(self) -> None:
        self.seconds = MovingMean()
        self.tokens = MovingMean()

    def add(self, seconds: float, tokens: int) -> None:
        """Include a complete answer."""
        self.seconds.add(seconds)
        self.tokens.add(tokens)

    def expected_s(self, tokens: int) -> float:
        """Return the time that an answer of a number of tokens may take, in seconds."""
        ratio = tokens / self.tokens.value if self.tokens.value else 1.0
        return TIME_MARGIN * self.seconds.value * max(1.0, ratio)


class Drain:
    """The end of an entry, and whether a request can be answered before it.

    Args:
        clock: Returns the monotonic time, in seconds.

    Attributes:
        ends_at: Monotonic time at which requests are cut off, in seconds; None unless
            the entry stops.
        times: Times of answers, by kind of request.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.ends_at: float | None = None
        self.times: dict[str, AnswerTimes] = {}

    @property
    def is_draining(self) -> bool:
        """Whether the entry stops."""
        return self.ends_at is not None

    def start(self, timeout_s: float) -> None:
        """Begin to drain; requests are cut off after the timeout, in seconds."""
        self.ends_at = self.clock() + timeout_s

    def on_answered(self, kind: str, seconds: float, tokens: int = 0) -> None:
        """Learn from an answer.

        Args:
            kind: Kind of the request.
            seconds: Time from its receipt to the end of its answer.
            tokens: Tokens that the caller expected; 0 if not stated.
        """
        self.times.setdefault(kind, AnswerTimes()).add(seconds, tokens)

    def remaining_s(self) -> float:
        """Return the time until requests are cut off, in seconds; at least 0."""
        return max(0.0, (self.ends_at or 0.0) - self.clock())

    def can_finish(self, kind: str, deadline: float, tokens: int = 0) -> bool:
        """Return whether a request that is sent now is likely to end in time.

        If no answer of its kind is known, its whole time limit counts.

        Args:
            kind: Kind of the request.
            deadline: Monotonic time at which it times out, in seconds.
            tokens: Tokens that the caller expects; 0 if not stated.
        """
        if self.ends_at is None or deadline <= self.ends_at:
            return True
        times = self.times.get(kind)
        if times is None:
            return False
        return times.expected_s(tokens) <= self.remaining_s()
