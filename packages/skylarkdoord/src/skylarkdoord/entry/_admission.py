"""Admission control of an entry: customers' limits, waiting queue, retry budget."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from prometheus_client import Counter, Gauge

from skylarkdoor import invariants
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Customer, ProcessSettings
from skylarkdoord._retry_limiter import RetryBudget, RetryLimiter
from skylarkdoord.entry._directory import Directory
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.exceptions import RefusedError

# Capacity of a token bucket, as the time in which it refills.
BURST_S = 2.0
CONCURRENCY_RETRY_AFTER_S = 1.0
OVERLOADED_RETRY_AFTER_S = 1.0
# Customers without active requests are evicted when this many are tracked.
IDLE_EVICTION_THRESHOLD = 4096
# Retries of all entries together, by pool.
RETRY_BUDGET = RetryBudget(ratio=0.2, slack=100.0, window_s=10.0)

LOWEST_FIRST = invariants.define(
    "lowest_first",
    "An entry sheds no request while one of a lower tier waits in it.",
)
LIMITED = Counter(
    "skylarkdoor_entry_limited_total",
    "Requests refused because of a customer's limits.",
    ["customer", "limit"],
)
SHED = Counter(
    "skylarkdoor_entry_shed_total",
    "Requests shed because the waiting queue was full.",
    ["tier"],
)
WAITING = Gauge("skylarkdoor_entry_waiting", "Requests not yet dispatched.")
WAITING_BYTES = Gauge(
    "skylarkdoor_entry_waiting_bytes",
    "Total body size of the requests not yet dispatched, in bytes.",
)
RETRIES_REFUSED = Counter(
    "skylarkdoor_entry_retries_refused_total",
    "Retries refused because the retry budget was exhausted.",
)


class TokenBucket:
    """A token bucket that holds `BURST_S` seconds' worth of its rate.

    Its level may become negative: a single request may take more than it holds.
    """

    def __init__(self) -> None:
        self.level = 0.0
        self.refilled_at: float | None = None

    def wait_s(self, rate: float, now: float) -> float:
        """Refill the bucket and return the time until it holds a token again.

        Args:
            rate: Refill rate, in tokens per second.
            now: Monotonic time, in seconds.

        Returns:
            The time in seconds; 0 if tokens may be taken now.
        """
        burst = max(1.0, rate * BURST_S)
        if self.refilled_at is None:
            self.level = burst
        else:
            self.level = min(burst, self.level + (now - self.refilled_at) * rate)
        self.refilled_at = now
        return max(0.0, (1 - self.level) / rate)

    def take(self, amount: float) -> None:
        """Remove tokens from the bucket, even if it holds fewer."""
        self.level -= amount


class CustomerUsage:
    """One customer's usage that counts towards its limits."""

    def __init__(self) -> None:
        self.active = 0
        self.requests = TokenBucket()
        self.tokens = TokenBucket()


class CustomerLimits:
    """Enforces each customer's limits on concurrency, requests and tokens.

    Only requests through this entry count.
    """

    def __init__(self) -> None:
        self.usages: dict[tuple[str, str], CustomerUsage] = {}

    @contextmanager
    def admit(self, request: EntryRequest) -> Iterator[None]:
        """Count a request towards its customer's limits while it is served.

        Raises:
            RefusedError: The request exceeds one of the customer's limits.
        """
        resolved = request.resolved
        usage = self._usage((resolved.team, resolved.customer_name))
        self._check(usage, resolved.customer, resolved.customer_name)
        usage.requests.take(1)
        usage.tokens.take(request.prompt_tokens + request.max_tokens)
        usage.active += 1
        try:
            yield
        finally:
            usage.active -= 1

    def _check(self, usage: CustomerUsage, customer: Customer, name: str) -> None:
        now = time.monotonic()
        if customer.max_concurrent and usage.active >= customer.max_concurrent:
            raise _limited(name, "concurrency", CONCURRENCY_RETRY_AFTER_S)
        if customer.requests_per_s:
            wait_s = usage.requests.wait_s(customer.requests_per_s, now)
            if wait_s:
                raise _limited(name, "requests", wait_s)
        if customer.tokens_per_s:
            wait_s = usage.tokens.wait_s(customer.tokens_per_s, now)
            if wait_s:
                raise _limited(name, "tokens", wait_s)

    def _usage(self, key: tuple[str, str]) -> CustomerUsage:
        usage = self.usages.get(key)
        if usage is None:
            if len(self.usages) >= IDLE_EVICTION_THRESHOLD:
                self._evict_idle()
            usage = self.usages[key] = CustomerUsage()
        return usage

    def _evict_idle(self) -> None:
        self.usages = {key: usage for key, usage in self.usages.items() if usage.active}


