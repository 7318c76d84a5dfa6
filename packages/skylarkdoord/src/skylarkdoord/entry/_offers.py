"""One round of offers for a request: the first grant is taken."""

import asyncio
from typing import NamedTuple

from skylarkdoor.wire import pb
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._request import MS_PER_S, EntryRequest
from skylarkdoord.exceptions import RefusedError

LEAST_RETRY_AFTER_S = 1.0

CODES = {
    pb.REFUSAL_REASON_QUEUE_FULL: ("overloaded", "every queue in reach is full"),
    pb.REFUSAL_REASON_DISPLACED: ("overloaded", "more important work took the place"),
    pb.REFUSAL_REASON_DEADLINE: ("deadline", "the deadline can't be met"),
    pb.REFUSAL_REASON_QUARANTINED: ("quarantined", "the request crashes upstreams"),
    pb.REFUSAL_REASON_MODEL_ABSENT: ("model_absent", "no upstream has the model"),
    pb.REFUSAL_REASON_STORE_DOWN: ("store_down", "the request can't be recorded now"),
}
UNAVAILABLE = ("unavailable", "no upstream in reach takes work")


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


class OfferRound:
    """Offers a request until one sidecar grants it or all have refused.

    Args:
        request: The request.
        ranked: Sidecars in reach, the best first.
        offers: How many get the offer at once.
    """

    def __init__(
        self, request: EntryRequest, ranked: list[SidecarPeer], *, offers: int
    ) -> None:
        self.request = request
        self.untried = list(ranked)
        self.offers = offers
        self.pending: dict[str, SidecarPeer] = {}
        self.refusals: list[pb.Refusal] = []
        self.answer: asyncio.Future[Taken] = asyncio.get_running_loop().create_future()

    async def take(self) -> Taken:
        """Return the first grant; every other offer is withdrawn.

        Raises:
            RefusedError: Nobody takes the request or its deadline passed.
        """
        self._extend()
        taken: Taken | None = None
        try:
            async with asyncio.timeout(max(0.0, self.request.remaining_s())):
                taken = await self.answer
            return taken
        except TimeoutError:
            raise self._refused(pb.REFUSAL_REASON_DEADLINE) from None
        finally:
            self._withdraw_all(abandoned=taken is None)

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
        self.refusals.append(refusal)
        if not self.answer.done():
            self._extend()

    def _extend(self) -> None:
        while self.untried and len(self.pending) < self.offers:
            peer = self.untried.pop(0)
            if peer.usable:
                self.pending[peer.instance] = peer
                peer.offer(self.request.offer(), self)
        if not self.pending:
            reason = self.refusals[-1].reason if self.refusals else None
            self.answer.set_exception(self._refused(reason))

    def _withdraw_all(self, *, abandoned: bool) -> None:
        for peer in self.pending.values():
            peer.withdraw(self.request.request_id, abandoned=abandoned)
        self.pending.clear()

    def _refused(self, reason: "pb.RefusalReason | None") -> RefusedError:
        code, message = CODES.get(reason, UNAVAILABLE) if reason else UNAVAILABLE
        waits = [r.retry_after_ms / MS_PER_S for r in self.refusals if r.retry_after_ms]
        retry_after_s = max(LEAST_RETRY_AFTER_S, min(waits, default=0.0))
        return RefusedError(code, message, retry_after_s=retry_after_s)
