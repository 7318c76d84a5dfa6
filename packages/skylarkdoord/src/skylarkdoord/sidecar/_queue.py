"""Offers that wait for room in the upstream."""

import itertools

from sortedcontainers import SortedDict, SortedKeyList

from skylarkdoor import invariants
from skylarkdoor.wire import pb
from skylarkdoord.sidecar._fairness import TierQueue, WaitingOffer

TIERS_IN_ORDER = invariants.define(
    "tiers_in_order",
    "No offer is refused for lack of room while one of a lower tier waits.",
)

MAX_TIERS = 16


def _start_by(waiting: WaitingOffer) -> tuple[float, int]:
    return waiting.start_by, waiting.order


class OfferQueue:
    """A bounded queue: strict by tier, then fair between customers.

    Args:
        limit: Most offers that wait.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.by_id: dict[str, WaitingOffer] = {}
        self.tiers: SortedDict = SortedDict()
        self.by_start: SortedKeyList = SortedKeyList(key=_start_by)
        self.counter = itertools.count()

    def __len__(self) -> int:
        return len(self.by_id)

    def push(
        self,
        offer: pb.Offer,
        *,
        peer: str,
        now: float,
        work_s: float = 0.0,
        hit_s: float = 0.0,
    ) -> tuple[bool, WaitingOffer | None]:
        """Add an offer, displacing one of a lower tier if there is no room.

        Args:
            offer: The offer.
            peer: Key of the stream on which it came.
            now: Monotonic time, in seconds.
            work_s: Estimated time that it takes of the upstream, in seconds.
            hit_s: Prefill that the upstream's cache is held to save, in seconds.

        Returns:
            Whether the offer was added, and the offer that it displaced.
        """
        displaced = None
        if len(self.by_id) >= self.limit:
            displaced = self._displaceable(offer.tier)
            if displaced is None:
                self._check_refusal(offer.tier)
                return False, None
            self.remove(displaced.offer.request_id)
        deadline_at = now + offer.deadline_ms / 1000
        waiting = WaitingOffer(
            offer=offer,
            peer=peer,
            arrived_at=now,
            deadline_at=deadline_at,
            order=next(self.counter),
            work_s=work_s,
            start_by=deadline_at - work_s,
            hit_s=hit_s,
        )
        self._add(waiting)
        return True, displaced

    def first(self) -> WaitingOffer:
        """Return the offer whose turn it is."""
        tier: TierQueue = self.tiers.peekitem(0)[1]
        return tier.first()

    def pop(self) -> WaitingOffer:
        """Remove and return the offer whose turn it is; its customer is charged."""
        tier: TierQueue = self.tiers.peekitem(0)[1]
        waiting = tier.first()
        tier.charge(waiting)
        self.remove(waiting.offer.request_id)
        return waiting

    def refund(self, waiting: WaitingOffer) -> None:
        """Take back the charge for a grant that was not used."""
        tier = self.tiers.get(waiting.offer.tier)
        if tier is not None:
            tier.refund(waiting)

    def remove(self, request_id: str) -> WaitingOffer | None:
        """Remove an offer; returns it if it waited."""
        waiting = self.by_id.pop(request_id, None)
        if waiting is None:
            return None
        self.by_start.remove(waiting)
        rank = waiting.offer.tier
        self.tiers[rank].remove(waiting)
        if not self.tiers[rank]:
            # Shares are kept while a tier's queue lasts, not beyond.
            del self.tiers[rank]
        return waiting

    def late(self, now: float) -> WaitingOffer | None:
        """Return an offer that can't finish in time any more, if there is one."""
        if self.by_start and self.by_start[0].start_by <= now:
            waiting: WaitingOffer = self.by_start[0]
            return waiting
        return None

    def next_late_at(self) -> float | None:
        """Return when the next offer becomes too late to start."""
        return self.by_start[0].start_by if self.by_start else None

    def ahead_of(self, tier: int) -> int:
        """Return how many offers of the tier or a higher one wait."""
        return sum(len(queue) for rank, queue in self.tiers.items() if rank <= tier)

    def of_peer(self, peer: str) -> list[WaitingOffer]:
        """Return the offers that came on one stream."""
        return [waiting for waiting in self.by_id.values() if waiting.peer == peer]

    def all(self) -> list[WaitingOffer]:
        """Return every offer, higher tiers first, each in order of arrival."""
        return [
            waiting
            for queue in self.tiers.values()
            for waiting in queue.arrivals.values()
        ]

    def waiting_by_tier(self) -> list[int]:
        """Return how many offers wait in each tier, by rank."""
        if not self.tiers:
            return [0]
        counts = [0] * (min(self.tiers.peekitem(-1)[0], MAX_TIERS - 1) + 1)
        for rank, queue in self.tiers.items():
            counts[min(rank, MAX_TIERS - 1)] += len(queue)
        return counts

    def _add(self, waiting: WaitingOffer) -> None:
        rank = waiting.offer.tier
        if rank not in self.tiers:
            self.tiers[rank] = TierQueue()
        self.tiers[rank].add(waiting)
        self.by_id[waiting.offer.request_id] = waiting
        self.by_start.add(waiting)

    def _displaceable(self, tier: int) -> WaitingOffer | None:
        if not self.tiers:
            return None
        lowest, queue = self.tiers.peekitem(-1)
        return queue.newest() if lowest > tier else None

    def _check_refusal(self, tier: int) -> None:
        lowest = self.tiers.peekitem(-1)[0] if self.tiers else tier
        invariants.check(TIERS_IN_ORDER, lowest <= tier, tier=tier, lowest=lowest)
