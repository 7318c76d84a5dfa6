"""Queues offers and grants upstream slots to them."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Pool, ProcessSettings, Upstream
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.common import DrainState, InternalServer, SettingsService
from skylarkdoord.sidecar import _metrics as metrics
from skylarkdoord.sidecar._admission import (
    TierFloor,
    is_too_late,
    will_miss_deadline,
)
from skylarkdoord.sidecar._capacity import Capacity
from skylarkdoord.sidecar._entry_streams import EntryStreams, Sender
from skylarkdoord.sidecar._fairness import WaitingOffer
from skylarkdoord.sidecar._health import UpstreamWatch
from skylarkdoord.sidecar._ledger import GRANT_TIMEOUT_S, Ledger, Phase
from skylarkdoord.sidecar._messages import (
    FULL_REASONS,
    MS_PER_S,
    grant_message,
    held_message,
    leaving_message,
    reason_name,
    refusal_message,
)
from skylarkdoord.sidecar._pending import PendingGrant
from skylarkdoord.sidecar._queue import OfferQueue

TICK_INTERVAL_S = 0.1
# Outcomes of dispatched requests that received a complete 2xx response.
SUCCESS_OUTCOME_PREFIX = "status 2"

OfferCheck = Callable[[pb.Offer], "pb.RefusalReason | None"]


class Scheduler:
    """Queues offers and grants them while the upstream has free slots.

    An offer is an entry's request for a slot, without the request body. A grant
    reserves one slot; the entry then sends the body. When the sidecar begins to
    drain, all waiting offers are refused.

    Args:
        settings: Settings of this process.
    """

    name = "scheduler"
    requires: tuple[str, ...] = ("settings", "departure")

    def __init__(self, settings: ProcessSettings) -> None:
        assert settings.upstream is not None
        self.settings = settings
        self.upstream: Upstream = settings.upstream
        self.ledger = Ledger(time.time_ns())
        self.queue = OfferQueue(limit=1)
        self.floor = TierFloor()
        self.capacity = Capacity(on_prompt_computed=self.on_prompt_computed)
        self.streams = EntryStreams()
        self.pending: dict[str, PendingGrant] = {}
        self.drain_state = DrainState()
        self.offer_checks: list[OfferCheck] = []
        self.upstream_up = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.log = events.get_logger("sidecar.scheduler")

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to the pool's settings and start the upstream health checks."""
        self.settings_service = kernel.find("settings", SettingsService)
        self.settings_service.listeners.append(lambda subtree: self.apply_settings())
        internal = kernel.find("internal", InternalServer)
        internal.add_ready_check("upstream", lambda: self.upstream_up)
        self.drain_state = kernel.find("departure", DrainState)
        self.drain_state.listeners.append(self.on_departure)
        internal.add_status("scheduler", self.status)
        watch = UpstreamWatch(self.upstream.url, self.set_upstream)
        kernel.supervise(watch.run, name="scheduler.health")
        kernel.supervise(self.tick_forever, name="scheduler.tick")

    async def stop(self) -> None:
        """Do nothing: `Drain` has already drained the scheduler."""

    @property
    def pool(self) -> Pool | None:
        """Settings of the upstream's pool, or None if the pool is not defined."""
        return self.settings_service.view.fleet.pools.get(self.upstream.pool)

    @property
    def is_draining(self) -> bool:
        """Whether this sidecar is draining and refuses new offers."""
        return self.drain_state.is_draining

    @property
    def limit(self) -> int:
        """Maximum number of requests granted or running in the upstream."""
        return self.capacity.limit

    @property
    def running(self) -> int:
        """Number of requests that hold a slot: granted, accepted or dispatched."""
        return self.capacity.running

    def status(self) -> dict[str, Any]:
        """Return the scheduler's section of `/status`."""
        load = self.load()
        return {
            "pool": self.upstream.pool,
            "incarnation": self.ledger.incarnation,
            "leaving": self.is_draining,
            "upstream_up": self.upstream_up,
            "limit": load.limit,
            "running": load.running,
            "waiting_by_tier": list(load.waiting_by_tier),
            "drain_per_second": load.drain_per_second,
            "prefill_tokens_per_second": load.prefill_tokens_per_second,
            "decode_tokens_per_second": load.decode_tokens_per_second,
            "slowdown": load.slowdown,
        }

    def apply_settings(self) -> None:
        """Apply the limits of the pool's settings."""
        pool = self.pool
        if pool is None:
            return
        self.capacity.configure(pool)
        self.queue.limit = pool.queue_limit
        self.grant_waiting()

    def connect(self, peer: str, sender: Sender) -> None:
        """Register the sender of a stream that has opened."""
        self.streams.open(peer, sender)

    def disconnect(self, peer: str) -> None:
        """Drop the waiting offers of a stream that has ended."""
        self.streams.close(peer)
        for waiting in self.queue.of_peer(peer):
            self._remove(waiting.offer.request_id)

    def receive(self, offer: pb.Offer, peer: str) -> None:
        """Queue or refuse an offer."""
        metrics.OFFERS.labels(str(offer.tier)).inc()
        reason = self.refusal_reason(offer)
        if reason is None and not self.ledger.wait(offer.request_id):
            reason = pb.REFUSAL_REASON_DUPLICATE
        if reason is not None:
            self.refuse(offer, peer, reason)
            return
        if self.enqueue(offer, peer):
            self.grant_waiting()
        else:
            self.ledger.release(offer.request_id)
            self.refuse(offer, peer, pb.REFUSAL_REASON_QUEUE_FULL)

    def enqueue(self, offer: pb.Offer, peer: str) -> bool:
        """Add an offer to the queue; returns False if the offer must be refused."""
        now = time.monotonic()
        if self.floor.is_blocked(offer.tier, now):
            return False
        added, displaced = self.queue.push(
            offer,
            peer=peer,
            now=now,
            work_s=self.capacity.service_s(offer),
            saved_prefill_s=self.capacity.saved_prefill_s(offer),
        )
        if displaced is not None:
            self.refuse_waiting(displaced, pb.REFUSAL_REASON_DISPLACED)
        if added:
            self.floor.check(offer.tier, now)
            self.update_drain_rate()
        return added

    def refusal_reason(self, offer: pb.Offer) -> "pb.RefusalReason | None":
        """Return the reason to refuse an offer, None if it may be queued."""
        if self.is_draining:
            return pb.REFUSAL_REASON_LEAVING
        if not self.upstream_up or self.pool is None:
            return pb.REFUSAL_REASON_UPSTREAM_DOWN
        if offer.model and offer.model not in self.pool.models:
            return pb.REFUSAL_REASON_MODEL_ABSENT
        for check_offer in self.offer_checks:
            if (reason := check_offer(offer)) is not None:
                return reason
        if will_miss_deadline(
            remaining_s=offer.deadline_ms / MS_PER_S,
            wait_s=self.wait_s(offer.tier),
            service_s=self.capacity.service_s(offer),
        ):
            return pb.REFUSAL_REASON_DEADLINE
        return None

    def wait_s(self, tier: int) -> float:
        """Return the estimated queueing time of a new offer of a tier, in seconds."""
        if self.has_room():
            return 0.0
        return self.capacity.drain_rate.wait_s(self.queue.ahead_of(tier) + 1)

    def has_room(self) -> bool:
        """Return whether the upstream can take one more request."""
        return self.upstream_up and self.capacity.has_room()

    def update_drain_rate(self, *, departed: int = 0) -> None:
        """Update the drain rate with departures and the current queue length."""
        self.capacity.update_drain_rate(departed=departed, waiting=len(self.queue))

    def withdraw(self, request_id: str) -> None:
        """Remove an offer or grant that its entry has withdrawn."""
        record = self.ledger.find(request_id)
        if record is not None and record.phase in (Phase.WAITING, Phase.GRANTED):
            self._remove(request_id)
            self.grant_waiting()

    def grant_waiting(self) -> None:
        """Refuse late offers, then grant waiting offers while slots are free."""
        self.refuse_late()
        while len(self.queue) and self.has_room():
            waiting = self.queue.pop()
            self.update_drain_rate(departed=1)
            self.grant(waiting)
        self.report()

    def refuse_late(self) -> None:
        """Refuse the waiting offers that can no longer meet their deadline."""
        now = time.monotonic()
        while (waiting := self.queue.find_late(now)) is not None:
            self.queue.remove(waiting.offer.request_id)
            self.refuse_waiting(waiting, pb.REFUSAL_REASON_DEADLINE)

    def grant(self, waiting: WaitingOffer) -> None:
        """Reserve a slot for an offer and send the grant to its entry."""
        offer = waiting.offer
        self.drain_state.check_new_work(request_id=offer.request_id)
        service_s = self.capacity.service_s(offer)
        remaining_s = waiting.deadline_at - time.monotonic()
        if is_too_late(remaining_s=remaining_s, service_s=service_s):
            self.queue.refund(waiting)
            self.refuse_waiting(waiting, pb.REFUSAL_REASON_DEADLINE)
            return
        grant_number = self.ledger.grant(offer.request_id)
        reserved = self.capacity.reserve(offer)
        metrics.GRANTS.labels(str(offer.tier)).inc()
        expiry = asyncio.get_running_loop().call_later(
            GRANT_TIMEOUT_S, self.expire, offer.request_id, grant_number
        )
        self.pending[offer.request_id] = PendingGrant(waiting, expiry)
        message = grant_message(
            offer,
            grant_number,
            incarnation=self.ledger.incarnation,
            cached_tokens=reserved.cached,
        )
        self.streams.send(waiting.peer, message)

    def expire(self, request_id: str, grant_number: int) -> None:
        """Revoke a grant whose request body did not arrive in time."""
        record = self.ledger.find(request_id)
        if (
            record is None
            or record.phase is not Phase.GRANTED
            or record.grant != grant_number
        ):
            return
        self.log.event(_events.GRANT_EXPIRED, request_id=request_id)
        self._remove(request_id)
        self.grant_waiting()

    def accept(self, request_id: str, grant: int, incarnation: int) -> None:
        """Accept the body of a granted request.

        Raises:
            TransitionError: The grant is unknown, expired, replaced, or from
                another incarnation.
        """
        self.ledger.accept(request_id, grant, incarnation)
        pending = self.pending.pop(request_id, None)
        if pending is not None:
            pending.expiry.cancel()
        self.capacity.in_flight.start(request_id)

    def on_chunk(self, request_id: str, chunk: bytes) -> None:
        """Record the arrival of a chunk of a streamed response."""
        request = self.capacity.in_flight.dispatched.get(request_id)
        if request is not None:
            request.on_chunk(chunk)

    def finish(self, request_id: str, outcome: str) -> None:
        """Record the end of a dispatched request and reuse its slot."""
        self.ledger.finish(request_id, outcome)
        request = self.capacity.in_flight.dispatched.get(request_id)
        if request is not None:
            request.on_end(succeeded=outcome.startswith(SUCCESS_OUTCOME_PREFIX))
        self.capacity.in_flight.release(request_id)
        self.grant_waiting()

    def tombstone(self, request_id: str) -> Phase:
        """Prevent a request that has not been dispatched from ever being dispatched.

        Returns:
            `TOMBSTONED` if the request will never run here, otherwise the phase
            that it has reached.
        """
        phase = self.ledger.tombstone(request_id)
        if phase is Phase.TOMBSTONED:
            self._remove_pending(request_id)
            self.log.event(_events.TOMBSTONED, request_id=request_id)
        self.grant_waiting()
        return phase

    def refuse_waiting(self, waiting: WaitingOffer, reason: "pb.RefusalReason") -> None:
        """Refuse an offer that has been in the queue."""
        self.ledger.release(waiting.offer.request_id)
        self.refuse(waiting.offer, waiting.peer, reason)

    def refuse(self, offer: pb.Offer, peer: str, reason: "pb.RefusalReason") -> None:
        """Send a refusal to the entry; a refused request has not been run."""
        metrics.REFUSALS.labels(str(offer.tier), reason_name(reason)).inc()
        if reason in FULL_REASONS:
            self.floor.block_lower_tiers(offer.tier, time.monotonic())
        retry_after_s = self.capacity.retry_after_s(len(self.queue))
        self.streams.send(peer, refusal_message(offer, reason, retry_after_s))

    def on_departure(self, reason: str, is_draining: bool) -> None:
        """Report the start or end of draining to entries.

        When draining starts, all waiting offers are refused.
        """
        self.streams.send_all(leaving_message(reason, is_draining=is_draining))
        if is_draining:
            self.refuse_all(pb.REFUSAL_REASON_LEAVING)

    def refuse_all(self, reason: "pb.RefusalReason") -> None:
        """Refuse every waiting offer."""
        for waiting in self.queue.all():
            self.queue.remove(waiting.offer.request_id)
            self.refuse_waiting(waiting, reason)
        self.report()

    def load(self) -> pb.LoadReport:
        """Return the current load as reported to entries."""
        return self.capacity.load(
            self.queue.waiting_by_tier(), is_upstream_up=self.upstream_up
        )

    def report(self) -> None:
        """Update the gauges and the idle event."""
        running = self.running
        metrics.RUNNING.set(running)
        metrics.WAITING.set(len(self.queue))
        if running:
            self.idle.clear()
        else:
            self.idle.set()

    async def tick_forever(self) -> None:
        """Call `tick` at a fixed interval."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Update the estimates and the limit, then process the queue."""
        self.update_drain_rate()
        self.capacity.adapt(self.settings_service.view.fleet.tiers.values())
        self.grant_waiting()

    def on_prompt_computed(self, offer: pb.Offer) -> None:
        """Report a computed prompt to all entries and grant further offers."""
        if offer.prefix_hashes:
            self.streams.send_all(held_message(offer))
        self.grant_waiting()

    def set_upstream(self, up: bool) -> None:
        """Set whether the upstream is up.

        When it goes down, all waiting offers are refused.
        """
        if up == self.upstream_up:
            return
        self.upstream_up = up
        self.log.event(_events.UPSTREAM_UP if up else _events.UPSTREAM_DOWN)
        if up:
            self.grant_waiting()
        else:
            self.capacity.prefixes.clear()
            self.refuse_all(pb.REFUSAL_REASON_UPSTREAM_DOWN)

    def _remove(self, request_id: str) -> None:
        self._remove_pending(request_id)
        self.ledger.release(request_id)
        self.report()

    def _remove_pending(self, request_id: str) -> None:
        if self.queue.remove(request_id) is not None:
            self.update_drain_rate(departed=1)
        self.capacity.in_flight.release(request_id)
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return
        pending.expiry.cancel()
        self.queue.refund(pending.waiting)
        metrics.LOST_GRANTS.inc()
        metrics.LOST_GRANT_SECONDS.inc(time.monotonic() - pending.granted_at)
