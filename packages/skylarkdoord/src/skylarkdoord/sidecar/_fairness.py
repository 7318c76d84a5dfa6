"""Weighted fair queueing between the customers of one tier."""

from typing import NamedTuple

from sortedcontainers import SortedKeyList

from skylarkdoor.wire import pb

MAX_REMEMBERED = 1024


class WaitingOffer(NamedTuple):
    """An offer in the queue.

    Attributes:
        offer: The offer as it came.
        peer: Key of the stream on which it came.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline_at: Monotonic time of the deadline, in seconds.
        order: Number that grows with each arrival.
        work_s: Estimated time that it takes of the upstream, in seconds.
        start_by: Monotonic time after which it can't finish in time.
        hit_s: Prefill that the upstream's cache is held to save, in seconds.
    """

    offer: pb.Offer
    peer: str
    arrived_at: float
    deadline_at: float
    order: int
    work_s: float = 0.0
    start_by: float = 0.0
    hit_s: float = 0.0

    @property
    def customer(self) -> tuple[str, str]:
        """The team and the customer."""
        return self.offer.team, self.offer.customer


def _urgency(waiting: WaitingOffer) -> tuple[float, int]:
    return waiting.deadline_at - waiting.hit_s, waiting.order


class CustomerQueue:
    """One customer's offers by deadline, and the share that it has had.

    Args:
        name: The team and the customer.
        virtual_s: Work served in proportion to the weight, in seconds.
    """

    def __init__(self, name: tuple[str, str], virtual_s: float) -> None:
        self.name = name
        self.virtual_s = virtual_s
        self.waiting: SortedKeyList = SortedKeyList(key=_urgency)


def _turn(customer: CustomerQueue) -> tuple[float, tuple[str, str]]:
    return customer.virtual_s, customer.name


class TierQueue:
    """The offers of one tier.

    The customer whose served work, in proportion to its weight, is the least
    comes next (start-time fair queueing). Inside a customer the earliest
    deadline comes first.
    """

    def __init__(self) -> None:
        self.customers: dict[tuple[str, str], CustomerQueue] = {}
        self.active: SortedKeyList = SortedKeyList(key=_turn)
        self.arrivals: dict[str, WaitingOffer] = {}
        self.virtual_s = 0.0

    def __len__(self) -> int:
        return len(self.arrivals)

    def add(self, waiting: WaitingOffer) -> None:
        """Add an offer."""
        customer = self._customer(waiting.customer)
        if not customer.waiting:
            # Time without work earns no credit.
            customer.virtual_s = max(customer.virtual_s, self.virtual_s)
            self.active.add(customer)
        customer.waiting.add(waiting)
        self.arrivals[waiting.offer.request_id] = waiting

    def first(self) -> WaitingOffer:
        """Return the offer whose turn it is."""
        waiting: WaitingOffer = self.active[0].waiting[0]
        return waiting

    def newest(self) -> WaitingOffer:
        """Return the offer that came last."""
        return next(reversed(self.arrivals.values()))

    def remove(self, waiting: WaitingOffer) -> None:
        """Remove an offer without charging its customer."""
        customer = self.customers[waiting.customer]
        customer.waiting.remove(waiting)
        if not customer.waiting:
            self.active.remove(customer)
        del self.arrivals[waiting.offer.request_id]

    def charge(self, waiting: WaitingOffer) -> None:
        """Charge a customer for an offer that was granted."""
        self._move(waiting, waiting.work_s / _weight(waiting))

    def refund(self, waiting: WaitingOffer) -> None:
        """Take back the charge for a grant that was not used."""
        if waiting.customer in self.customers:
            self._move(waiting, -waiting.work_s / _weight(waiting))

    def _move(self, waiting: WaitingOffer, virtual_s: float) -> None:
        customer = self._customer(waiting.customer)
        if customer.waiting:
            self.active.remove(customer)
        if virtual_s > 0:
            self.virtual_s = max(self.virtual_s, customer.virtual_s)
        customer.virtual_s += virtual_s
        if customer.waiting:
            self.active.add(customer)

    def _customer(self, name: tuple[str, str]) -> CustomerQueue:
        customer = self.customers.get(name)
        if customer is None:
            if len(self.customers) >= MAX_REMEMBERED:
                self._forget_idle()
            customer = CustomerQueue(name, self.virtual_s)
            self.customers[name] = customer
        return customer

    def _forget_idle(self) -> None:
        self.customers = {
            name: customer
            for name, customer in self.customers.items()
            if customer.waiting
        }


def _weight(waiting: WaitingOffer) -> float:
    return waiting.offer.weight or 1.0
