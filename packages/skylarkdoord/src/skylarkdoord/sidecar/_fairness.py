"""Weighted fair queueing between the customers of one tier."""

from typing import NamedTuple

from skylarkdoor.wire import pb
from skylarkdoord._fair_turns import FairTurns, Lane

MAX_CUSTOMERS = 1024


class WaitingOffer(NamedTuple):
    """An offer in the queue.

    Attributes:
        offer: The offer as received.
        peer: Key of the stream that delivered it.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline_at: Monotonic time of the deadline, in seconds.
        order: Sequence number of its arrival.
        work_s: Estimated service time in the upstream, in seconds.
        latest_start_at: Latest monotonic time to start and still meet the deadline, in
            seconds.
        saved_prefill_s: Estimated prefill time saved by the prefix cache, in seconds.
    """

    offer: pb.Offer
    peer: str
    arrived_at: float
    deadline_at: float
    order: int
    work_s: float = 0.0
    latest_start_at: float = 0.0
    saved_prefill_s: float = 0.0

    @property
    def customer(self) -> tuple[str, str]:
        """Team and name of the customer."""
        return self.offer.team, self.offer.customer


def _deadline_key(waiting: WaitingOffer) -> tuple[float, int]:
    return waiting.deadline_at - waiting.saved_prefill_s, waiting.order


class TierQueue:
    """The offers of one tier.

    The customer with the smallest virtual time, that is served work divided by
    weight, is served next (start-time fair queueing). Offers of one customer are
    served in order of deadline, less the prefill time that the cache saves.
    """

    def __init__(self) -> None:
        self.turns = FairTurns(_deadline_key, limit=MAX_CUSTOMERS)
        self.lanes: dict[str, Lane] = {}
        self.arrivals: dict[str, WaitingOffer] = {}
        self.copies: dict[str, WaitingOffer] = {}

    def __len__(self) -> int:
        return len(self.arrivals)

    def add(self, waiting: WaitingOffer) -> None:
        """Add an offer."""
        request = waiting.offer.request_id
        self.lanes[request] = self.turns.add(waiting.customer, waiting)
        self.arrivals[request] = waiting
        if waiting.offer.is_copy:
            self.copies[request] = waiting

    def first(self) -> WaitingOffer:
        """Return the next offer to be granted."""
        waiting: WaitingOffer = self.turns.waiting[0].waiting[0]
        return waiting

    def newest(self) -> WaitingOffer:
        """Return the offer that arrived last."""
        return next(reversed(self.arrivals.values()))

    def newest_copy(self) -> WaitingOffer | None:
        """Return the copy that arrived last, None if there is no copy.

        The request of a copy is also offered to another sidecar.
        """
        return next(reversed(self.copies.values()), None)

    def remove(self, waiting: WaitingOffer) -> None:
        """Remove an offer without charging its customer."""
        request = waiting.offer.request_id
        self.turns.remove(self.lanes.pop(request), waiting)
        del self.arrivals[request]
        self.copies.pop(request, None)

    def charge(self, waiting: WaitingOffer) -> None:
        """Charge the work of a granted offer, which still waits, to its customer."""
        lane = self.lanes[waiting.offer.request_id]
        self.turns.charge(lane, waiting.work_s / _weight(waiting))

    def refund(self, waiting: WaitingOffer) -> None:
        """Cancel the charge for a grant that was not used."""
        lane = self.turns.lanes.get(waiting.customer)
        if lane is not None:
            self.turns.correct(lane, -waiting.work_s / _weight(waiting))


def _weight(waiting: WaitingOffer) -> float:
    return waiting.offer.weight or 1.0
