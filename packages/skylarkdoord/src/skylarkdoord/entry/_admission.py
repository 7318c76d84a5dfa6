"""What an entry takes in: customers' limits and bounds on what waits."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from prometheus_client import Counter, Gauge

from skylarkdoor import invariants
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Customer, ProcessSettings
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.exceptions import RefusedError

BURST_S = 2.0
CONCURRENCY_RETRY_AFTER_S = 1.0
OVERLOADED_RETRY_AFTER_S = 1.0
MAX_IDLE_CUSTOMERS = 4096
RETRIES_PER_REQUEST = 0.2
MOST_SAVED_RETRIES = 100.0

LOWEST_FIRST = invariants.define(
    "lowest_first",
    "An entry sheds no request while one of a lower tier waits in it.",
)
LIMITED = Counter(
    "skylarkdoor_entry_limited_total",
    "Requests refused by a customer's limits.",
    ["customer", "limit"],
)
SHED = Counter(
    "skylarkdoor_entry_shed_total", "Requests shed because too much waits.", ["tier"]
)
WAITING = Gauge("skylarkdoor_entry_waiting", "Requests not yet dispatched.")
WAITING_BYTES = Gauge(
    "skylarkdoor_entry_waiting_bytes", "Bytes of the bodies of those requests."
)
NO_RETRY = Counter(
    "skylarkdoor_entry_retries_refused_total",
    "Retries that the retry budget did not allow.",
)


class TokenBucket:
    """A rate with a burst of `BURST_S`; one large take may leave it in debt."""

    def __init__(self) -> None:
        self.level = 0.0
        self.at: float | None = None

    def wait_s(self, rate: float, now: float) -> float:
        """Return how long until something may be taken, 0 for at once."""
        burst = max(1.0, rate * BURST_S)
        if self.at is None:
            self.level = burst
        else:
            self.level = min(burst, self.level + (now - self.at) * rate)
        self.at = now
        return max(0.0, (1 - self.level) / rate)

    def take(self, amount: float) -> None:
        """Take an amount."""
        self.level -= amount


class CustomerUse:
    """What one customer uses of its limits."""

    def __init__(self) -> None:
        self.active = 0
        self.requests = TokenBucket()
        self.tokens = TokenBucket()


class CustomerLimits:
    """Concurrency, requests and tokens of each customer through this entry."""

    def __init__(self) -> None:
        self.uses: dict[tuple[str, str], CustomerUse] = {}

    @contextmanager
    def admit(self, request: EntryRequest) -> Iterator[None]:
        """Count a request while it is served.

        Raises:
            RefusedError: A limit of its customer is reached.
        """
        resolved = request.resolved
        use = self._use((resolved.team, resolved.customer_name))
        self._check(use, resolved.customer, resolved.customer_name)
        use.requests.take(1)
        use.tokens.take(request.prompt_tokens + request.max_tokens)
        use.active += 1
        try:
            yield
        finally:
            use.active -= 1

    def _check(self, use: CustomerUse, customer: Customer, name: str) -> None:
        now = time.monotonic()
        if customer.max_concurrent and use.active >= customer.max_concurrent:
            raise _limited(name, "concurrency", CONCURRENCY_RETRY_AFTER_S)
        if customer.requests_per_s:
            wait_s = use.requests.wait_s(customer.requests_per_s, now)
            if wait_s:
                raise _limited(name, "requests", wait_s)
        if customer.tokens_per_s:
            wait_s = use.tokens.wait_s(customer.tokens_per_s, now)
            if wait_s:
                raise _limited(name, "tokens", wait_s)

    def _use(self, key: tuple[str, str]) -> CustomerUse:
        use = self.uses.get(key)
        if use is None:
            if len(self.uses) >= MAX_IDLE_CUSTOMERS:
                self._forget_idle()
            use = self.uses[key] = CustomerUse()
        return use

    def _forget_idle(self) -> None:
        self.uses = {key: use for key, use in self.uses.items() if use.active}


def _limited(customer: str, limit: str, retry_after_s: float) -> RefusedError:
    LIMITED.labels(customer, limit).inc()
    return RefusedError(
        f"{limit}_limited",
        f"the customer's limit of {limit} is reached",
        retry_after_s=retry_after_s,
    )


class Waiter(NamedTuple):
    """A request that waits.

    Attributes:
        size: Bytes of its body.
        shed: Ends its wait with a refusal.
    """

    size: int
    shed: Callable[[], None]


class WaitingRoom:
    """Bounds what waits in an entry by count and bytes.

    Args:
        max_count: Most requests that wait.
        max_bytes: Most bytes of their bodies.
    """

    def __init__(self, *, max_count: int, max_bytes: int) -> None:
        self.max_count = max_count
        self.max_bytes = max_bytes
        self.tiers: dict[int, dict[str, Waiter]] = {}
        self.count = 0
        self.bytes = 0

    @contextmanager
    def join(self, request: EntryRequest, shed: Callable[[], None]) -> Iterator[None]:
        """Let a request wait, shedding newer ones of lower tiers if need be.

        Args:
            request: The request.
            shed: Ends its wait with a refusal; called at most once.

        Raises:
            RefusedError: There is no room and nothing lower waits.
        """
        tier = request.resolved.tier.rank
        size = len(request.body)
        while not self._fits(size):
            if not self._shed_below(tier):
                raise self._refusal(tier)
        self._add(tier, request.request_id, Waiter(size, shed))
        try:
            yield
        finally:
            self._remove(tier, request.request_id)

    def _fits(self, size: int) -> bool:
        return self.count < self.max_count and self.bytes + size <= self.max_bytes

    def _shed_below(self, tier: int) -> bool:
        lowest = max(self.tiers, default=tier)
        if lowest <= tier:
            return False
        request_id, waiter = next(reversed(self.tiers[lowest].items()))
        SHED.labels(str(lowest)).inc()
        self._remove(lowest, request_id)
        waiter.shed()
        return True

    def _refusal(self, tier: int) -> RefusedError:
        lowest = max(self.tiers, default=tier)
        invariants.check(LOWEST_FIRST, lowest <= tier, tier=tier, lowest=lowest)
        SHED.labels(str(tier)).inc()
        return RefusedError(
            "overloaded",
            "too much waits in this entry",
            retry_after_s=OVERLOADED_RETRY_AFTER_S,
        )

    def _add(self, tier: int, request_id: str, waiter: Waiter) -> None:
        self.tiers.setdefault(tier, {})[request_id] = waiter
        self._count(1, waiter.size)

    def _remove(self, tier: int, request_id: str) -> None:
        waiters = self.tiers.get(tier, {})
        waiter = waiters.pop(request_id, None)
        if waiter is None:
            return
        if not waiters:
            del self.tiers[tier]
        self._count(-1, -waiter.size)

    def _count(self, requests: int, size: int) -> None:
        self.count += requests
        self.bytes += size
        WAITING.set(self.count)
        WAITING_BYTES.set(self.bytes)


class RetryBudget:
    """Bounds retries to a share of the requests, so that they don't multiply."""

    def __init__(self) -> None:
        self.saved = MOST_SAVED_RETRIES

    def deposit(self) -> None:
        """Note a request."""
        self.saved = min(MOST_SAVED_RETRIES, self.saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        if self.saved < 1:
            NO_RETRY.inc()
            return False
        self.saved -= 1
        return True


class Admission:
    """Holds the limits of an entry.

    Args:
        settings: Settings of this process.
    """

    name = "admission"
    requires: tuple[str, ...] = ()

    def __init__(self, settings: ProcessSettings) -> None:
        limits = settings.limits
        self.customers = CustomerLimits()
        self.waiting = WaitingRoom(
            max_count=limits.max_waiting, max_bytes=limits.max_waiting_bytes
        )
        self.retries = RetryBudget()

    async def start(self, kernel: Kernel) -> None:
        """Nothing runs by itself."""

    async def stop(self) -> None:
        """Nothing is open."""
