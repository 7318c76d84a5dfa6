"""Order of waiting requests in which customers share the slots by their weights.

Answers the load in which some customers ask for more than the slots that there are.
Within one precedence, customers are served by start-time fair queueing, and are charged
the time for which their requests hold slots. Each precedence has virtual times of its
own: the more important one takes what it needs, so that a customer that waits in a less
important one would gather credit against the others without limit.
"""

import math
import time
from collections.abc import Callable, Iterator
from typing import Generic, NamedTuple

from sortedcontainers import SortedDict

from skylarkdoord._fair_turns import FairTurns, Lane
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.shares._queue_order import ItemT

# Maximum number of customers with state, over all precedences.
MAX_CUSTOMERS = 4096
# Estimate of a slot time until one is known, in seconds.
INITIAL_SLOT_S = 0.5
# Weight of the newest slot time in the moving average of its tier.
SLOT_EWMA_WEIGHT = 0.05
# Slots returned within this time were granted to a request that another guard had
# served already; they are charged, but are no measure of the time that requests run.
UNUSED_SLOT_S = 0.02


def is_weight(weight: float) -> bool:
    """Return whether a weight can be used: finite and above 0."""
    return math.isfinite(weight) and weight > 0.0


class Charge(NamedTuple):
    """What a customer was charged for a slot.

    Attributes:
        precedence: Precedence of the request.
        lane: The customer's lane.
        weight: The customer's weight.
        estimate_s: Estimated slot time, in seconds.
        since: Monotonic time of the grant, in seconds.
    """

    precedence: Precedence
    lane: Lane
    weight: float
    estimate_s: float
    since: float


class FairOrder(Generic[ItemT]):
    """Orders requests by precedence, then by their customers' virtual times.

    Args:
        clock: Returns monotonic time in seconds.

    Attributes:
        by_precedence: Whose turn it is, by precedence.
        lanes: Lanes of the waiting requests, by number.
        charges: Charges for the slots in use, by number of the request.
        slot_averages_s: Moving average of slot times, by tier, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.by_precedence: SortedDict = SortedDict()
        self.lanes: dict[int, Lane] = {}
        self.charges: dict[int, Charge] = {}
        self.slot_averages_s: dict[int, float] = {}

    @property
    def customers(self) -> int:
        """Number of customers with state; one counts for each of its precedences."""
        return sum(len(turns.lanes) for turns in self.by_precedence.values())

    def add(self, item: ItemT) -> None:
        """Add a request.

        A weight that can't be used is ignored; the customer's former weight stays.
        """
        turns = self.by_precedence.get(item.precedence)
        if turns is None:
            turns = FairTurns(lambda item: item.number, limit=MAX_CUSTOMERS)
            self.by_precedence[item.precedence] = turns
        others = self.customers - len(turns.lanes)
        turns.limit = max(1, MAX_CUSTOMERS - others)
        lane = turns.add(item.demand.customer, item)
        if is_weight(item.demand.weight) and lane.name is not None:
            lane.weight = item.demand.weight
        self.lanes[item.number] = lane

    def remove(self, item: ItemT) -> None:
        """Remove a request that stops waiting without a slot."""
        turns = self.by_precedence[item.precedence]
        turns.remove(self.lanes.pop(item.number), item)
        self.drop_if_empty(item.precedence)

    def in_order(self) -> Iterator[ItemT]:
        """Return the requests, the one that gets the next slot first."""
        for turns in self.by_precedence.values():
            for lane in turns.waiting:
                yield from lane.waiting

    def take(self, item: ItemT) -> None:
        """Remove a request that is granted a slot and charge the estimated time."""
        turns = self.by_precedence[item.precedence]
        lane = self.lanes.pop(item.number)
        estimate_s = self.slot_averages_s.get(item.precedence.tier, INITIAL_SLOT_S)
        turns.hold(lane)
        turns.remove(lane, item)
        turns.charge(lane, estimate_s / lane.weight)
        self.charges[item.number] = Charge(
            item.precedence, lane, lane.weight, estimate_s, self.clock()
        )

    def end(self, number: int) -> None:
        """Correct the charge for a slot by the time for which it was used."""
        charge = self.charges.pop(number, None)
        if charge is None:
            return
        used_s = self.clock() - charge.since
        if used_s <= 0.0:
            # The clock stands still. Were the estimate corrected to nothing, a customer
            # whose requests end would always be ahead of one that begins to wait.
            used_s = charge.estimate_s
        tier = charge.precedence.tier
        if used_s >= UNUSED_SLOT_S:
            average_s = self.slot_averages_s.get(tier, used_s)
            average_s += SLOT_EWMA_WEIGHT * (used_s - average_s)
            self.slot_averages_s[tier] = average_s
        turns = self.by_precedence[charge.precedence]
        turns.correct(charge.lane, (used_s - charge.estimate_s) / charge.weight)
        turns.release(charge.lane)
        self.drop_if_empty(charge.precedence)

    def drop_if_empty(self, precedence: Precedence) -> None:
        """Drop the state of a precedence that no customer uses."""
        if not self.by_precedence[precedence].lanes:
            del self.by_precedence[precedence]
