"""Offers waiting requests to the guards of engines, which grant the slots."""

import asyncio
import random
import time
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._choice import UpstreamChoice
from skylarkdoord.direct._guard_link import GuardLink
from skylarkdoord.direct._metrics import LEFT
from skylarkdoord.direct._model import MS_PER_S
from skylarkdoord.direct._upstream_limits import UpstreamLimits
from skylarkdoord.direct._waiting import Waiter
from skylarkdoord.direct.shares import LeavePolicy, fast_enough

# Time after which a request is offered to further guards. The best guard usually grants
# a slot within one round trip.
FANOUT_DELAY_S = 0.008
# Largest number of guards to which a request is offered at the same time.
MAX_OFFERS = 6


class Offering:
    """Decides to which guards a waiting request is offered, and when.

    Args:
        choice: Ranks the upstreams.
        limits: Limits on requests that upstreams named.
        leaving: Decides when requests leave the data centre.
        ahead: Returns how many requests wait ahead of one.
    """

    def __init__(
        self,
        choice: UpstreamChoice,
        limits: UpstreamLimits,
        leaving: LeavePolicy,
        ahead: Callable[[Waiter], int],
    ) -> None:
        self.choice = choice
        self.limits = limits
        self.leaving = leaving
        self.ahead = ahead
        self.log = events.get_logger("direct.scheduler")

    def guards(self, waiter: Waiter) -> list[GuardLink]:
        """Return the connected guards of the candidate upstreams, the best first.

        Those of engines that can't finish the answer in time are left out.
        """
        ranked = []
        candidates = self.choice.candidates(
            waiter.admitted.service, waiter.excluded, waiter.versions
        )
        for upstream in candidates:
            guard = self.choice.guard_link_of(upstream.record)
            if guard is not None and guard.is_connected:
                ranked.append((self.choice.cost(upstream, guard.running), guard))
        ranked.sort(key=lambda pair: pair[0])
        guards = [guard for _, guard in ranked]
        tokens = waiter.admitted.request.answer_tokens
        return fast_enough(guards, tokens, waiter.admitted.remaining_s())

    def home_guards(self, waiter: Waiter) -> list[GuardLink]:
        """Return the guards in this data centre; all guards if it has few."""
        guards = self.guards(waiter)
        home = [guard for guard in guards if self.leaving.is_home(guard.record)]
        return home if len(home) >= self.leaving.min_home_guards else guards

    def start(self, waiter: Waiter) -> None:
        """Offer a request that has just begun to wait.

        It is offered to the best guard with free slots. Others follow after
        `FANOUT_DELAY_S`, or at once if no guard has free slots.
        """
        if waiter.slot.done():
            return
        loop = asyncio.get_running_loop()
        guards = self.home_guards(waiter)
        best = next((guard for guard in guards if guard.room > 0), None)
        if best is None:
            self.offer_to_others(waiter)
        else:
            self.offer(waiter, best)
            loop.call_later(FANOUT_DELAY_S, self.offer_to_others, waiter)
        if self.leaving.costs is not None:
            patience_s = self.leaving.patience_s(waiter.admitted.request)
            loop.call_later(patience_s, self.offer_elsewhere, waiter)

    def offer_to_others(self, waiter: Waiter) -> None:
        """Offer a request to further guards, first to those with free slots.

        A further offer may be granted although another guard was faster, which blocks
        a slot for a round trip. Offers are therefore limited to `MAX_OFFERS`. Choosing
        the guards at random spreads the requests.
        """
        if waiter.slot.done():
            return
        others = [
            guard
            for guard in self.home_guards(waiter)
            if guard not in waiter.offered_to
        ]
        others.sort(key=lambda guard: (guard.room <= 0, random.random()))
        for guard in others[: max(0, MAX_OFFERS - len(waiter.offered_to))]:
            self.offer(waiter, guard)
        self.log_queued(waiter)

    def offer_elsewhere(self, waiter: Waiter) -> None:
        """Offer a request that has waited long enough to another data centre."""
        home = self.home_guards(waiter)
        for guard in self.guards(waiter):
            if waiter.slot.done():
                return
            if guard in home or guard in waiter.offered_to:
                continue
            if self.leaving.may_offer(guard, waiter.rank, home):
                self.leave(waiter, guard)
                return

    def leave(self, waiter: Waiter, guard: GuardLink) -> None:
        """Offer a request to a guard in another data centre."""
        LEFT.labels(guard.record.data_centre).inc()
        self.log.event(
            _events.REQUEST_MAY_LEAVE,
            request_id=waiter.admitted.request.request_id,
            upstream=guard.record.instance,
            data_centre=guard.record.data_centre,
            waited_ms=round((time.monotonic() - waiter.since) * MS_PER_S),
            room=guard.room,
            load_age_ms=round((time.monotonic() - guard.load_at) * MS_PER_S),
        )
        self.offer(waiter, guard)

    def on_load(self, guard: GuardLink, waiting: list[Waiter]) -> None:
        """Offer waiting requests to a guard elsewhere that has reported its load.

        Args:
            guard: The guard.
            waiting: The requests that wait for its service, in queue order.
        """
        if self.leaving.costs is None or self.leaving.is_home(guard.record):
            return
        now = time.monotonic()
        for waiter in waiting:
            patience_s = self.leaving.patience_s(waiter.admitted.request)
            if waiter.slot.done() or now - waiter.since < patience_s:
                continue
            home = self.home_guards(waiter)
            is_candidate = guard in self.guards(waiter) and guard not in home
            if guard in waiter.offered_to or not is_candidate:
                continue
            if not self.leaving.may_offer(guard, waiter.rank, home):
                return
            self.leave(waiter, guard)

    def offer(self, waiter: Waiter, guard: GuardLink) -> None:
        """Offer a request to one guard."""
        waiter.offered_to.append(guard)
        self.limits.reserve(guard.record)
        guard.offer(waiter.name, waiter.precedence, waiter.demand)

    def offer_to_limited(self, waiter: Waiter) -> bool:
        """Offer a request to the guard of a limited upstream that has room.

        Returns:
            Whether such an upstream may be left for further requests.
        """
        guards = [
            guard
            for guard in self.guards(waiter)
            if self.limits.is_room_limited(guard.record)
        ]
        others = [guard for guard in guards if guard not in waiter.offered_to]
        if others:
            self.offer(waiter, others[0])
        return bool(guards)

    def log_queued(self, waiter: Waiter) -> None:
        """Log that a request waits, and what its waiting time depends on."""
        now = time.monotonic()
        ages = [now - guard.load_at for guard in waiter.offered_to]
        self.log.event(
            _events.REQUEST_QUEUED,
            request_id=waiter.admitted.request.request_id,
            service=waiter.admitted.service,
            rank=waiter.rank,
            is_late=waiter.precedence.is_late,
            is_long=waiter.demand.is_long,
            patience_ms=round(waiter.queue_timeout_s * MS_PER_S),
            ahead=self.ahead(waiter),
            guards=len(waiter.offered_to),
            load_age_ms=round(min(ages, default=0.0) * MS_PER_S),
        )
