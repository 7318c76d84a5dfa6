"""Weighted fair queueing between the customers of one tier."""

from typing import NamedTuple

from sortedcontainers import SortedKeyList

from skylarkdoor.wire import pb

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


class CustomerQueue:
    """One customer's offers in order of deadline, and its virtual time.

    Args:
        name: Team and name of the customer.
        virtual_s: Initial virtual time: work served divided by the customer's
            weight, in seconds.
    """

    def __init__(self, name: tuple[str, str], virtual_s: float) -> None:
        self.name = name
        self.virtual_s = virtual_s
        self.waiting: SortedKeyList = SortedKeyList(key=_deadline_key)


def _virtual_time_key(customer: CustomerQueue) -> tuple[float, tuple[str, str]]:
    return customer.virtual_s, customer.name


class TierQueue:
    """The offers of one tier.

    The customer with the smallest virtual time, that is served work divided by
    weight, is served next (start-time fair queueing). Offers of one customer are
    served in order of deadline, less the prefill time that the cache saves.
    """

    def __init__(self) -> None:
        self.customers: dict[tuple[str, str], CustomerQueue] = {}
        self.active: SortedKeyList = SortedKeyList(key=_virtual_time_key)
        self.arrivals: dict[str, WaitingOffer] = {}
        self.copies: dict[str, WaitingOffer] = {}
        self.virtual_s = 0.0

    def __len__(self) -> int:
        return len(self.arrivals)

    def add(self, waiting: WaitingOffer) -> None:
        """Add an offer."""
        customer = self._get_customer(waiting.customer)
        if not customer.waiting:
            # A customer gains no credit for the time in which it had no offers.
            customer.virtual_s = max(customer.virtual_s, self.virtual_s)
            self.active.add(customer)
        customer.waiting.add(waiting)
        self.arrivals[waiting.offer.request_id] = waiting
        if waiting.offer.is_copy:
            self.copies[waiting.offer.request_id] = waiting

    def first(self) -> WaitingOffer:
        """Return the next offer to be granted."""
        waiting: WaitingOffer = self.active[0].waiting[0]
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
        customer = self.customers[waiting.customer]
        customer.waiting.remove(waiting)
        if not customer.waiting:
            self.active.remove(customer)
        del self.arrivals[waiting.offer.request_id]
        self.copies.pop(waiting.offer.request_id, None)

    def charge(self, waiting: WaitingOffer) -> None:
        """Charge the work of a granted offer to its customer."""
        self._advance(waiting, waiting.work_s / _weight(waiting))

    def refund(self, waiting: WaitingOffer) -> None:
        """Cancel the charge for a grant that was not used."""
        if waiting.customer in self.customers:
            self._advance(waiting, -waiting.work_s / _weight(waiting))

    def _advance(self, waiting: WaitingOffer, virtual_s: float) -> None:
        customer = self._get_customer(waiting.customer)
        if customer.waiting:
            self.active.remove(customer)
        if virtual_s > 0:
            self.virtual_s = max(self.virtual_s, customer.virtual_s)
        customer.virtual_s += virtual_s
        if customer.waiting:
            self.active.add(customer)

    def _get_customer(self, name: tuple[str, str]) -> CustomerQueue:
        customer = self.customers.get(name)
        if customer is None:
            if len(self.customers) >= MAX_CUSTOMERS:
                self._remove_idle()
            customer = CustomerQueue(name, self.virtual_s)
            self.customers[name] = customer
        return customer

    def _remove_idle(self) -> None:
        self.customers = {
            name: customer
            for name, customer in self.customers.items()
            if customer.waiting
        }


def _weight(waiting: WaitingOffer) -> float:
    return waiting.offer.weight or 1.0
