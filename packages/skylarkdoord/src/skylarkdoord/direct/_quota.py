"""Customers' limits, kept by all entries together.

Each entry keeps a bucket for each customer that fills at the whole rate, and
takes from it what it admits itself and what the other entries say that they
admitted. What they admit between two of their messages is bounded by how often
they send one. While an entry is not heard from, it is charged with an equal
share of the rate.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from skylarkdoord.direct._model import Admitted, Customer
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.exceptions import QuotaError

MAX_RETRY_AFTER_S = 5.0
# Part of what may be exceeded that is used on purpose, so that nothing below the
# limit is refused; the rest covers what other entries have not told yet.
USED_SHARE = 0.4


@dataclass
class Bucket:
    """Units that a customer may still use.

    Attributes:
        level: Units left; below zero after others' use was heard of late.
        filled_at: Monotonic time up to which it was filled, in seconds.
        used: Units that this entry admitted in all.
    """

    level: float
    filled_at: float
    used: float = 0.0


class Quota:
    """Admits requests within their customers' limits.

    Args:
        bounds: How exactly limits are kept.
        silent_entries: Returns how many entries are not heard from, and how many
            there are.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        *,
        silent_entries: Callable[[], tuple[int, int]] = lambda: (0, 1),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.bounds = bounds
        self.silent_entries = silent_entries
        self.clock = clock
        self.buckets: dict[str, Bucket] = {}

    def cost(self, admitted: Admitted) -> float:
        """Return the units that a request takes."""
        customer = admitted.customer
        if customer is None or not customer.counts_tokens:
            return 1.0
        request = admitted.request
        if not request.states_tokens:
            return float(customer.default_tokens)
        return float(request.prompt_tokens + request.max_tokens)

    def take(self, admitted: Admitted) -> None:
        """Take a request's units from its customer's bucket.

        Raises:
            QuotaError: The customer has used up its limit.
        """
        customer = admitted.customer
        if customer is None:
            return
        units = self.cost(admitted)
        bucket = self.fill(customer)
        if customer.rate and bucket.level + self.credit(customer) < units:
            wait_s = min(MAX_RETRY_AFTER_S, (units - bucket.level) / customer.rate)
            raise QuotaError(
                "quota", "the customer's limit is used up", retry_after_s=wait_s
            )
        bucket.level -= units
        bucket.used += units

    def credit(self, customer: Customer) -> float:
        """Return the units by which a bucket may go below zero."""
        allowed = customer.rate * self.bounds.window_s + customer.burst
        exceeding = self.bounds.overshoot * allowed + self.bounds.tolerance
        return USED_SHARE * exceeding

    def give_back(self, admitted: Admitted) -> None:
        """Return the units of a request that did not run."""
        if admitted.customer is None:
            return
        bucket = self.buckets.get(admitted.customer.name)
        if bucket is not None:
            units = self.cost(admitted)
            bucket.level += units
            bucket.used -= units

    def fill(self, customer: Customer) -> Bucket:
        """Return a customer's bucket, filled up to now."""
        now = self.clock()
        bucket = self.buckets.get(customer.name)
        if bucket is None:
            bucket = self.buckets[customer.name] = Bucket(customer.burst, now)
        silent, entries = self.silent_entries()
        rate = customer.rate * (1 - silent / max(1, entries))
        filled = bucket.level + rate * (now - bucket.filled_at)
        bucket.level = min(customer.burst, filled)
        bucket.filled_at = now
        return bucket

    def charge(self, customer: str, units: float) -> None:
        """Take units that another entry admitted or gave back."""
        bucket = self.buckets.get(customer)
        if bucket is None:
            return
        bucket.level -= units

    def used(self) -> dict[str, float]:
        """Return the units that this entry admitted in all, by customer."""
        return {name: bucket.used for name, bucket in self.buckets.items()}
