"""Tracks the upstream's free slots and estimates its speed."""

import time
from collections.abc import Callable, Iterable

from skylarkdoor.settings import Pool, Tier
from skylarkdoor.wire import pb
from skylarkdoord.sidecar import _metrics as metrics
from skylarkdoord.sidecar._drain_rate import DrainRate
from skylarkdoord.sidecar._estimates import Estimates, Reservation
from skylarkdoord.sidecar._in_flight import InFlightRequests
from skylarkdoord.sidecar._limits import AdaptiveLimit, Targets
from skylarkdoord.sidecar._prefixes import CachedPrefixes

# No grant is given while more prefill than this is outstanding.
MAX_PENDING_PREFILL_S = 0.25
STRAGGLER_SLOWDOWN = 2.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
MS_PER_S = 1000


class Capacity:
    """Limits the load on the upstream according to its measured speed.

    Args:
        on_prompt_computed: Called with each offer whose prompt has been computed.
    """

    def __init__(self, *, on_prompt_computed: Callable[[pb.Offer], None]) -> None:
        self.on_prompt_computed = on_prompt_computed
        self.drain_rate = DrainRate()
        self.estimates = Estimates()
        self.adaptive = AdaptiveLimit(1)
        self.prefixes = CachedPrefixes(0)
        self.in_flight = InFlightRequests(
            self.estimates,
            self.adaptive,
            on_prompt_computed=self.record_prompt_computed,
        )

    @property
    def limit(self) -> int:
        """Maximum number of requests granted or running in the upstream."""
        return self.adaptive.value

    @property
    def running(self) -> int:
        """Number of requests that hold a slot: granted, accepted or dispatched."""
        return self.in_flight.running

    def configure(self, pool: Pool) -> None:
        """Apply the limits of a pool's settings."""
        lower_bound = pool.min_running if pool.adaptive_limit else pool.max_running
        self.adaptive.configure(lower_bound=lower_bound, upper_bound=pool.max_running)
        self.prefixes.capacity_tokens = pool.cache_tokens

    def has_room(self) -> bool:
        """Return whether the upstream can take one more request.

        The upstream computes prompts in order of arrival. A request sent while
        other prompts are outstanding would wait there without regard to tiers,
        so it is kept in the sidecar's queue.
        """
        return (
            self.running < self.limit
            and self.in_flight.prefill_s < MAX_PENDING_PREFILL_S
        )

    def service_s(self, offer: pb.Offer) -> float:
        """Return the estimated service time of an offer, in seconds.

        It is scaled by the confidence in the estimates.
        """
        cached = self.prefixes.cached_tokens(offer)
        response_s = self.estimates.service_s(offer, self.running + 1, cached=cached)
        return response_s * self.estimates.confidence()

    def saved_prefill_s(self, offer: pb.Offer) -> float:
        """Return the estimated prefill time saved by the prefix cache, in seconds."""
        cached = self.prefixes.cached_tokens(offer)
        return cached * self.estimates.of_prefill(offer.model).token_s()

    def reserve(self, offer: pb.Offer) -> Reservation:
        """Reserve a slot for a granted offer."""
        cached = self.prefixes.cached_tokens(offer)
        prefill_s = self.estimates.prefill_s(offer, cached=cached)
        reserved = Reservation(offer, cached, prefill_s)
        self.in_flight.reserve(offer.request_id, reserved)
        return reserved

    def update_drain_rate(self, *, departed: int, waiting: int) -> None:
        """Update the drain rate with departures and the number of waiting offers."""
        self.drain_rate.record(time.monotonic(), departed=departed, waiting=waiting)

    def retry_after_s(self, waiting: int) -> float:
        """Return the retry delay for a refused caller, in seconds."""
        wait_s = self.drain_rate.wait_s(waiting)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def adapt(self, tiers: Iterable[Tier]) -> None:
        """Update the estimates from new measurements and adjust the limit."""
        self.in_flight.tick()
        targets = self._targets(tiers)
        if targets is not None:
            fastest = [
                estimate.min_token_s() for estimate in self.estimates.decode.values()
            ]
            self.adaptive.adapt(
                targets, unloaded_gap_s=max(fastest, default=0.0), running=self.running
            )
        self._report()

    def load(
        self, waiting_by_tier: list[int], *, is_upstream_up: bool
    ) -> pb.LoadReport:
        """Return the current load as reported to entries.

        Args:
            waiting_by_tier: Number of waiting offers by rank.
            is_upstream_up: Whether the upstream is up.
        """
        prefill, decode = self.estimates.speeds(self.running + 1)
        slowdown = self.estimates.slowdown()
        waiting = sum(waiting_by_tier)
        has_room = is_upstream_up and self.has_room()
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

    def record_prompt_computed(self, offer: pb.Offer) -> None:
        """Record a computed prompt and call `on_prompt_computed`."""
        self.prefixes.add(offer)
        self.on_prompt_computed(offer)

    def _targets(self, tiers: Iterable[Tier]) -> Targets | None:
        ranks = {item.offer.tier for item in self.in_flight.reservations.values()}
        present = [tier for tier in tiers if tier.rank in ranks]
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