def _limited(customer: str, limit: str, retry_after_s: float) -> RefusedError:
    LIMITED.labels(customer, limit).inc()
    return RefusedError(
        f"{limit}_limited",
        f"the customer's {limit} limit is reached",
        retry_after_s=retry_after_s,
    )


def overloaded_error() -> RefusedError:
    """Return the error of a request for which there is no room."""
    return RefusedError(
        "overloaded",
        "the waiting queue of this entry is full",
        retry_after_s=OVERLOADED_RETRY_AFTER_S,
    )


class Waiter(NamedTuple):
    """A request in the waiting queue.

    Attributes:
        size: Size of its body, in bytes.
        shed: Refuses the request.
    """

    size: int
    shed: Callable[[], None]


class WaitingQueue:
    """The requests of an entry that are not dispatched yet, bounded by count and size.

    Args:
        max_count: Maximum number of requests.
        max_bytes: Maximum total size of their bodies, in bytes.

    Attributes:
        receiving: Bytes reserved for bodies that are still being received.
    """

    def __init__(self, *, max_count: int, max_bytes: int) -> None:
        self.max_count = max_count
        self.max_bytes = max_bytes
        self.receiving = 0
        self.tiers: dict[int, dict[str, Waiter]] = {}
        self.count = 0
        self.bytes = 0

    @contextmanager
    def join(self, request: EntryRequest, shed: Callable[[], None]) -> Iterator[None]:
        """Keep a request in the queue while the context is open.

        If the queue is full, requests are shed until the request fits, those of
        the lowest tier first and the newest first within a tier.

        Args:
            request: The request.
            shed: Refuses the request; called at most once.

        Raises:
            RefusedError: The queue is full and holds no request of a lower tier.
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

    def excess(self, size: int) -> int:
        """Return by how much the limit would be exceeded by further bytes."""
        return self.bytes + self.receiving + size - self.max_bytes

    def reserve(self, tier: int, size: int) -> None:
        """Reserve bytes for a body that is being received.

        Requests of a lower tier are shed until they fit.

        Args:
            tier: Rank of the request's tier.
            size: The bytes.

        Raises:
            RefusedError: There is no room, and no request of a lower tier waits.
        """
        while self.excess(size) > 0:
            if not self._shed_below(tier):
                raise self._refusal(tier)
        self.receiving += size

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
        return overloaded_error()

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


class Admission:
    """Provides an entry's customer limits, waiting queue and retry budget.

    Args:
        settings: Settings of this process.
    """

    name = "admission"
    requires: tuple[str, ...] = ("directory",)

    def __init__(self, settings: ProcessSettings) -> None:
        limits = settings.limits
        self.customers = CustomerLimits()
        self.waiting = WaitingQueue(
            max_count=limits.max_waiting, max_bytes=limits.max_waiting_bytes
        )

    async def start(self, kernel: Kernel) -> None:
        """Share the retry budget with the other entries in the directory."""
        directory = kernel.find("directory", Directory)
        # No upstream received the attempts before a retry, so those of a former
        # incarnation leave nothing to wait for.
        self.retries = RetryLimiter(
            RETRY_BUDGET, sharing_entries=directory.entry_count, is_first_start=True
        )

    async def stop(self) -> None:
        """Do nothing: there are no resources to release."""
