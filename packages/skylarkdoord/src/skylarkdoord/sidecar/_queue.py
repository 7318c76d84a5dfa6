"""Priority queue of the offers that wait for an upstream slot."""

import itertools

from sortedcontainers import SortedDict, SortedKeyList

from skylarkdoor import invariants
from skylarkdoor.wire import pb
from skylarkdoord.sidecar._fairness import TierQueue, WaitingOffer

TIERS_IN_ORDER = invariants.define(
    "tiers_in_order",
    "No offer is refused by a full queue while one of a lower tier waits.",
)

# Ranks from this one on are reported together as the last tier.
MAX_TIERS = 16


def _latest_start_key(waiting: WaitingOffer) -> tuple[float, int]:
    return waiting.latest_start_at, waiting.order


class OfferQueue:
    """A bounded queue: strict priority by tier, fair between customers of a tier.

    Args:
        limit: Maximum number of waiting offers.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.by_id: dict[str, WaitingOffer] = {}
        self.tiers: SortedDict = SortedDict()
        self.by_latest_start: SortedKeyList = SortedKeyList(key=_latest_start_key)
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
        saved_prefill_s: float = 0.0,
    ) -> tuple[bool, WaitingOffer | None]:
        """Add an offer; if the queue is full, another one may be displaced.

        An offer displaces the newest offer of the lowest tier if that tier is
        lower than its own; copies go first. An offer that is not a copy displaces
        the newest copy of its own tier, if that is the lowest one waiting. A copy
        is an additional offer of a request that is also offered to another
        sidecar.

        Args:
            offer: The offer.
            peer: Key of the stream that delivered it.
            now: Monotonic time, in seconds.
            work_s: Estimated service time in the upstream, in seconds.
            saved_prefill_s: Estimated prefill time saved by the prefix cache, in
                seconds.

        Returns:
            Whether the offer was added, and the offer that it displaced.
        """
        displaced = None
        if len(self.by_id) >= self.limit:
            displaced = self._find_displaceable(offer)
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
            latest_start_at=deadline_at - work_s,
            saved_prefill_s=saved_prefill_s,
        )
        self._add(waiting)
        return True, displaced

    def first(self) -> WaitingOffer:
        """Return the next offer to be granted."""
        tier: TierQueue = self.tiers.peekitem(0)[1]
        return tier.first()

    def pop(self) -> WaitingOffer:
        """Remove and return the next offer, charging its work to its customer."""
        tier: TierQueue = self.tiers.peekitem(0)[1]
        waiting = tier.first()
        tier.charge(waiting)
        self.remove(waiting.offer.request_id)
        return waiting

    def refund(self, waiting: WaitingOffer) -> None:
        """Cancel the charge for a grant that was not used."""
        tier = self.tiers.get(waiting.offer.tier)
        if tier is not None:
            tier.refund(waiting)

    def remove(self, request_id: str) -> WaitingOffer | None:
        """Remove and return an offer, None if it is not in the queue."""
        waiting = self.by_id.pop(request_id, None)
        if waiting is None:
            return None
        self.by_latest_start.remove(waiting)
        rank = waiting.offer.tier
        self.tiers[rank].remove(waiting)
        if not self.tiers[rank]:
            # The fair-queueing state of a tier is dropped when its queue is empty.
            del self.tiers[rank]
        return waiting

    def find_late(self, now: float) -> WaitingOffer | None:
        """Return an offer that can no longer meet its deadline, if there is one."""
        if self.by_latest_start and self.by_latest_start[0].latest_start_at <= now:
            waiting: WaitingOffer = self.by_latest_start[0]
            return waiting
        return None

    def next_late_at(self) -> float | None:
        """Return the next time at which an offer becomes too late to start."""
        return self.by_latest_start[0].latest_start_at if self.by_latest_start else None

    def ahead_of(self, tier: int) -> int:
        """Return the number of waiting offers of a tier and all higher tiers."""
        return sum(len(queue) for rank, queue in self.tiers.items() if rank <= tier)

    def of_peer(self, peer: str) -> list[WaitingOffer]:
        """Return the waiting offers that one stream delivered."""
        return [waiting for waiting in self.by_id.values() if waiting.peer == peer]

    def all(self) -> list[WaitingOffer]:
        """Return all offers, higher tiers first, in order of arrival within a tier."""
        return [
            waiting
            for queue in self.tiers.values()
            for waiting in queue.arrivals.values()
        ]

    def waiting_by_tier(self) -> list[int]:
        """Return the number of waiting offers of each tier, indexed by rank."""
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
        self.by_latest_start.add(waiting)

    def _find_displaceable(self, offer: pb.Offer) -> WaitingOffer | None:
        if not self.tiers:
            return None
        lowest: int
        queue: TierQueue
        lowest, queue = self.tiers.peekitem(-1)
        if lowest > offer.tier:
            return queue.newest_copy() or queue.newest()
        # The request of a copy still waits at another sidecar, while the new offer
        # may have no other queue position.
        if lowest == offer.tier and not offer.is_copy:
            return queue.newest_copy()
        return None

    def _check_refusal(self, tier: int) -> None:
        lowest = self.tiers.peekitem(-1)[0] if self.tiers else tier
        invariants.check(TIERS_IN_ORDER, lowest <= tier, tier=tier, lowest=lowest)
