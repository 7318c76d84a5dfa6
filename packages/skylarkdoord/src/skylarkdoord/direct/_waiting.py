"""Requests that wait for an upstream slot, and the overload state of their queue."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from skylarkdoord.direct._guard_link import GuardLink
from skylarkdoord.direct._metrics import QUEUE_ENDS
from skylarkdoord.direct._model import Admitted, Precedence
from skylarkdoord.direct._upstreams import Upstream
from skylarkdoord.direct.rollouts import Versions
from skylarkdoord.direct.shares import NO_DEMAND, CustomerShares, Demand

# Time after a queue timeout during which a queue counts as overloaded.
OVERLOAD_WINDOW_S = 0.4
# During overload, a new request is refused if this many others are ahead of it.
OVERLOAD_MIN_AHEAD = 1
# With shares of customers, a customer may have this share of the requests waiting that
# get slots, at the customer's present rate, within the queue timeout.
MAX_AHEAD_SHARE = 0.5


class Slot(NamedTuple):
    """Capacity at an upstream that one request occupies.

    Attributes:
        upstream: The upstream.
        waited_s: Time in the queue, in seconds.
        guard: Stream to the guard that granted the slot; None without a guard.
        request: The request's name on that stream.
    """

    upstream: Upstream
    waited_s: float
    guard: GuardLink | None
    request: str


@dataclass(order=True)
class Waiter:
    """A request in the queue; sorts in queue order.

    Attributes:
        precedence: Tier and other properties that decide the queue order.
        number: Sequence number of its arrival at this entry.
        admitted: The request.
        excluded: Instances to which the request was sent before.
        since: Monotonic time at which it was queued, in seconds.
        queue_timeout_s: Longest time in the queue, in seconds.
        slot: Future of the grant; cancelled if the request stops waiting without one.
        versions: Versions of the upstreams that may take it.
        is_bound: Whether it goes on with a stream, so that its version stays.
        offered_to: Guards to which the request is offered.
        is_promoted: Whether it is queued as a request of the most important tier, as
            its own is starved.
        demand: Whose request it is, and what it takes of an engine.
    """

    precedence: Precedence
    number: int
    admitted: Admitted = field(compare=False)
    excluded: frozenset[str] = field(compare=False)
    since: float = field(compare=False)
    queue_timeout_s: float = field(compare=False)
    slot: "asyncio.Future[SlotGrant]" = field(compare=False)
    versions: Versions = field(default=Versions(), compare=False)
    is_bound: bool = field(default=False, compare=False)
    offered_to: list[GuardLink] = field(default_factory=list, compare=False)
    is_promoted: bool = field(default=False, compare=False)
    demand: Demand = field(default=NO_DEMAND, compare=False)

    @property
    def name(self) -> str:
        """The request's name on streams to guards."""
        return str(self.number)

    @property
    def turn(self) -> "Turn":
        """Which requests it waits for."""
        return Turn(self.precedence, self.demand.is_long)

    @property
    def rank(self) -> int:
        """Tier of the request; 0 is the most important."""
        return self.precedence.tier

    @property
    def is_granted(self) -> bool:
        """Whether the request was granted a slot."""
        return self.slot.done() and not self.slot.cancelled()

    def count_end(self, outcome: str) -> None:
        """Count in the metrics why the request stopped waiting."""
        length = "long" if self.demand.is_long else "short"
        QUEUE_ENDS.labels(str(self.admitted.rank), length, outcome).inc()


class Turn(NamedTuple):
    """Which requests wait for each other, rather than take turns.

    Attributes:
        precedence: Their precedence.
        is_long: Whether their answers are long for their tier.
    """

    precedence: Precedence
    is_long: bool

    def delays(self, other: "Turn") -> bool:
        """Return whether requests of this turn keep those of another one waiting."""
        return self == other or self.precedence < other.precedence


class SlotGrant(NamedTuple):
    """The grant of an upstream slot to a waiting request.

    Attributes:
        upstream: The upstream.
        guard: Stream to the guard that granted the slot; None without a guard.
    """

    upstream: Upstream
    guard: GuardLink | None = None


