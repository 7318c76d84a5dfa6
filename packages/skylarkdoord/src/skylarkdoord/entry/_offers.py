"""Offers one request to sidecars and accepts the first grant."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import Counter

from skylarkdoor import invariants
from skylarkdoor.wire import pb
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._policies import Choice
from skylarkdoord.entry._request import MS_PER_S, EntryRequest
from skylarkdoord.exceptions import RefusedError

MIN_RETRY_AFTER_S = 1.0
# Limits the offers repeated for one request, so that expiring refusals cannot
# delay its final refusal without bound.
MAX_REPEATED_OFFERS = 32

CODES = {
    pb.REFUSAL_REASON_QUEUE_FULL: ("overloaded", "all reachable queues are full"),
    pb.REFUSAL_REASON_DISPLACED: ("overloaded", "a higher tier displaced the request"),
    pb.REFUSAL_REASON_DEADLINE: ("deadline", "the deadline can't be met"),
    pb.REFUSAL_REASON_QUARANTINED: ("quarantined", "the request crashes upstreams"),
    pb.REFUSAL_REASON_MODEL_ABSENT: ("model_absent", "no upstream has the model"),
    pb.REFUSAL_REASON_STORE_DOWN: ("store_down", "the request can't be recorded now"),
}
UNAVAILABLE = ("unavailable", "no reachable upstream accepts requests")
CAPACITY_REASONS = (pb.REFUSAL_REASON_QUEUE_FULL, pb.REFUSAL_REASON_DISPLACED)

REFUSED_EVERYWHERE = invariants.define(
    "refused_everywhere",
    "A request is shed only while no reachable sidecar admits a lower tier.",
)
REFUSALS = Counter(
    "skylarkdoor_entry_refusals_total",
    "Requests refused after every reachable sidecar was asked.",
    ["tier", "code"],
)
REPEATED_OFFERS = Counter(
    "skylarkdoor_entry_last_calls_total",
    "Offers repeated because an earlier refusal had expired.",
)
UNPROVED_REFUSALS = Counter(
    "skylarkdoor_entry_unproved_refusals_total",
    "Requests refused after the limit of repeated offers was reached.",
)


class AcceptedGrant(NamedTuple):
    """A grant that was accepted for a request.

    Attributes:
        peer: The sidecar that issued it.
        grant: Its number.
        incarnation: Incarnation of the sidecar that issued it.
    """

    peer: SidecarPeer
    grant: int
    incarnation: int


class ReceivedRefusal(NamedTuple):
    """A sidecar's refusal of an offer.

    After a refusal for lack of capacity, a sidecar admits no lower tier for the
    refusal's `floor_ms`.

    Attributes:
        refusal: The refusal as it was received.
        floor_expires_at: Monotonic time until which the sidecar admits no lower
            tier, in seconds, counted from when the offer was sent.
        is_copy: Whether another sidecar had the offer as well when it was sent.
    """

    refusal: pb.Refusal
    floor_expires_at: float
    is_copy: bool = False

    @property
    def is_for_capacity(self) -> bool:
        """Whether the sidecar refused for lack of capacity and may grant later."""
        return self.refusal.reason in CAPACITY_REASONS


class OfferRound:
    """Offers a request until one sidecar grants it or all have refused.

    A request is refused for lack of capacity only once every reachable sidecar
    has refused it and still admits no lower tier. A sidecar whose refusal has
    expired gets the offer again, one sidecar at a time. So does a sidecar that
    refused the offer as a copy, because a sole offer may displace a copy of its
    own tier there.

    Args:
        request: The request.
        choice: Sidecars to ask, and how many of them at a time.
        find_reachable: Returns the sidecars that are reachable when it is called.
    """

    def __init__(
        self,
        request: EntryRequest,
        choice: Choice,
        *,
        find_reachable: Callable[[], list[SidecarPeer]],
    ) -> None:
        self.request = request
        self.choice = choice
        self.find_reachable = find_reachable
        self.untried = list(choice.ranked)
        self.max_pending = 1 if choice.fanout_delay_s else choice.offers
        self.pending: dict[str, SidecarPeer] = {}
        self.sent_at: dict[str, float] = {}
        self.copies: set[str] = set()
        self.refused: dict[str, ReceivedRefusal] = {}
        self.last_reason: pb.RefusalReason | None = None
        self.repeated_offers = 0
        self.grant_future: asyncio.Future[AcceptedGrant] = (
            asyncio.get_running_loop().create_future()
        )

    async def acquire(self) -> AcceptedGrant:
        """Return the first grant and withdraw all other offers.

        Raises:
            RefusedError: No sidecar grants the request, or its deadline has passed.
        """
        loop = asyncio.get_running_loop()
        fanout = loop.call_later(self.choice.fanout_delay_s, self.start_fanout)
        accepted: AcceptedGrant | None = None
        try:
            self._send_offers()
            async with asyncio.timeout(max(0.0, self.request.remaining_s())):
                accepted = await self.grant_future
            return accepted
        except TimeoutError:
            raise self._error(pb.REFUSAL_REASON_DEADLINE) from None
        finally:
            fanout.cancel()
            if accepted is None:
                self._return_grant()
            self._withdraw_all(abandoned=accepted is None)

    def start_fanout(self) -> None:
        """Offer to as many sidecars as the policy allows, after the fan-out delay."""
        self.max_pending = self.choice.offers
        if not self.grant_future.done():
            self._send_offers()

    def shed(self) -> None:
        """Refuse the request because this entry's waiting queue is full."""
        if not self.grant_future.done():
            self.grant_future.set_exception(self._error(pb.REFUSAL_REASON_DISPLACED))

    def on_grant(self, peer: SidecarPeer, grant: pb.Grant) -> None:
        """Accept the first grant and return any other."""
        if self.grant_future.done():
            peer.withdraw(self.request.request_id)
            return
        self.pending.pop(peer.instance, None)
        peer.mark_grant_accepted(self.request.request_id)
        self.grant_future.set_result(
            AcceptedGrant(peer, grant.grant, grant.incarnation)
        )

    def on_refusal(self, peer: SidecarPeer, refusal: pb.Refusal) -> None:
        """Offer to the next sidecar, or refuse the request if none is left."""
        self.pending.pop(peer.instance, None)
        floor_s = refusal.floor_ms / MS_PER_S
        sent_at = self.sent_at.get(peer.instance, 0.0)
        is_copy = peer.instance in self.copies
        self.refused[peer.instance] = ReceivedRefusal(
            refusal, sent_at + floor_s, is_copy
        )
        self.last_reason = refusal.reason
        if not self.grant_future.done():
            self._send_offers()

    def _send_offers(self) -> None:
        while self.untried and len(self.pending) < self.max_pending:
            peer = self.untried.pop(0)
            if peer.usable:
                self._offer(peer)
        if self.pending or self.untried:
            return
        retry_peers = self._peers_to_ask_again()
        if retry_peers and self.repeated_offers < MAX_REPEATED_OFFERS:
            self.repeated_offers += 1
            REPEATED_OFFERS.inc()
            self._offer(retry_peers[0])
            return
        self._refuse(proved=not retry_peers)

    def _peers_to_ask_again(self) -> list[SidecarPeer]:
        now = time.monotonic()
        return [
            peer
            for peer in self.find_reachable()
            if not self._is_refusal_valid(peer, now)
        ]

    def _is_refusal_valid(self, peer: SidecarPeer, now: float) -> bool:
        refused = self.refused.get(peer.instance)
        if refused is None:
            return False
        if not refused.is_for_capacity:
            return True
        return not refused.is_copy and refused.floor_expires_at > now

    def _offer(self, peer: SidecarPeer) -> None:
        is_copy = bool(self.pending)
        self.copies.discard(peer.instance)
        if is_copy:
            self.copies.add(peer.instance)
        offer = self.request.offer(is_copy=is_copy)
        self.pending[peer.instance] = peer
        self.sent_at[peer.instance] = time.monotonic()
        peer.offer(offer, self)

    def _refuse(self, *, proved: bool) -> None:
        reason = self._overall_reason()
        if reason in CAPACITY_REASONS:
            if proved:
                invariants.check(
                    REFUSED_EVERYWHERE,
                    not self._peers_to_ask_again(),
                    request_id=self.request.request_id,
                )
            else:
                UNPROVED_REFUSALS.inc()
        self.grant_future.set_exception(self._error(reason))

    def _overall_reason(self) -> "pb.RefusalReason | None":
        reasons = [refused.refusal.reason for refused in self.refused.values()]
        for reason in CAPACITY_REASONS:
            if reason in reasons:
                return reason
        return self.last_reason

    def _return_grant(self) -> None:
        # A grant may arrive at the same moment as the deadline or a cancellation.
        future = self.grant_future
        if future.done() and not future.cancelled() and not future.exception():
            future.result().peer.return_grant(self.request.request_id)

    def _withdraw_all(self, *, abandoned: bool) -> None:
        for peer in self.pending.values():
            peer.withdraw(self.request.request_id, abandoned=abandoned)
        self.pending.clear()

    def _error(self, reason: "pb.RefusalReason | None") -> RefusedError:
        code, message = CODES.get(reason, UNAVAILABLE) if reason else UNAVAILABLE
        REFUSALS.labels(str(self.request.resolved.tier.rank), code).inc()
        delays_s = [
            refused.refusal.retry_after_ms / MS_PER_S
            for refused in self.refused.values()
            if refused.refusal.retry_after_ms
        ]
        retry_after_s = max(MIN_RETRY_AFTER_S, min(delays_s, default=0.0))
        return RefusedError(code, message, retry_after_s=retry_after_s)
