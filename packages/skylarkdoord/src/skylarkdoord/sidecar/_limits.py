"""Adapts the limit of concurrent requests to the upstream's measured latency."""

import statistics
import time
from collections import deque
from typing import NamedTuple

WINDOW_GAPS = 128
WINDOW_FIRST_TOKENS = 16
MIN_GAPS = 16
MIN_FIRST_TOKENS = 4
ADAPT_INTERVAL_S = 0.5
DECREASE_FACTOR = 0.85
GAP_TOLERANCE_FACTOR = 1.15
# Allowed time between tokens relative to an upstream with few requests.
UNLOADED_FACTOR = 1.25
# Late first tokens alone don't lower the limit below this share of its upper bound.
MIN_LATE_LIMIT_SHARE = 0.5


class Targets(NamedTuple):
    """Latency targets.

    Attributes:
        first_token_s: Time to first token without the own prompt's prefill, in
            seconds.
        inter_token_s: Time between tokens, in seconds.
    """

    first_token_s: float
    inter_token_s: float


class AdaptiveLimit:
    """Concurrency limit with additive increase and multiplicative decrease.

    The medians of recent times are compared with the targets, because prefill of
    another request stretches single gaps between tokens whatever the limit is.
    The target for the time between tokens is relaxed if the upstream misses it
    even with few requests, since a lower limit would not help. Late first tokens
    alone don't lower the limit below `MIN_LATE_LIMIT_SHARE` of the upper bound:
    with few requests the upstream can't fill its batch, and a long prompt delays
    others at any limit.

    Args:
        value: Initial limit and upper bound.
    """

    def __init__(self, value: int) -> None:
        self.exact = float(value)
        self.lower_bound = 1
        self.upper_bound = value
        self.gaps: deque[float] = deque(maxlen=WINDOW_GAPS)
        self.first_token_waits: deque[float] = deque(maxlen=WINDOW_FIRST_TOKENS)
        self.adapted_at = 0.0

    @property
    def value(self) -> int:
        """The current limit."""
        return int(self.exact)

    def configure(self, *, lower_bound: int, upper_bound: int) -> None:
        """Set the bounds; a changed upper bound resets the limit to that bound."""
        if upper_bound != self.upper_bound:
            self.exact = float(upper_bound)
        self.lower_bound = min(lower_bound, upper_bound)
        self.upper_bound = upper_bound
        self.exact = min(
            float(self.upper_bound), max(float(self.lower_bound), self.exact)
        )

    def gap_s(self) -> float | None:
        """Return the median time between tokens, None with too few samples."""
        if len(self.gaps) < MIN_GAPS:
            return None
        return statistics.median(self.gaps)

    def first_token_wait_s(self) -> float | None:
        """Return the median time to first token without the own prompt's prefill.

        It is None with too few samples.
        """
        if len(self.first_token_waits) < MIN_FIRST_TOKENS:
            return None
        return statistics.median(self.first_token_waits)

    def adapt(self, targets: Targets, *, unloaded_gap_s: float, running: int) -> bool:
        """Adjust the limit to the samples since the last adjustment.

        Args:
            targets: Latency targets.
            unloaded_gap_s: Time between tokens with few requests, in seconds.
            running: Number of requests granted or in the upstream.

        Returns:
            Whether the limit changed.
        """
        now = time.monotonic()
        gap_s, first_token_wait_s = self.gap_s(), self.first_token_wait_s()
        if now - self.adapted_at < ADAPT_INTERVAL_S or (
            gap_s is None and first_token_wait_s is None
        ):
            return False
        before = self.value
        inter_token_s = max(targets.inter_token_s, UNLOADED_FACTOR * unloaded_gap_s)
        slow = (gap_s or 0.0) > GAP_TOLERANCE_FACTOR * inter_token_s
        late = (first_token_wait_s or 0.0) > targets.first_token_s
        lower_bound = (
            self.lower_bound
            if slow
            else max(self.lower_bound, int(MIN_LATE_LIMIT_SHARE * self.upper_bound))
        )
        if slow or (late and self.value > lower_bound):
            # The samples reflect the requests that run now, so the decrease starts
            # from their number if the limit is higher.
            reached = min(self.exact, float(max(running, lower_bound)))
            self.exact = max(float(lower_bound), reached * DECREASE_FACTOR)
            self._clear_samples(now)
        elif running >= self.value and (gap_s or 0.0) <= inter_token_s:
            self.exact = min(float(self.upper_bound), self.exact + 1)
            self._clear_samples(now)
        return self.value != before

    def _clear_samples(self, now: float) -> None:
        self.gaps.clear()
        self.first_token_waits.clear()
        self.adapted_at = now
