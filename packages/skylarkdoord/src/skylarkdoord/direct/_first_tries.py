"""Tells callers that try for the first time from those that come back.

What is left of a caller's time shows how long it has waited already, if its own
limit is known. Callers' limits differ, also from the route's. A caller that comes
back does so on a new connection, so a request on one that was used before is a first
try: these show the limits that callers have.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from skylarkdoord.direct._model import CallerRequest, Route

# First tries from which the limits of a route's callers are learned.
SAMPLES = 64
# Fewer than this say nothing yet.
MIN_SAMPLES = 8
# Until then, callers with at least this share of the route's timeout left are taken
# to try for the first time.
USUAL_SHARE = 0.8
# Callers' limits may lie outside of what was seen by this share of its width.
UNSEEN_SHARE = 0.25


class Limits(NamedTuple):
    """How long callers wait in all.

    Attributes:
        least_s: The shortest limit, in seconds.
        usual_s: The mean, in seconds.
    """

    least_s: float
    usual_s: float


def limits_of(samples: Iterable[float]) -> Limits:
    """Return the limits that first tries show."""
    seen = list(samples)
    low, high = min(seen), max(seen)
    return Limits(low - UNSEEN_SHARE * (high - low), sum(seen) / len(seen))


class FirstTries:
    """Learns the limits of each route's callers.

    Attributes:
        samples: What first tries had left, in seconds, by route.
    """

    def __init__(self) -> None:
        self.samples: dict[str, deque[float]] = {}

    def waited_s(self, request: CallerRequest, route: Route) -> float:
        """Return how long a caller has waited since its first try, in seconds."""
        left_s = request.deadline - request.received
        limits = self.limits(route)
        if request.is_kept:
            self.samples[route.name].append(left_s)
        if request.is_kept or left_s >= limits.least_s:
            return 0.0
        return max(0.0, limits.usual_s - left_s)

    def limits(self, route: Route) -> Limits:
        """Return the limits of a route's callers."""
        samples = self.samples.setdefault(route.name, deque(maxlen=SAMPLES))
        if len(samples) < MIN_SAMPLES:
            return Limits(USUAL_SHARE * route.timeout_s, route.timeout_s)
        return limits_of(samples)
