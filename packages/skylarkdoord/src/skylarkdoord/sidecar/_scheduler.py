"""Decides when each offer may go to the upstream."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from skylarkdoor import events
from skylarkdoor.hashing import prefix_marks
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Pool, ProcessSettings, Upstream
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.common import Departure, InternalServer, SettingsService
from skylarkdoord.sidecar import _metrics as metrics
from skylarkdoord.sidecar._admission import (
    FLOOR_S,
    TierFloor,
    is_hopeless,
    is_too_late,
)
from skylarkdoord.sidecar._capacity import Capacity
from skylarkdoord.sidecar._entry_streams import EntryStreams, Sender
from skylarkdoord.sidecar._fairness import WaitingOffer
from skylarkdoord.sidecar._health import UpstreamWatch
from skylarkdoord.sidecar._ledger import GRANT_TIMEOUT_S, Ledger, Phase
from skylarkdoord.sidecar._pending import Pending
from skylarkdoord.sidecar._queue import OfferQueue

TICK_S = 0.1
MS_PER_S = 1000
WHOLE_OUTCOME = "status 2"

Objector = Callable[[pb.Offer], "pb.RefusalReason | None"]


class Scheduler:
    """Queues offers, grants them when the upstream has room, and drains.

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
        self.capacity = Capacity(on_computed=self.on_computed)
        self.streams = EntryStreams()
        self.pending: dict[str, Pending] = {}
        self.departure = Departure()
        self.objectors: list[Objector] = []
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
        self.departure = kernel.find("departure", Departure)
        self.departure.listeners.append(self.on_departure)
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
    def leaving(self) -> bool:
        """Whether no new work is taken."""
        return self.departure.is_leaving

    @property
    def limit(self) -> int:
        """Most requests that may be granted or inside the upstream."""
        return self.capacity.limit

    @property
    def running(self) -> int:
        """Requests that take room: granted, accepted or dispatched."""
        return self.capacity.running

    def status(self) -> dict[str, Any]:
        """Return what `/status` shows."""
        load = self.load()
        return {
            "pool": self.upstream.pool,
            "incarnation": self.ledger.incarnation,
            "leaving": self.leaving,
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
        """Take over the pool's limits."""
        pool = self.pool
        if pool is None:
            return
        self.capacity.configure(pool)
        self.queue.limit = pool.queue_limit
        self.pump()

    def connect(self, peer: str, sender: Sender) -> None:
        """Take messages for a stream that opened."""
        self.streams.open(peer, sender)

    def disconnect(self, peer: str) -> None:
        """Drop the offers of a stream that ended."""
        self.streams.close(peer)
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
        added, displaced = self.queue.push(
            offer,
            peer=peer,
            now=now,
            work_s=self.capacity.service_s(offer),
            hit_s=self.capacity.hit_s(offer),
        )
        if displaced is not None:
            self.give_up(displaced, pb.REFUSAL_REASON_DISPLACED)
        if added:
            self.floor.check(offer.tier, now)
            self.note_queue()
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
        if is_hopeless(
            remaining_s=offer.deadline_ms / MS_PER_S,
            wait_s=self.wait_s(offer.tier),
            service_s=self.capacity.service_s(offer),
        ):
            return pb.REFUSAL_REASON_DEADLINE
        return None

    def wait_s(self, tier: int) -> float:
        """Return how long a new offer of a tier is held to wait, in seconds."""
        if self.has_room():
            return 0.0
        return self.capacity.drain_rate.wait_s(self.queue.ahead_of(tier) + 1)

    def has_room(self) -> bool:
        """Return whether one more request may go to the upstream."""
        return self.upstream_up and self.capacity.has_room()

    def note_queue(self, *, departed: int = 0) -> None:
        """Let the drain rate know of departures and of what still waits."""
        self.capacity.note_queue(departed=departed, waiting=len(self.queue))

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
            self.note_queue(departed=1)
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
        self.departure.check_new_work(request_id=offer.request_id)
        service_s = self.capacity.service_s(offer)
        remaining_s = waiting.deadline_at - time.monotonic()
        if is_too_late(remaining_s=remaining_s, service_s=service_s):
            self.queue.refund(waiting)
            self.give_up(waiting, pb.REFUSAL_REASON_DEADLINE)
            return
        number = self.ledger.grant(offer.request_id)
        reserved = self.capacity.reserve(offer)
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
            cached_tokens=reserved.cached,
        )
        self.streams.send(waiting.peer, pb.SidecarMessage(grant=message))

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
        self.capacity.flights.start(request_id)

    def on_chunk(self, request_id: str, chunk: bytes) -> None:
        """Note a part of a streamed answer as it comes from the upstream."""
        flight = self.capacity.flights.flying.get(request_id)
        if flight is not None:
            flight.on_chunk(chunk)

    def finish(self, request_id: str, outcome: str) -> None:
        """Note the end of a dispatched request and use the room."""
        self.ledger.finish(request_id, outcome)
        flight = self.capacity.flights.flying.get(request_id)
        if flight is not None:
            flight.on_end(whole=outcome.startswith(WHOLE_OUTCOME))
        self.capacity.flights.release(request_id)
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
            retry_after_ms=int(self.capacity.retry_after_s(len(self.queue)) * MS_PER_S),
        )
        if reason in (pb.REFUSAL_REASON_QUEUE_FULL, pb.REFUSAL_REASON_DISPLACED):
            self.floor.hold(offer.tier, time.monotonic())
            refusal.floor_ms = int(FLOOR_S * MS_PER_S)
        self.streams.send(peer, pb.SidecarMessage(refusal=refusal))

    def on_departure(self, reason: str, leaving: bool) -> None:
        """Hand back what waits when leaving; tell the entries either way."""
        message = pb.Leaving(reason=reason, ended=not leaving)
        self.streams.send_all(pb.SidecarMessage(leaving=message))
        if leaving:
            self.hand_back(pb.REFUSAL_REASON_LEAVING)

    def hand_back(self, reason: "pb.RefusalReason") -> None:
        """Refuse every waiting offer."""
        for waiting in self.queue.all():
            self.queue.remove(waiting.offer.request_id)
            self.give_up(waiting, reason)
        self.report()

    def load(self) -> pb.LoadReport:
        """Return the present load, as entries are told."""
        return self.capacity.load(self.queue.waiting_by_tier(), open_=self.upstream_up)

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
        self.note_queue()
        self.capacity.adapt(self.settings_service.view.fleet.tiers.values())
        self.pump()

    def on_computed(self, offer: pb.Offer) -> None:
        """Tell every entry of a computed prompt, and use the room that it leaves."""
        if offer.prefix_hashes:
            marks = prefix_marks(offer.prefix_hashes)
            held = pb.SidecarMessage(held=pb.Held(model=offer.model, marks=marks))
            self.streams.send_all(held)
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
            self.capacity.prefixes.clear()
            self.hand_back(pb.REFUSAL_REASON_UPSTREAM_DOWN)

    def _forget(self, request_id: str) -> None:
        self._drop(request_id)
        self.ledger.release(request_id)
        self.report()

    def _drop(self, request_id: str) -> None:
        if self.queue.remove(request_id) is not None:
            self.note_queue(departed=1)
        self.capacity.flights.release(request_id)
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return
        pending.expiry.cancel()
        self.queue.refund(pending.waiting)
        metrics.LOST_GRANTS.inc()
        metrics.LOST_GRANT_SECONDS.inc(time.monotonic() - pending.granted_at)
