"""Room inside the upstream, and what is known of its speed."""

import time
from collections.abc import Callable, Iterable

from skylarkdoor.settings import Pool, Tier
from skylarkdoor.wire import pb
from skylarkdoord.sidecar import _metrics as metrics
from skylarkdoord.sidecar._drain_rate import DrainRate
from skylarkdoord.sidecar._estimates import Estimates, Reserved
from skylarkdoord.sidecar._in_flight import Flights
from skylarkdoord.sidecar._limits import AdaptiveLimit, Targets
from skylarkdoord.sidecar._prefixes import HeldPrefixes

PREFILL_AHEAD_S = 0.25
STRAGGLER_SLOWDOWN = 2.0
LEAST_RETRY_AFTER_S = 1.0
MOST_RETRY_AFTER_S = 30.0
MS_PER_S = 1000


class Capacity:
    """Says how much the upstream takes, and learns from what it does.

    Args:
        on_computed: Called with each offer whose prompt has been computed.
    """

    def __init__(self, *, on_computed: Callable[[pb.Offer], None]) -> None:
        self.on_computed = on_computed
        self.drain_rate = DrainRate()
        self.estimates = Estimates()
        self.adaptive = AdaptiveLimit(1)
        self.prefixes = HeldPrefixes(0)
        self.flights = Flights(
            self.estimates, self.adaptive, on_computed=self.note_computed
        )

    @property
    def limit(self) -> int:
        """Most requests that may be granted or inside the upstream."""
        return self.adaptive.value

    @property
    def running(self) -> int:
        """Requests that take room: granted, accepted or dispatched."""
        return self.flights.running

    def configure(self, pool: Pool) -> None:
        """Take over a pool's limits."""
        least = pool.min_running if pool.adaptive_limit else pool.max_running
        self.adaptive.configure(least=least, most=pool.max_running)
        self.prefixes.capacity_tokens = pool.cache_tokens

    def has_room(self) -> bool:
        """Return whether one more request may go to the upstream.

        The upstream computes prompts in order of arrival, so a prompt sent
        while others are still to be computed would only wait there, where
        tiers don't count.
        """
        return self.running < self.limit and self.flights.prefill_s < PREFILL_AHEAD_S

    def service_s(self, offer: pb.Offer) -> float:
        """Return the time that an offer is held to take, in seconds."""
        cached = self.prefixes.cached_tokens(offer)
        whole_s = self.estimates.service_s(offer, self.running + 1, cached=cached)
        return whole_s * self.estimates.confidence()

    def hit_s(self, offer: pb.Offer) -> float:
        """Return the prefill that the cache is held to save, in seconds."""
        cached = self.prefixes.cached_tokens(offer)
        return cached * self.estimates.of_prefill(offer.model).token_s()

    def reserve(self, offer: pb.Offer) -> Reserved:
        """Hold room for a granted offer."""
        cached = self.prefixes.cached_tokens(offer)
        prefill_s = self.estimates.prefill_s(offer, cached=cached)
        reserved = Reserved(offer, cached, prefill_s)
        self.flights.reserve(offer.request_id, reserved)
        return reserved

    def note_queue(self, *, departed: int, waiting: int) -> None:
        """Note departures from the queue and how many offers wait."""
        self.drain_rate.note(time.monotonic(), departed=departed, waiting=waiting)

    def retry_after_s(self, waiting: int) -> float:
        """Return when a refused caller may come back, in seconds."""
        wait_s = self.drain_rate.wait_s(waiting)
        return min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s))

    def adapt(self, tiers: Iterable[Tier]) -> None:
        """Learn from what was measured since the last call, and move the limit."""
        self.flights.tick()
        targets = self._targets(tiers)
        if targets is not None:
            least = [known.least_s() for known in self.estimates.decode.values()]
            self.adaptive.adapt(
                targets, alone_s=max(least, default=0.0), running=self.running
            )
        self._report()

    def load(self, waiting_by_tier: list[int], *, open_: bool) -> pb.LoadReport:
        """Return the present load, as entries are told.

        Args:
            waiting_by_tier: Offers that wait, by rank.
            open_: Whether the upstream takes requests at all.
        """
        prefill, decode = self.estimates.speeds(self.running + 1)
        slowdown = self.estimates.slowdown()
        waiting = sum(waiting_by_tier)
        has_room = open_ and self.has_room()
        room = self.limit - self.running - waiting if has_room else 0
        return pb.LoadReport(
            running=self.running,
            limit=self.limit,
            waiting_by_tier=waiting_by_tier,
            prefill_tokens_per_second=prefill,
            decode_tokens_per_second=decode,
            drain_per_second=self.drain_rate.per_s(),
            backlog_seconds=self.drain_rate.wait_s(waiting),
            straggler=slowdown > STRAGGLER_SLOWDOWN,
            slowdown=slowdown,
            length_share=max(self.estimates.length_share.values(), default=1.0),
            room=max(0, room),
        )

    def note_computed(self, offer: pb.Offer) -> None:
        """Note a computed prompt and pass it on."""
        self.prefixes.note(offer)
        self.on_computed(offer)

    def _targets(self, tiers: Iterable[Tier]) -> Targets | None:
        inside = {held.offer.tier for held in self.flights.reserved.values()}
        present = [tier for tier in tiers if tier.rank in inside]
        if not present:
            return None
        first_token_ms = min(tier.first_token_ms for tier in present)
        return Targets(
            first_token_ms / MS_PER_S * max(1.0, self.estimates.slowdown()),
            min(tier.inter_token_ms for tier in present) / MS_PER_S,
        )

    def _report(self) -> None:
        prefill, decode = self.estimates.speeds(self.running + 1)
        metrics.LIMIT.set(self.limit)
        metrics.DRAIN_RATE.set(self.drain_rate.per_s())
        metrics.PREFILL_SPEED.set(prefill)
        metrics.DECODE_SPEED.set(decode)
        metrics.SLOWDOWN.set(self.estimates.slowdown())
