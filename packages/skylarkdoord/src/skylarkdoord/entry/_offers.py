"""One round of offers for a request: the first grant is taken."""

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

LEAST_RETRY_AFTER_S = 1.0
MAX_LAST_CALLS = 8

CODES = {
    pb.REFUSAL_REASON_QUEUE_FULL: ("overloaded", "every queue in reach is full"),
    pb.REFUSAL_REASON_DISPLACED: ("overloaded", "more important work took the place"),
    pb.REFUSAL_REASON_DEADLINE: ("deadline", "the deadline can't be met"),
    pb.REFUSAL_REASON_QUARANTINED: ("quarantined", "the request crashes upstreams"),
    pb.REFUSAL_REASON_MODEL_ABSENT: ("model_absent", "no upstream has the model"),
    pb.REFUSAL_REASON_STORE_DOWN: ("store_down", "the request can't be recorded now"),
}
UNAVAILABLE = ("unavailable", "no upstream in reach takes work")
FOR_LACK_OF_ROOM = (pb.REFUSAL_REASON_QUEUE_FULL, pb.REFUSAL_REASON_DISPLACED)

REFUSED_EVERYWHERE = invariants.define(
    "refused_everywhere",
    "A request is shed only while no sidecar in reach lets a lower tier in.",
)
REFUSALS = Counter(
    "skylarkdoor_entry_refusals_total",
    "Requests refused after every sidecar in reach was asked.",
    ["tier", "code"],
)
LAST_CALLS = Counter(
    "skylarkdoor_entry_last_calls_total",
    "Offers made again because an earlier refusal had become old.",
)
UNPROVED = Counter(
    "skylarkdoor_entry_unproved_refusals_total",
    "Refusals after too many rounds of old answers.",
)


class Taken(NamedTuple):
    """The grant that a request takes.

    Attributes:
        peer: The sidecar that gave it.
        grant: Its number.
        incarnation: Life of the sidecar that gave it.
    """

    peer: SidecarPeer
    grant: int
    incarnation: int


class Refused(NamedTuple):
    """A sidecar's refusal.

    Attributes:
        refusal: What the sidecar said.
        holds_until: Monotonic time until which it lets no lower tier in, in
            seconds, reckoned from when the offer was sent.
    """

    refusal: pb.Refusal
    holds_until: float

    @property
    def for_lack_of_room(self) -> bool:
        """Whether the sidecar might take the request at another time."""
        return self.refusal.reason in FOR_LACK_OF_ROOM