class QueueState:
    """Waiting requests of one service and its recent queue timeouts.

    Args:
        new_shares: Returns new shares of the customers of a tier; None if requests are
            refused without regard to customers.

    Attributes:
        waiting: Waiting requests, by number.
        timed_out_at: Monotonic time of the latest queue timeout, in seconds, by turn
            of the request.
        own_timed_out_at: The same by customer and turn, the latest last.
        shares: Shares of the customers, by tier.
    """

    def __init__(
        self, new_shares: Callable[[int], CustomerShares] | None = None
    ) -> None:
        self.new_shares = new_shares
        self.shares: dict[int, CustomerShares] = {}
        self.own_timed_out_at: OrderedDict[tuple[str, Turn], float] = OrderedDict()
        self.waiting: dict[int, Waiter] = {}
        self.timed_out_at: dict[Turn, float] = {}

    def add(self, waiter: Waiter) -> None:
        """Add a waiting request."""
        self.waiting[waiter.number] = waiter
        shares = self.shares_of(waiter)
        if shares is not None:
            shares.on_wait(waiter.demand.customer, waiter.demand.weight)

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request and return whether it was waiting."""
        if self.waiting.pop(waiter.number, None) is None:
            return False
        shares = self.shares_of(waiter)
        if shares is not None:
            customer, weight = waiter.demand.customer, waiter.demand.weight
            if waiter.is_granted:
                shares.on_granted(waiter.number, customer, weight)
            else:
                shares.on_refused(customer, weight)
        return True

    def shares_of(self, waiter: Waiter) -> CustomerShares | None:
        """Return the shares of the customers of a request's tier."""
        if self.new_shares is None:
            return None
        if waiter.rank not in self.shares:
            self.shares[waiter.rank] = self.new_shares(waiter.rank)
        return self.shares[waiter.rank]

    def on_released(self, number: int) -> None:
        """Record that the request of this number has returned its slot."""
        for shares in self.shares.values():
            shares.on_released(number)

    def record_timeout(self, waiter: Waiter, now: float) -> None:
        """Record the queue timeout of a request."""
        self.timed_out_at[waiter.turn] = now
        if self.new_shares is None:
            return
        key = (waiter.demand.customer, waiter.turn)
        self.own_timed_out_at[key] = now
        self.own_timed_out_at.move_to_end(key)
        while next(iter(self.own_timed_out_at.values())) <= now - OVERLOAD_WINDOW_S:
            self.own_timed_out_at.popitem(last=False)

    def would_time_out(self, waiter: Waiter, now: float) -> bool:
        """Return whether a request would likely reach its queue timeout.

        This is assumed if a request of a higher precedence, or of the same one and the
        same length, timed out recently and such requests still wait ahead of this one.
        A long one that had to wait for its turn says nothing of short ones. With shares
        of customers, the requests that timed out have to be of the same customer, or
        the customer has to have had its share. As many requests of a customer may wait
        as are likely to get their turn in time. If fewer did, a customer with callers
        at one entry would lose turns to one with callers at all entries.
        """
        turn = waiter.turn
        since = now - OVERLOAD_WINDOW_S
        if not any(
            other.delays(turn) and at > since for other, at in self.timed_out_at.items()
        ):
            return False
        shares = self.shares_of(waiter)
        if shares is None:
            return self.ahead(waiter) >= OVERLOAD_MIN_AHEAD
        customer = waiter.demand.customer
        if not shares.has_had_share(customer) and not any(
            name == customer and other.delays(turn) and at > since
            for (name, other), at in self.own_timed_out_at.items()
        ):
            return False
        soon = shares.granted_per_s(customer) * waiter.queue_timeout_s
        min_ahead = max(OVERLOAD_MIN_AHEAD, MAX_AHEAD_SHARE * soon)
        return self.ahead_in_turn(waiter) >= min_ahead

    def ahead(self, waiter: Waiter) -> int:
        """Return how many waiting requests are served before this one.

        Those whose answers are of another length take turns with it and don't count.
        """
        turn = waiter.turn
        return sum(
            other < waiter and other.turn.delays(turn)
            for other in self.waiting.values()
        )

    def ahead_in_turn(self, waiter: Waiter) -> int:
        """Return how many of the requests ahead are not of other customers.

        Requests of the same precedence of other customers do not keep a request from
        its customer's turn.
        """
        turn = waiter.turn
        return sum(
            other < waiter
            and other.turn.delays(turn)
            and (
                other.precedence < waiter.precedence
                or other.demand.customer == waiter.demand.customer
            )
            for other in self.waiting.values()
        )
