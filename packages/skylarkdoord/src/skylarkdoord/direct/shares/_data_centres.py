"""Decides when a request leaves its data centre, and how many may.

Demand reaches the data centres in waves that do not coincide, so one may lack room
while another has some. Moving a request costs time on the way and the bytes of the
request and its answer. Nobody knows how long the wait at home will be; a request
therefore waits there until its wait has cost its caller as much as leaving would. It
then pays at most twice what the better of both would have cost.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from skylarkdoord.direct._model import CallerRequest, UpstreamRecord

BYTES_PER_MB = 1_000_000
# Bytes of an answer for each of its tokens, with the framing of events.
ANSWER_BYTES_PER_TOKEN = 12
# Ratio of the offers that all entries together make for a remote slot to the slots
# reported as free. Above 1, as some of them are granted a slot at home meanwhile.
REMOTE_OFFER_RATIO = 2.0
# A queue elsewhere is worth joining if it is shorter than this share of those at home.
QUEUE_RATIO = 0.5
# With fewer guards than a request is offered to, a data centre is too small to queue by
# itself: its slots become free too rarely, while others are free elsewhere.
MIN_HOME_GUARDS = 6
# Reports of remote guards that are older than this say nothing about free slots.
MAX_REPORT_AGE_S = 5.0


class LeaveCosts(NamedTuple):
    """What it costs a caller that its request leaves the data centre.

    Attributes:
        distance_s: Time on the way to another data centre and back, in seconds.
        wait_per_mb_s: Wait that equals the cost of one megabyte between data centres,
            in seconds.
    """

    distance_s: float
    wait_per_mb_s: float


class GuardView(Protocol):
    """What an entry knows of a guard.

    Attributes:
        record: The guard's upstream.
        load_at: Monotonic time of the guard's latest report, in seconds.
        offers_since_report: Number of offers made since that report.
    """

    record: UpstreamRecord
    load_at: float
    offers_since_report: int

    @property
    def room(self) -> int:
        """Estimated number of free slots."""

    def ahead(self, tier: int) -> int:
        """Return how many requests of a tier or a more important one wait there."""


def moved_bytes(request: CallerRequest) -> int:
    """Return the bytes that move if a request is served in another data centre."""
    answer_tokens = request.expected_tokens or request.max_tokens
    return len(request.body) + ANSWER_BYTES_PER_TOKEN * answer_tokens


def gap(guard: GuardView, tier: int, home: Sequence[GuardView]) -> float:
    """Return how many requests of a tier gain by going to a guard elsewhere.

    These are as many as it has free slots or, if it has none, as its queue is shorter
    than half of those at home, so that two data centres that are equally full do not
    exchange load.
    """
    room = guard.room + guard.offers_since_report
    if room > 0:
        return room
    ahead_at_home = sum(other.ahead(tier) for other in home) / max(1, len(home))
    return QUEUE_RATIO * ahead_at_home - guard.ahead(tier)


class LeavePolicy:
    """Decides when requests leave a data centre, and to which guards.

    Args:
        data_centre: The data centre of this entry.
        costs: Costs of leaving; None serves requests wherever there is room.
        entries: Returns the number of entries that share the guards.
        clock: Returns monotonic time in seconds.
        draw: Returns a random number from 0 to 1.

    Attributes:
        min_home_guards: Fewest guards of a service with which a data centre is one.
    """

    def __init__(
        self,
        data_centre: str,
        costs: LeaveCosts | None,
        *,
        entries: Callable[[], int],
        clock: Callable[[], float],
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.data_centre = data_centre
        self.costs = costs
        self.entries = entries
        self.clock = clock
        self.draw = draw
        self.min_home_guards = MIN_HOME_GUARDS

    def is_home(self, record: UpstreamRecord) -> bool:
        """Return whether a request may be sent to an upstream without leaving.

        Every upstream is at home if leaving costs nothing.
        """
        return self.costs is None or record.data_centre == self.data_centre

    def patience_s(self, request: CallerRequest) -> float:
        """Return the wait at home after which a request may leave, in seconds."""
        if self.costs is None:
            return 0.0
        moved_mb = moved_bytes(request) / BYTES_PER_MB
        return self.costs.distance_s + self.costs.wait_per_mb_s * moved_mb

    def may_offer(self, guard: GuardView, tier: int, home: Sequence[GuardView]) -> bool:
        """Return whether this entry may offer a request to a guard elsewhere.

        The entries share the gap that the guard has reported, so that they do not all
        rush to it; a fraction of an offer is made with that probability.

        Args:
            guard: The guard.
            tier: Tier of the request.
            home: The guards in this data centre.
        """
        if self.clock() - guard.load_at > MAX_REPORT_AGE_S:
            return False
        wanted = REMOTE_OFFER_RATIO * gap(guard, tier, home) / max(1, self.entries())
        return self.draw() < wanted - guard.offers_since_report
