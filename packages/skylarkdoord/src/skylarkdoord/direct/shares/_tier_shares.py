"""Promotion of requests of a starved tier.

Answers the load in which more important tiers take all slots, so that the requests of a
less important tier are hardly ever served. Tiers stay strict apart from as many
promoted requests as bring the served share of the starved tier back to the configured
ratio of its service's.
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from skylarkdoord.direct._model import Precedence

# Time for which the end of a request counts.
TIER_WINDOW_S = 10.0
# Ends of requests are counted, and forgotten, in intervals of this length.
INTERVAL_S = 0.5
# Shortfall from which long requests are promoted too, in requests. Short requests are
# promoted as soon as there is a shortfall, so it grows this large only if there are not
# enough of them.
LONG_SHORTFALL = 2.0


@dataclass
class TierCounts:
    """Requests that ended, by whether they got a slot.

    Attributes:
        ended: Number of requests that got a slot or stopped waiting.
        served: Number of these that got a slot.
    """

    ended: int = 0
    served: int = 0

    def add(self, ended: int, served: int) -> None:
        """Add to both numbers; negative numbers subtract."""
        self.ended += ended
        self.served += served

    @property
    def share(self) -> float:
        """Share of the requests that got a slot, from 0 to 1."""
        return self.served / self.ended if self.ended else 1.0


@dataclass
class Interval:
    """Requests that ended within `INTERVAL_S`.

    Attributes:
        since: Monotonic time of its start, in seconds.
        tiers: Counts by tier.
    """

    since: float
    tiers: dict[int, TierCounts] = field(default_factory=dict)


class TierShares:
    """Counts how often each tier of a service is served, and promotes requests.

    Args:
        min_ratio: Lowest ratio of a tier's served share to that of the service.
        clock: Returns monotonic time in seconds.

    Attributes:
        total: Counts of the whole service within the window.
        tiers: Counts by tier within the window.
        promoted: Number of promoted requests that wait, by tier.
    """

    def __init__(
        self, min_ratio: float, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.min_ratio = min_ratio
        self.clock = clock
        self.total = TierCounts()
        self.tiers: dict[int, TierCounts] = {}
        self.promoted: dict[int, int] = {}
        self.intervals: deque[Interval] = deque()

    def promote(self, precedence: Precedence, *, is_long: bool = False) -> Precedence:
        """Return the precedence with which a new request is offered.

        It is that of the most important tier if the request's own tier is starved and
        the request can still meet its target. A promoted request counts as waiting
        until `record` is called for it.

        Args:
            precedence: The request's own precedence.
            is_long: Whether its answer is long for its tier.
        """
        self.drop_old()
        top = min(self.tiers, default=precedence.tier)
        if precedence.is_late or precedence.tier <= top:
            return precedence
        shortfall = self.shortfall(precedence.tier)
        if shortfall <= 0 or (is_long and shortfall < LONG_SHORTFALL):
            return precedence
        self.promoted[precedence.tier] = self.promoted.get(precedence.tier, 0) + 1
        return Precedence(top)

    def shortfall(self, tier: int) -> float:
        """Return how many more requests of a tier have to be served.

        Promoted requests that still wait count as served.
        """
        counts = self.tiers.get(tier)
        if counts is None:
            return 0.0
        due = self.min_ratio * self.total.share * counts.ended
        return due - counts.served - self.promoted.get(tier, 0)

    def record(self, tier: int, *, is_served: bool, is_promoted: bool) -> None:
        """Record the end of a request's wait.

        Args:
            tier: Tier of the request itself.
            is_served: Whether it got a slot.
            is_promoted: Whether it was promoted.
        """
        self.drop_old()
        if is_promoted:
            self.promoted[tier] -= 1
        now = self.clock()
        if not self.intervals or now - self.intervals[-1].since >= INTERVAL_S:
            self.intervals.append(Interval(now))
        latest = self.intervals[-1].tiers.setdefault(tier, TierCounts())
        for counts in (latest, self.tiers.setdefault(tier, TierCounts()), self.total):
            counts.add(1, int(is_served))

    def drop_old(self) -> None:
        """Forget the intervals that ended before the window."""
        oldest = self.clock() - TIER_WINDOW_S
        while self.intervals and self.intervals[0].since <= oldest - INTERVAL_S:
            for tier, counts in self.intervals.popleft().tiers.items():
                self.total.add(-counts.ended, -counts.served)
                self.tiers[tier].add(-counts.ended, -counts.served)
                if not self.tiers[tier].ended:
                    del self.tiers[tier]
