"""Estimation of how long a caller has waited since its first attempt.

The time that a caller has left shows how long it has waited, provided that its total
time limit is known. Limits differ between callers and from the route's timeout. They
are learned from first attempts. Callers retry on a new connection, so a request on a
reused connection is a first attempt.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from skylarkdoord.direct._model import CallerRequest, Route

# Number of first attempts per route from which the callers' limits are estimated.
MAX_SAMPLES = 64
# Smallest number of samples for an estimate.
MIN_SAMPLES = 8
# Until then, a request with at least this share of the route's timeout left counts as a
# first attempt.
DEFAULT_MIN_SHARE = 0.8
# Margin below the observed limits, as a share of their range, since some callers may
# have shorter limits.
RANGE_MARGIN_SHARE = 0.25


class CallerLimits(NamedTuple):
    """Total time limits of a route's callers.

    Attributes:
        min_s: Shortest limit, in seconds.
        mean_s: Mean limit, in seconds.
    """

    min_s: float
    mean_s: float


def estimate_limits(samples: Iterable[float]) -> CallerLimits:
    """Return the limits estimated from the time left at first attempts, in seconds."""
    seen = list(samples)
    low, high = min(seen), max(seen)
    return CallerLimits(low - RANGE_MARGIN_SHARE * (high - low), sum(seen) / len(seen))


class FirstAttempts:
    """Estimates the time limits of each route's callers.

    Attributes:
        samples: Time that first attempts had left, in seconds, by route.
    """

    def __init__(self) -> None:
        self.samples: dict[str, deque[float]] = {}

    def waited_s(self, request: CallerRequest, route: Route) -> float:
        """Return how long a caller has waited since its first attempt, in seconds."""
        remaining_s = request.deadline - request.received
        limits = self.limits(route)
        if request.is_connection_reused:
            self.samples[route.name].append(remaining_s)
        if request.is_connection_reused or remaining_s >= limits.min_s:
            return 0.0
        return max(0.0, limits.mean_s - remaining_s)

    def limits(self, route: Route) -> CallerLimits:
        """Return the estimated limits of a route's callers."""
        samples = self.samples.setdefault(route.name, deque(maxlen=MAX_SAMPLES))
        if len(samples) < MIN_SAMPLES:
            return CallerLimits(DEFAULT_MIN_SHARE * route.timeout_s, route.timeout_s)
        return estimate_limits(samples)
