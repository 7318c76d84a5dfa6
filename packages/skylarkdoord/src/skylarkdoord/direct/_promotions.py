"""Applies `TierShares` to an entry's waiting requests, with log lines and metrics."""

import time
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._metrics import PROMOTED
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._waiting import Waiter
from skylarkdoord.direct.shares import TIER_WINDOW_S, TierShares


class Promotions:
    """Promotes requests of the starved tiers of each service.

    Args:
        min_ratio: Lowest ratio of a tier's served share to that of its service.
        clock: Returns monotonic time in seconds.

    Attributes:
        services: Served shares by service.
        logged_at: Monotonic time of the last log line, in seconds, by service and tier.
    """

    def __init__(
        self, min_ratio: float, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.min_ratio = min_ratio
        self.clock = clock
        self.services: dict[str, TierShares] = {}
        self.logged_at: dict[tuple[str, int], float] = {}
        self.log = events.get_logger("direct.promotions")

    def shares(self, service: str) -> TierShares:
        """Return the served shares of a service's tiers."""
        shares = self.services.get(service)
        if shares is None:
            shares = TierShares(self.min_ratio, clock=self.clock)
            self.services[service] = shares
        return shares

    def precedence(self, service: str, own: Precedence, *, is_long: bool) -> Precedence:
        """Return the precedence with which a new request of a service is queued."""
        shares = self.shares(service)
        precedence = shares.promote(own, is_long=is_long)
        if precedence.tier != own.tier:
            PROMOTED.labels(service, str(own.tier)).inc()
            self.log_starved(service, own.tier, shares)
        return precedence

    def on_end(self, waiter: Waiter) -> None:
        """Record that a request no longer waits."""
        self.shares(waiter.admitted.service).record(
            waiter.admitted.rank,
            is_served=waiter.is_granted,
            is_promoted=waiter.is_promoted,
        )

    def log_starved(self, service: str, tier: int, shares: TierShares) -> None:
        """Log that a tier is starved, once within each window."""
        now = self.clock()
        if now - self.logged_at.get((service, tier), -TIER_WINDOW_S) < TIER_WINDOW_S:
            return
        self.logged_at[service, tier] = now
        self.log.event(
            _events.TIER_STARVED,
            service=service,
            rank=tier,
            ended=shares.tiers[tier].ended,
            served_share=round(shares.tiers[tier].share, 3),
            service_share=round(shares.total.share, 3),
        )
