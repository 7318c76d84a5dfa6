"""Decides when each offer may go to the upstream."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from prometheus_client import Counter, Gauge

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Pool, ProcessSettings, Upstream
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.common import Departure, InternalServer, SettingsService
from skylarkdoord.sidecar._ledger import GRANT_TIMEOUT_S, Ledger, Phase
from skylarkdoord.sidecar._queue import OfferQueue, WaitingOffer

HEALTH_INTERVAL_S = 0.5
HEALTH_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
MS_PER_S = 1000

OFFERS = Counter("skylarkdoor_sidecar_offers_total", "Offers received.", ["tier"])
GRANTS = Counter("skylarkdoor_sidecar_grants_total", "Grants given.", ["tier"])
REFUSALS = Counter("skylarkdoor_sidecar_refusals_total", "Offers refused.", ["reason"])
WAITING = Gauge("skylarkdoor_sidecar_waiting", "Offers that wait.")
RUNNING = Gauge("skylarkdoor_sidecar_running", "Requests granted or in the upstream.")

Sender = Callable[[pb.SidecarMessage], None]


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
        self.senders: dict[str, Sender] = {}
        self.expiries: dict[str, asyncio.TimerHandle] = {}
        self.limit = 1
        self.departure = Departure()
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
        kernel.spawn(self.watch_upstream(), name="scheduler.health")

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
    def running(self) -> int:
        """Requests that take room: granted, accepted or dispatched."""
        return self.ledger.count(Phase.GRANTED, Phase.ACCEPTED, Phase.DISPATCHED)

    def status(self) -> dict[str, Any]:
        """Return what `/status` shows."""
        return {
            "pool": self.upstream.pool,
            "incarnation": self.ledger.incarnation,
            "leaving": self.leaving,
            "upstream_up": self.upstream_up,
            "limit": self.limit,
            "running": self.running,
            "waiting_by_tier": self.queue.waiting_by_tier(),
        }

    def apply_settings(self) -> None:
        """Take over the pool's limits."""
        if self.pool is None:
            return
        self.limit = self.pool.max_running
        self.queue.limit = self.pool.queue_limit
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
        OFFERS.labels(str(offer.tier)).inc()
        reason = self.objection(offer)
        if reason is None and not self.ledger.wait(offer.request_id):
            reason = pb.REFUSAL_REASON_DUPLICATE
        if reason is not None:
            self.refuse(offer.request_id, peer, reason)
            return
        added, displaced = self.queue.push(offer, peer=peer, now=time.monotonic())
        if displaced is not None:
            self.ledger.release(displaced.offer.request_id)
            self.refuse(
                displaced.offer.request_id, displaced.peer, pb.REFUSAL_REASON_DISPLACED
            )
        if not added:
            self.ledger.release(offer.request_id)
            self.refuse(offer.request_id, peer, pb.REFUSAL_REASON_QUEUE_FULL)
            return
        self.pump()

    def objection(self, offer: pb.Offer) -> "pb.RefusalReason | None":
        """Return why an offer may not wait here, if so."""
        if self.leaving:
            return pb.REFUSAL_REASON_LEAVING
        if not self.upstream_up or self.pool is None:
            return pb.REFUSAL_REASON_UPSTREAM_DOWN
        if offer.model and offer.model not in self.pool.models:
            return pb.REFUSAL_REASON_MODEL_ABSENT
        return None

    def withdraw(self, request_id: str) -> None:
        """Forget an offer or a grant that the entry gives back."""
        entry = self.ledger.find(request_id)
        if entry is not None and entry.phase in (Phase.WAITING, Phase.GRANTED):
            self._forget(request_id)
            self.pump()

    def pump(self) -> None:
        """Grant waiting offers while there is room."""
        now = time.monotonic()
        while len(self.queue) and self.running < self.limit and self.upstream_up:
            waiting = self.queue.pop()
            if waiting.deadline_at <= now:
                self.give_up(waiting, pb.REFUSAL_REASON_DEADLINE)
                continue
            self.grant(waiting)
        self.report()

    def grant(self, waiting: WaitingOffer) -> None:
        """Reserve room for an offer and tell its entry."""
        request_id = waiting.offer.request_id
        self.departure.check_new_work(request_id=request_id)
        number = self.ledger.grant(request_id)
        GRANTS.labels(str(waiting.offer.tier)).inc()
        loop = asyncio.get_running_loop()
        self.expiries[request_id] = loop.call_later(
            GRANT_TIMEOUT_S, self.expire, request_id, number
        )
        message = pb.Grant(
            request_id=request_id,
            grant=number,
            incarnation=self.ledger.incarnation,
            expires_ms=int(GRANT_TIMEOUT_S * MS_PER_S),
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
        self._cancel_expiry(request_id)
        self.report()

    def finish(self, request_id: str, outcome: str) -> None:
        """Note the end of a dispatched request and use the room."""
        self.ledger.finish(request_id, outcome)
        self.pump()

    def tombstone(self, request_id: str) -> Phase:
        """Make sure that a request never starts here, if it has not."""
        self.queue.remove(request_id)
        self._cancel_expiry(request_id)
        phase = self.ledger.tombstone(request_id)
        if phase is Phase.TOMBSTONED:
            self.log.event(_events.TOMBSTONED, request_id=request_id)
        self.pump()
        return phase

    def give_up(self, waiting: WaitingOffer, reason: "pb.RefusalReason") -> None:
        """Refuse an offer that had waited."""
        self.ledger.release(waiting.offer.request_id)
        self.refuse(waiting.offer.request_id, waiting.peer, reason)

    def refuse(self, request_id: str, peer: str, reason: "pb.RefusalReason") -> None:
        """Tell the entry that an offer is not taken and was not run."""
        REFUSALS.labels(pb.RefusalReason.Name(reason)).inc()
        retry_after_ms = int(DEFAULT_RETRY_AFTER_S * MS_PER_S)
        refusal = pb.Refusal(
            request_id=request_id, reason=reason, retry_after_ms=retry_after_ms
        )
        self.send(peer, pb.SidecarMessage(refusal=refusal))

    def on_departure(self, reason: str, leaving: bool) -> None:
        """Hand back what waits when leaving; tell the entries either way."""
        message = pb.Leaving(reason=reason, ended=not leaving)
        for peer in self.senders:
            self.send(peer, pb.SidecarMessage(leaving=message))
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
        return pb.LoadReport(
            running=self.running,
            limit=self.limit,
            waiting_by_tier=self.queue.waiting_by_tier(),
        )

    def send(self, peer: str, message: pb.SidecarMessage) -> None:
        """Send a message if the stream is still open."""
        sender = self.senders.get(peer)
        if sender is not None:
            sender(message)

    def report(self) -> None:
        """Bring the gauges and the idle flag up to date."""
        running = self.running
        RUNNING.set(running)
        WAITING.set(len(self.queue))
        if running:
            self.idle.clear()
        else:
            self.idle.set()

    async def watch_upstream(self) -> None:
        """Ask the upstream for its health again and again."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self.set_upstream(await self._healthy(session))
                await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _healthy(self, session: aiohttp.ClientSession) -> bool:
        try:
            async with session.get(f"{self.upstream.url}/health") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def set_upstream(self, up: bool) -> None:
        """Note whether the upstream answers; a dead one gets no offers."""
        if up == self.upstream_up:
            return
        self.upstream_up = up
        self.log.event(_events.UPSTREAM_UP if up else _events.UPSTREAM_DOWN)
        if up:
            self.pump()
        else:
            self.hand_back(pb.REFUSAL_REASON_UPSTREAM_DOWN)

    def _forget(self, request_id: str) -> None:
        self.queue.remove(request_id)
        self._cancel_expiry(request_id)
        self.ledger.release(request_id)
        self.report()

    def _cancel_expiry(self, request_id: str) -> None:
        handle = self.expiries.pop(request_id, None)
        if handle is not None:
            handle.cancel()
