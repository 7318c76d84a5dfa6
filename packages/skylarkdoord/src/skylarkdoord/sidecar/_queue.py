"""Offers that wait for room in the upstream."""

import itertools
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from skylarkdoor import invariants
from skylarkdoor.wire import pb

TIERS_IN_ORDER = invariants.define(
    "tiers_in_order",
    "No offer is refused for lack of room while one of a lower tier waits.",
)

MAX_TIERS = 16


class WaitingOffer(NamedTuple):
    """An offer in the queue.

    Attributes:
        offer: The offer as it came.
        peer: Key of the stream on which it came.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline_at: Monotonic time of the deadline, in seconds.
        order: Number that grows with each arrival.
    """

    offer: pb.Offer
    peer: str
    arrived_at: float
    deadline_at: float
    order: int


def _urgency(waiting: WaitingOffer) -> tuple[int, float, int]:
    return waiting.offer.tier, waiting.deadline_at, waiting.order


class OfferQueue:
    """A bounded queue by tier, then deadline.

    Args:
        limit: Most offers that wait.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.by_id: dict[str, WaitingOffer] = {}
        self.sorted: SortedKeyList = SortedKeyList(key=_urgency)
        self.counter = itertools.count()

    def __len__(self) -> int:
        return len(self.by_id)

    def push(
        self, offer: pb.Offer, *, peer: str, now: float
    ) -> tuple[bool, WaitingOffer | None]:
        """Add an offer, displacing one of a lower tier if there is no room.

        Args:
            offer: The offer.
            peer: Key of the stream on which it came.
            now: Monotonic time, in seconds.

        Returns:
            Whether the offer was added, and the offer that it displaced.
        """
        displaced = None
        if len(self.by_id) >= self.limit:
            displaced = self._displaceable(offer.tier)
            if displaced is None:
                lowest = self.sorted[-1].offer.tier if self.sorted else 0
                invariants.check(
                    TIERS_IN_ORDER,
                    not self.sorted or lowest <= offer.tier,
                    tier=offer.tier,
                    lowest=lowest,
                )
                return False, None
            self.remove(displaced.offer.request_id)
        deadline_at = now + offer.deadline_ms / 1000
        waiting = WaitingOffer(offer, peer, now, deadline_at, next(self.counter))
        self.by_id[offer.request_id] = waiting
        self.sorted.add(waiting)
        return True, displaced

    def _displaceable(self, tier: int) -> WaitingOffer | None:
        if not self.sorted:
            return None
        lowest = self.sorted[-1].offer.tier
        if lowest <= tier:
            return None
        start = self.sorted.bisect_key_left((lowest,))
        return max(self.sorted[start:], key=lambda waiting: waiting.order)

    def pop(self) -> WaitingOffer:
        """Remove and return the most urgent offer."""
        waiting: WaitingOffer = self.sorted[0]
        self.remove(waiting.offer.request_id)
        return waiting

    def remove(self, request_id: str) -> WaitingOffer | None:
        """Remove an offer; returns it if it waited."""
        waiting = self.by_id.pop(request_id, None)
        if waiting is not None:
            self.sorted.remove(waiting)
        return waiting

    def of_peer(self, peer: str) -> list[WaitingOffer]:
        """Return the offers that came on one stream."""
        return [waiting for waiting in self.by_id.values() if waiting.peer == peer]

    def all(self) -> list[WaitingOffer]:
        """Return every offer, the most urgent first."""
        return list(self.sorted)

    def waiting_by_tier(self) -> list[int]:
        """Return how many offers wait in each tier, by rank."""
        counts = [0] * MAX_TIERS
        for waiting in self.by_id.values():
            counts[min(waiting.offer.tier, MAX_TIERS - 1)] += 1
        while len(counts) > 1 and counts[-1] == 0:
            counts.pop()
        return counts
