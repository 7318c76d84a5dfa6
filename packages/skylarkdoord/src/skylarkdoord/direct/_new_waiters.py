"""Creates the queue entries of requests that begin to wait for a slot."""

import asyncio
import itertools
import time

from skylarkdoord.direct._lengths import AnswerLengths
from skylarkdoord.direct._model import Admitted, FleetConfig, Precedence
from skylarkdoord.direct._promotions import Promotions
from skylarkdoord.direct._queue_timeouts import QueueTimeouts
from skylarkdoord.direct._settings import ShareSettings
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct._waiting import Waiter
from skylarkdoord.direct.shares import CustomerWeights, Demand

# Largest number of tokens in an offer; callers may state any.
MAX_TOKENS = 2**32 - 1


class NewWaiters:
    """Decides with which precedence, demand and timeout a request waits.

    Args:
        upstreams: The upstreams in use.
        shares: How slots are shared while requests wait for them; None for strict
            tiers.

    Attributes:
        timeouts: How long requests may wait.
        lengths: Answer lengths that callers expect.
        promotions: Promotes requests of starved tiers; None for strict tiers.
    """

    def __init__(self, upstreams: Upstreams, shares: ShareSettings | None) -> None:
        self.upstreams = upstreams
        self.shares = shares
        self.timeouts = QueueTimeouts(upstreams.average_first_byte_s)
        self.lengths = AnswerLengths()
        self.weights = CustomerWeights(self.config)
        self.promotions = Promotions(shares.min_tier_ratio) if shares else None
        self.numbers = itertools.count()

    def new(self, admitted: Admitted, excluded: frozenset[str]) -> Waiter:
        """Return the queue entry of a request that starts to wait now."""
        now = time.monotonic()
        is_long = self.lengths.is_long(admitted)
        own = Precedence(admitted.rank, is_late=self.timeouts.is_late(admitted, now))
        precedence = own
        if self.promotions is not None:
            precedence = self.promotions.precedence(
                admitted.service, own, is_long=is_long
            )
        is_promoted = precedence.tier != own.tier
        return Waiter(
            precedence=precedence,
            number=next(self.numbers),
            admitted=admitted,
            excluded=excluded,
            since=now,
            queue_timeout_s=self.timeouts.timeout_s(admitted, now),
            slot=asyncio.get_running_loop().create_future(),
            is_promoted=is_promoted,
            demand=self.demand(admitted, is_long=is_long and not is_promoted),
        )

    def late(self, waiter: Waiter) -> Waiter:
        """Return the queue entry of a request that goes on waiting past its target.

        It has another name than the former one, so that a grant to that one that is
        still on its way is returned.
        """
        now = time.monotonic()
        return Waiter(
            precedence=waiter.precedence._replace(
                tier=waiter.admitted.rank, is_late=True
            ),
            number=next(self.numbers),
            admitted=waiter.admitted,
            excluded=waiter.excluded,
            since=now,
            queue_timeout_s=self.timeouts.late_timeout_s(waiter.admitted, now),
            slot=asyncio.get_running_loop().create_future(),
            versions=waiter.versions,
            is_bound=waiter.is_bound,
            demand=waiter.demand,
        )

    def demand(self, admitted: Admitted, *, is_long: bool = False) -> Demand:
        """Return what a request takes of an engine, and on whose account."""
        request, customer = admitted.request, admitted.customer
        demand = Demand(
            is_long=is_long, expected_tokens=min(request.answer_tokens, MAX_TOKENS)
        )
        if self.shares is None:
            return demand
        demand = demand._replace(
            prompt_tokens=min(request.prompt_tokens, MAX_TOKENS),
            max_tokens=min(request.max_tokens, MAX_TOKENS),
        )
        if not self.shares.customers:
            return demand
        # Customers take turns instead of lengths.
        return demand._replace(
            is_long=False,
            customer=customer.name if customer else "",
            weight=self.weights.weight(customer),
        )

    def on_end(self, waiter: Waiter) -> None:
        """Record that a request no longer waits."""
        if self.promotions is not None:
            self.promotions.on_end(waiter)

    def config(self) -> FleetConfig | None:
        """Return the configuration in force."""
        routing = self.upstreams.fleet.routing
        return routing.config if routing else None
