"""Decides when each offer may go to the upstream."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Pool, ProcessSettings, Upstream
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.common import InternalServer, SettingsService
from skylarkdoord.sidecar import _metrics as metrics
from skylarkdoord.sidecar._admission import (
    FLOOR_S,
    TierFloor,
    is_hopeless,
    is_too_late,
)
from skylarkdoord.sidecar._drain_rate import DrainRate
from skylarkdoord.sidecar._estimates import Estimates
from skylarkdoord.sidecar._fairness import WaitingOffer
from skylarkdoord.sidecar._flights import Flights, Reserved
from skylarkdoord.sidecar._health import UpstreamWatch
from skylarkdoord.sidecar._ledger import GRANT_TIMEOUT_S, Ledger, Phase
from skylarkdoord.sidecar._limits import AdaptiveLimit, Targets
from skylarkdoord.sidecar._prefixes import HeldPrefixes
from skylarkdoord.sidecar._queue import OfferQueue

TICK_S = 0.1
LEAST_RETRY_AFTER_S = 1.0
MOST_RETRY_AFTER_S = 30.0
PREFILL_AHEAD_S = 0.25
STRAGGLER_SLOWDOWN = 2.0
MS_PER_S = 1000
WHOLE_OUTCOME = "status 2"

Sender = Callable[[pb.SidecarMessage], None]
Objector = Callable[[pb.Offer], "pb.RefusalReason | None"]


class Pending:
    """A grant for which no body has come yet.

    Args:
        waiting: The offer as it waited.
        expiry: Takes the grant back.
    """

    def __init__(self, waiting: WaitingOffer, expiry: asyncio.TimerHandle) -> None:
        self.waiting = waiting
        self.expiry = expiry
        self.granted_at = time.monotonic()


class Scheduler:
    """Queues offers, grants them when the upstream has room, and drains.

    Args:
        settings: Settings of this process.
    """

    name = "scheduler"
    requires: tuple[str, ...] = ("settings",)

    def __init__(self, settings: ProcessSettings) -> None:
        assert settings.upstream is not None
        self.settings = settings
        self.upstream: Upstream = settings.upstream
        self.ledger = Ledger(time.time_ns())
        self.queue = OfferQueue(limit=1)
        self.floor = TierFloor()
        self.drain_rate = DrainRate()
        self.estimates = Estimates()
        self.adaptive = AdaptiveLimit(1)
        self.prefixes = HeldPrefixes(0)
        self.flights = Flights(
            self.estimates, self.adaptive, on_computed=self.on_computed
        )
        self.senders: dict[str, Sender] = {}
        self.pending: dict[str, Pending] = {}
        self.objectors: list[Objector] = []
        self.leaving = False
        self.upstream_up = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.log = events.get_logger("sidecar.scheduler")

    async def start(self, kernel: Kernel) -> None:
        """Follow the pool's settings and the upstream's health."""
        self.settings_service = kernel.find("settings", SettingsService)
        self.settings_service.listeners.append(lambda subtree: self.apply_settings())
        internal = kernel.find("internal", InternalServer)
        internal.add_ready_check("upstream", lambda: self.upstream_up)
        internal.add_ready_check("leaving", lambda: not self.leaving)
        internal.add_status("scheduler", self.status)
        watch = UpstreamWatch(self.upstream.url, self.set_upstream)
        kernel.spawn(watch.run(), name="scheduler.health")
        kernel.spawn(self.tick_forever(), name="scheduler.tick")

    async def stop(self) -> None:
        """The drain has ended before."""

    @property
    def pool(self) -> Pool | None:
        """The settings of the upstream's pool, if it is defined."""
        return self.settings_service.view.fleet.pools.get(self.upstream.pool)

    @property
    def limit(self) -> int:
        """Most requests that may be granted or inside the upstream."""
        return self.adaptive.value

    @property
    def running(self) -> int:
        """Requests that take room: granted, accepted or dispatched."""
        return self.flights.running

    def status(self) -> dict[str, Any]:
        """Return what `/status` shows."""
        prefill, decode = self.estimates.speeds(self.running + 1)
        return {
            "pool": self.upstream.pool,
            "incarnation": self.ledger.incarnation,
            "leaving": self.leaving,
            "upstream_up": self.upstream_up,
            "limit": self.limit,
            "running": self.running,
            "waiting_by_tier": self.queue.waiting_by_tier(),
            "drain_per_second": self.drain_rate.per_s(),
            "prefill_tokens_per_second": prefill,
            "decode_tokens_per_second": decode,
            "slowdown": self.estimates.slowdown(),
        }

    def apply_settings(self) -> None:
        """Take over the pool's limits."""
        pool = self.pool
        if pool is None:
            return
        least = pool.min_running if pool.adaptive_limit else pool.max_running
        self.adaptive.configure(least=least, most=pool.max_running)
        self.queue.limit = pool.queue_limit
        self.prefixes.capacity_tokens = pool.cache_tokens
        self.pump()

    def connect(self, peer: str, sender: Sender) -> None:
        """Take messages for a stream that opened."""
        self.senders[peer] = sender

    def disconnect(self, peer: str) -> None:
        """Drop the offers of a stream that ended."""
        self.senders.pop(peer, None)
        for waiting in self.queue.of_peer(peer):
            self._forget(waiting.offer.request_id)

    def receive(self, offer: pb.Offer, peer: str) -> None:
        """Queue an offer or refuse it."""
        metrics.OFFERS.labels(str(offer.tier)).inc()
        reason = self.objection(offer)
        if reason is None and not self.ledger.wait(offer.request_id):
            reason = pb.REFUSAL_REASON_DUPLICATE
        if reason is not None:
            self.refuse(offer, peer, reason)
            return
        if self.enqueue(offer, peer):
            self.pump()
        else:
            self.ledger.release(offer.request_id)
            self.refuse(offer, peer, pb.REFUSAL_REASON_QUEUE_FULL)

    def enqueue(self, offer: pb.Offer, peer: str) -> bool:
        """Put an offer into the queue; returns whether there was room."""
        now = time.monotonic()
        if self.floor.keeps_out(offer.tier, now):
            return False
        cached = self.prefixes.cached_tokens(offer)
        added, displaced = self.queue.push(
            offer,
            peer=peer,
            now=now,
            work_s=self.service_s(offer, cached),
            hit_s=self.hit_s(offer, cached),
        )
        if displaced is not None:
            self.give_up(displaced, pb.REFUSAL_REASON_DISPLACED)
        if added:
            self.floor.check(offer.tier, now)
            self.drain_rate.note(now, departed=0, waiting=len(self.queue))
        return added

    def objection(self, offer: pb.Offer) -> "pb.RefusalReason | None":
        """Return why an offer may not wait here, if so."""
        if self.leaving:
            return pb.REFUSAL_REASON_LEAVING
        if not self.upstream_up or self.pool is None:
            return pb.REFUSAL_REASON_UPSTREAM_DOWN
        if offer.model and offer.model not in self.pool.models:
            return pb.REFUSAL_REASON_MODEL_ABSENT
        for objector in self.objectors:
            if (reason := objector(offer)) is not None:
                return reason
        service_s = self.service_s(offer, self.prefixes.cached_tokens(offer))
        if is_hopeless(
            remaining_s=offer.deadline_ms / MS_PER_S,
            wait_s=self.wait_s(offer.tier),
            service_s=service_s,
        ):
            return pb.REFUSAL_REASON_DEADLINE
        return None

    def service_s(self, offer: pb.Offer, cached: int) -> float:
        """Return the time that an offer is held to take, in seconds."""
        whole_s = self.estimates.service_s(offer, self.running + 1, cached=cached)
        return whole_s * self.estimates.confidence()

    def hit_s(self, offer: pb.Offer, cached: int) -> float:
        """Return the prefill that the cache is held to save, in seconds."""
        return cached * self.estimates.of_prefill(offer.model).token_s()

    def wait_s(self, tier: int) -> float:
        """Return how long a new offer of a tier is held to wait, in seconds."""
        if self.has_room():
            return 0.0
        return self.drain_rate.wait_s(self.queue.ahead_of(tier) + 1)

    def has_room(self) -> bool:
        """Return whether one more request may go to the upstream.

        The upstream computes prompts in order of arrival, so a prompt sent
        while others are still to be computed would only wait there, where
        tiers don't count.
        """
        if not self.upstream_up or self.running >= self.limit:
            return False
        return self.flights.prefill_s < PREFILL_AHEAD_S

    def withdraw(self, request_id: str) -> None:
        """Forget an offer or a grant that the entry gives back."""
        entry = self.ledger.find(request_id)
        if entry is not None and entry.phase in (Phase.WAITING, Phase.GRANTED):
            self._forget(request_id)
            self.pump()

    def pump(self) -> None:
        """Grant waiting offers while there is room."""
        self.drop_late()
        while len(self.queue) and self.has_room():
            waiting = self.queue.pop()
            self.drain_rate.note(time.monotonic(), departed=1, waiting=len(self.queue))
            self.grant(waiting)
        self.report()

    def drop_late(self) -> None:
        """Refuse the waiting offers that can't finish in time any more."""
        now = time.monotonic()
        while (waiting := self.queue.late(now)) is not None:
            self.queue.remove(waiting.offer.request_id)
            self.give_up(waiting, pb.REFUSAL_REASON_DEADLINE)

    def grant(self, waiting: WaitingOffer) -> None:
        """Reserve room for an offer and tell its entry."""
        offer = waiting.offer
        cached = self.prefixes.cached_tokens(offer)
        service_s = self.service_s(offer, cached)
        remaining_s = waiting.deadline_at - time.monotonic()
        if is_too_late(remaining_s=remaining_s, service_s=service_s):
            self.queue.refund(waiting)
            self.give_up(waiting, pb.REFUSAL_REASON_DEADLINE)
            return
        number = self.ledger.grant(offer.request_id)
        prefill_s = self.estimates.prefill_s(offer, cached=cached)
        self.flights.reserve(offer.request_id, Reserved(offer, cached, prefill_s))
        metrics.GRANTS.labels(str(offer.tier)).inc()
        expiry = asyncio.get_running_loop().call_later(
            GRANT_TIMEOUT_S, self.expire, offer.request_id, number
        )
        self.pending[offer.request_id] = Pending(waiting, expiry)
        message = pb.Grant(
            request_id=offer.request_id,
            grant=number,
            incarnation=self.ledger.incarnation,
            expires_ms=int(GRANT_TIMEOUT_S * MS_PER_S),
            cached_tokens=cached,
        )
        self.send(waiting.peer, pb.SidecarMessage(grant=message))

    def expire(self, request_id: str, number: int) -> None:
        """Take back a grant for which no body came."""
        entry = self.ledger.find(request_id)
        if entry is None or entry.phase is not Phase.GRANTED or entry.grant != number:
            return
        self.log.event(_events.GRANT_EXPIRED, request_id=request_id)
        self._forget(request_id)
        self.pump()

    def accept(self, request_id: str, grant: int, incarnation: int) -> None:
        """Take the body of a granted request.

        Raises:
            TransitionError: The grant is not in force here.
        """
        self.ledger.accept(request_id, grant, incarnation)
        pending = self.pending.pop(request_id, None)
        if pending is not None:
            pending.expiry.cancel()
        self.flights.start(request_id)

    def on_chunk(self, request_id: str, chunk: bytes) -> None:
        """Note a part of a streamed answer as it comes from the upstream."""
        flight = self.flights.flying.get(request_id)
        if flight is not None:
            flight.on_chunk(chunk)

    def finish(self, request_id: str, outcome: str) -> None:
        """Note the end of a dispatched request and use the room."""
        self.ledger.finish(request_id, outcome)
        flight = self.flights.flying.get(request_id)
        if flight is not None:
            flight.on_end(whole=outcome.startswith(WHOLE_OUTCOME))
        self.flights.release(request_id)
        self.pump()

    def tombstone(self, request_id: str) -> Phase:
        """Make sure that a request never starts here, if it has not."""
        phase = self.ledger.tombstone(request_id)
        if phase is Phase.TOMBSTONED:
            self._drop(request_id)
            self.log.event(_events.TOMBSTONED, request_id=request_id)
        self.pump()
        return phase

    def give_up(self, waiting: WaitingOffer, reason: "pb.RefusalReason") -> None:
        """Refuse an offer that had waited."""
        self.ledger.release(waiting.offer.request_id)
        self.refuse(waiting.offer, waiting.peer, reason)

    def refuse(self, offer: pb.Offer, peer: str, reason: "pb.RefusalReason") -> None:
        """Tell the entry that an offer is not taken and was not run."""
        name = pb.RefusalReason.Name(reason).removeprefix("REFUSAL_REASON_").lower()
        metrics.REFUSALS.labels(str(offer.tier), name).inc()
        refusal = pb.Refusal(
            request_id=offer.request_id,
            reason=reason,
            retry_after_ms=int(self.retry_after_s() * MS_PER_S),
        )
        if reason in (pb.REFUSAL_REASON_QUEUE_FULL, pb.REFUSAL_REASON_DISPLACED):
            self.floor.hold(offer.tier, time.monotonic())
            refusal.floor_ms = int(FLOOR_S * MS_PER_S)
        self.send(peer, pb.SidecarMessage(refusal=refusal))

    def retry_after_s(self) -> float:
        """Return when a refused caller may come back, in seconds."""
        wait_s = self.drain_rate.wait_s(len(self.queue))
        return min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s))

    def leave(self, reason: str) -> None:
        """Take no new work and hand back what waits."""
        if self.leaving:
            return
        self.leaving = True
        self.log.event(_events.DRAIN_STARTED, reason=reason, running=self.running)
        for peer in self.senders:
            self.send(peer, pb.SidecarMessage(leaving=pb.Leaving(reason=reason)))
        self.hand_back(pb.REFUSAL_REASON_LEAVING)

    def hand_back(self, reason: "pb.RefusalReason") -> None:
        """Refuse every waiting offer."""
        for waiting in self.queue.all():
            self.queue.remove(waiting.offer.request_id)
            self.give_up(waiting, reason)
        self.report()

    def load(self) -> pb.LoadReport:
        """Return the present load, as entries are told."""
        prefill, decode = self.estimates.speeds(self.running + 1)
        slowdown = self.estimates.slowdown()
        waiting = len(self.queue)
        room = self.limit - self.running - waiting if self.has_room() else 0
        return pb.LoadReport(
            running=self.running,
            limit=self.limit,
            waiting_by_tier=self.queue.waiting_by_tier(),
            prefill_tokens_per_second=prefill,
            decode_tokens_per_second=decode,
            drain_per_second=self.drain_rate.per_s(),
            backlog_seconds=self.drain_rate.wait_s(waiting),
            straggler=slowdown > STRAGGLER_SLOWDOWN,
            slowdown=slowdown,
            length_share=max(self.estimates.length_share.values(), default=1.0),
            room=max(0, room),
        )

    def send(self, peer: str, message: pb.SidecarMessage) -> None:
        """Send a message if the stream is still open."""
        sender = self.senders.get(peer)
        if sender is not None:
            sender(message)

    def report(self) -> None:
        """Bring the gauges and the idle flag up to date."""
        running = self.running
        metrics.RUNNING.set(running)
        metrics.WAITING.set(len(self.queue))
        if running:
            self.idle.clear()
        else:
            self.idle.set()

    async def tick_forever(self) -> None:
        """Adapt to what was measured, again and again."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Learn, adapt the limit and refuse what has become too late."""
        self.flights.tick()
        self.drain_rate.note(time.monotonic(), departed=0, waiting=len(self.queue))
        targets = self.targets()
        if targets is not None:
            least = [known.least_s() for known in self.estimates.decode.values()]
            self.adaptive.adapt(
                targets, alone_s=max(least, default=0.0), running=self.running
            )
        self.pump()
        self.report_estimates()

    def targets(self) -> Targets | None:
        """Return the strictest targets among the tiers inside the upstream."""
        inside = {held.offer.tier for held in self.flights.reserved.values()}
        tiers = self.settings_service.view.fleet.tiers.values()
        present = [tier for tier in tiers if tier.rank in inside]
        if not present:
            return None
        first_token_ms = min(tier.first_token_ms for tier in present)
        return Targets(
            first_token_ms / MS_PER_S * max(1.0, self.estimates.slowdown()),
            min(tier.inter_token_ms for tier in present) / MS_PER_S,
        )

    def report_estimates(self) -> None:
        """Bring the gauges of what was learned up to date."""
        prefill, decode = self.estimates.speeds(self.running + 1)
        metrics.LIMIT.set(self.limit)
        metrics.DRAIN_RATE.set(self.drain_rate.per_s())
        metrics.PREFILL_SPEED.set(prefill)
        metrics.DECODE_SPEED.set(decode)
        metrics.SLOWDOWN.set(self.estimates.slowdown())

    def on_computed(self, offer: pb.Offer) -> None:
        """Note a computed prompt, and use the room that it leaves."""
        self.prefixes.note(offer)
        self.pump()

    def set_upstream(self, up: bool) -> None:
        """Note whether the upstream answers; a dead one gets no offers."""
        if up == self.upstream_up:
            return
        self.upstream_up = up
        self.log.event(_events.UPSTREAM_UP if up else _events.UPSTREAM_DOWN)
        if up:
            self.pump()
        else:
            self.prefixes.clear()
            self.hand_back(pb.REFUSAL_REASON_UPSTREAM_DOWN)

    def _forget(self, request_id: str) -> None:
        self._drop(request_id)
        self.ledger.release(request_id)
        self.report()

    def _drop(self, request_id: str) -> None:
        if self.queue.remove(request_id) is not None:
            self.drain_rate.note(time.monotonic(), departed=1, waiting=len(self.queue))
        self.flights.release(request_id)
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return
        pending.expiry.cancel()
        self.queue.refund(pending.waiting)
        metrics.LOST_GRANTS.inc()
        metrics.LOST_GRANT_SECONDS.inc(time.monotonic() - pending.granted_at)