class OfferRound:
    """Offers a request until one sidecar grants it or all have refused.

    A request is refused for lack of room only once every sidecar in reach has
    refused it and promises, at that moment, to let no lower tier in. A sidecar
    whose promise has run out is asked again.

    Args:
        request: The request.
        choice: Sidecars to ask, and how many at once.
        reach: Returns the sidecars in reach at the time of the call.
    """

    def __init__(
        self,
        request: EntryRequest,
        choice: Choice,
        *,
        reach: Callable[[], list[SidecarPeer]],
    ) -> None:
        self.request = request
        self.choice = choice
        self.reach = reach
        self.untried = list(choice.ranked)
        self.width = 1 if choice.head_start_s else choice.offers
        self.pending: dict[str, SidecarPeer] = {}
        self.sent_at: dict[str, float] = {}
        self.refused: dict[str, Refused] = {}
        self.last_reason: pb.RefusalReason | None = None
        self.last_calls = 0
        self.answer: asyncio.Future[Taken] = asyncio.get_running_loop().create_future()

    async def take(self) -> Taken:
        """Return the first grant; every other offer is withdrawn.

        Raises:
            RefusedError: Nobody takes the request or its deadline passed.
        """
        loop = asyncio.get_running_loop()
        head_start = loop.call_later(self.choice.head_start_s, self.widen)
        taken: Taken | None = None
        try:
            self._extend()
            async with asyncio.timeout(max(0.0, self.request.remaining_s())):
                taken = await self.answer
            return taken
        except TimeoutError:
            raise self._error(pb.REFUSAL_REASON_DEADLINE) from None
        finally:
            head_start.cancel()
            if taken is None:
                self._give_back()
            self._withdraw_all(abandoned=taken is None)

    def widen(self) -> None:
        """Offer to as many as the policy says: the head start is over."""
        self.width = self.choice.offers
        if not self.answer.done():
            self._extend()

    def shed(self) -> None:
        """Refuse the request: this entry holds too much that waits."""
        if not self.answer.done():
            self.answer.set_exception(self._error(pb.REFUSAL_REASON_DISPLACED))

    def on_grant(self, peer: SidecarPeer, grant: pb.Grant) -> None:
        """Take the first grant; give back any other."""
        if self.answer.done():
            peer.withdraw(self.request.request_id)
            return
        self.pending.pop(peer.instance, None)
        peer.taken(self.request.request_id)
        self.answer.set_result(Taken(peer, grant.grant, grant.incarnation))

    def on_refusal(self, peer: SidecarPeer, refusal: pb.Refusal) -> None:
        """Offer to the next sidecar, or give up when none is left."""
        self.pending.pop(peer.instance, None)
        floor_s = refusal.floor_ms / MS_PER_S
        sent_at = self.sent_at.get(peer.instance, 0.0)
        self.refused[peer.instance] = Refused(refusal, sent_at + floor_s)
        self.last_reason = refusal.reason
        if not self.answer.done():
            self._extend()

    def _extend(self) -> None:
        while self.untried and len(self.pending) < self.width:
            peer = self.untried.pop(0)
            if peer.usable:
                self._offer(peer)
        if self.pending or self.untried:
            return
        again = self._to_ask_again()
        if again and self.last_calls < MAX_LAST_CALLS:
            self.last_calls += 1
            LAST_CALLS.inc(len(again))
            for peer in again:
                self._offer(peer)
            return
        self._give_up(proved=not again)

    def _to_ask_again(self) -> list[SidecarPeer]:
        now = time.monotonic()
        return [peer for peer in self.reach() if not self._holds(peer, now)]

    def _holds(self, peer: SidecarPeer, now: float) -> bool:
        refused = self.refused.get(peer.instance)
        if refused is None:
            return False
        return not refused.for_lack_of_room or refused.holds_until > now

    def _offer(self, peer: SidecarPeer) -> None:
        self.pending[peer.instance] = peer
        self.sent_at[peer.instance] = time.monotonic()
        peer.offer(self.request.offer(), self)

    def _give_up(self, *, proved: bool) -> None:
        reason = self._reason()
        if reason in FOR_LACK_OF_ROOM:
            if proved:
                invariants.check(
                    REFUSED_EVERYWHERE,
                    not self._to_ask_again(),
                    request_id=self.request.request_id,
                )
            else:
                UNPROVED.inc()
        self.answer.set_exception(self._error(reason))

    def _reason(self) -> "pb.RefusalReason | None":
        reasons = [refused.refusal.reason for refused in self.refused.values()]
        for reason in FOR_LACK_OF_ROOM:
            if reason in reasons:
                return reason
        return self.last_reason

    def _give_back(self) -> None:
        # A grant may come in the same moment as the deadline.
        answer = self.answer
        if answer.done() and not answer.cancelled() and not answer.exception():
            answer.result().peer.give_back(self.request.request_id)

    def _withdraw_all(self, *, abandoned: bool) -> None:
        for peer in self.pending.values():
            peer.withdraw(self.request.request_id, abandoned=abandoned)
        self.pending.clear()

    def _error(self, reason: "pb.RefusalReason | None") -> RefusedError:
        code, message = CODES.get(reason, UNAVAILABLE) if reason else UNAVAILABLE
        REFUSALS.labels(str(self.request.resolved.tier.rank), code).inc()
        waits = [
            refused.refusal.retry_after_ms / MS_PER_S
            for refused in self.refused.values()
            if refused.refusal.retry_after_ms
        ]
        retry_after_s = max(LEAST_RETRY_AFTER_S, min(waits, default=0.0))
        return RefusedError(code, message, retry_after_s=retry_after_s)
