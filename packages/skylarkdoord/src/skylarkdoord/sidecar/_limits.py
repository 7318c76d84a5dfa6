"""Adapts the number of requests inside the upstream to its measured times."""

import statistics
import time
from collections import deque
from typing import NamedTuple

WINDOW_GAPS = 128
WINDOW_FIRSTS = 16
LEAST_GAPS = 16
LEAST_FIRSTS = 4
ADAPT_INTERVAL_S = 0.5
DECREASE_FACTOR = 0.85
TOLERANCE = 1.15
ALONE_FACTOR = 1.25
LATE_SHARE = 0.5


class Targets(NamedTuple):
    """Times to keep.

    Attributes:
        first_token_s: Time to the first token besides the own prompt, in seconds.
        inter_token_s: Time between tokens, in seconds.
    """

    first_token_s: float
    inter_token_s: float


class AdaptiveLimit:
    """Additive increase, multiplicative decrease between two bounds.

    The medians of recent times are compared with the targets: a prompt that
    another request has computed stretches single gaps, and no limit helps
    against that. A time that the upstream doesn't keep with few requests
    either is no reason to go lower. Late first tokens alone lower the limit to
    `LATE_SHARE` of the upper bound at most: few requests keep the upstream
    from using its batch, and a long prompt delays others at any limit.

    Args:
        value: The limit at the start.
    """

    def __init__(self, value: int) -> None:
        self.exact = float(value)
        self.least = 1
        self.most = value
        self.gaps: deque[float] = deque(maxlen=WINDOW_GAPS)
        self.firsts: deque[float] = deque(maxlen=WINDOW_FIRSTS)
        self.adapted_at = 0.0

    @property
    def value(self) -> int:
        """The limit in force."""
        return int(self.exact)

    def configure(self, *, least: int, most: int) -> None:
        """Take over the bounds; a new upper bound is where the limit starts."""
        if most != self.most:
            self.exact = float(most)
        self.least = min(least, most)
        self.most = most
        self.exact = min(float(self.most), max(float(self.least), self.exact))

    def gap_s(self) -> float | None:
        """Return the median time between tokens, None if too few are known."""
        if len(self.gaps) < LEAST_GAPS:
            return None
        return statistics.median(self.gaps)

    def first_s(self) -> float | None:
        """Return the median wait for the first token besides the own prompt."""
        if len(self.firsts) < LEAST_FIRSTS:
            return None
        return statistics.median(self.firsts)

    def adapt(self, targets: Targets, *, alone_s: float, running: int) -> bool:
        """Move the limit by what was measured since the last move.

        Args:
            targets: Times to keep.
            alone_s: Time between tokens that the upstream has with few requests.
            running: Requests inside the upstream.

        Returns:
            Whether the limit moved.
        """
        now = time.monotonic()
        gap_s, first_s = self.gap_s(), self.first_s()
        if now - self.adapted_at < ADAPT_INTERVAL_S or (
            gap_s is None and first_s is None
        ):
            return False
        before = self.value
        inter_token_s = max(targets.inter_token_s, ALONE_FACTOR * alone_s)
        slow = (gap_s or 0.0) > TOLERANCE * inter_token_s
        late = (first_s or 0.0) > targets.first_token_s
        least = self.least if slow else max(self.least, int(LATE_SHARE * self.most))
        if slow or (late and self.value > least):
            # What runs now is what was measured; a limit far above it is void.
            reached = min(self.exact, float(max(running, least)))
            self.exact = max(float(least), reached * DECREASE_FACTOR)
            self._forget(now)
        elif running >= self.value and (gap_s or 0.0) <= inter_token_s:
            self.exact = min(float(self.most), self.exact + 1)
            self._forget(now)
        return self.value != before

    def _forget(self, now: float) -> None:
        self.gaps.clear()
        self.firsts.clear()
        self.adapted_at = now
