"""Limits retries, which send a request again, to a budget that all entries share.

Each entry has a token bucket for each service. Requests and time fill it, up to a
capacity in proportion to the requests of the last window, and a retry takes a token
when it is sent. Within any window, all entries together get at most

- what the buckets held at its begin, for requests before it, and
- what was added since, for the requests within it.

No request adds to two buckets, so the sum stays within the budget when entries end and
when callers move to other entries.
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, NamedTuple

from msgspec import Meta

# Share of the budget that is used. The rest allows for retries that arrive late.
USABLE_BUDGET_SHARE = 0.9
# Share of a window's budget that a bucket holds for a disruption to come; the rest of
# the budget is added as it is earned.
BURST_SHARE = 0.5
# A bucket of less than one token would never allow a retry.
MIN_CAPACITY = 1.0
# Interval at which the entry's part of the slack is worked out again.
PART_INTERVAL_S = 0.2


class RetryBudget(NamedTuple):
    """Limit on repeated calls of upstreams for the same request, over all entries.

    Attributes:
        ratio: Repeats allowed per request.
        slack: Further repeats allowed in each window.
        window_s: Length of the window, in seconds.
    """

    ratio: Annotated[float, Meta(ge=0, description="a ratio")] = 0.2
    slack: Annotated[float, Meta(ge=0, description="a number of units")] = 20.0
    window_s: Annotated[float, Meta(gt=0, description="a number of seconds")] = 10.0


@dataclass
class RetryCounts:
    """Requests and retries of one service since the start.

    Attributes:
        requests: Requests of callers.
        approved: Retries that the budget allowed.
        refused: Retries that it refused.
        sent: Retries that were sent to an upstream.
        waiting: Approved retries that are not sent yet.
    """

    requests: int = 0
    approved: int = 0
    refused: int = 0
    sent: int = 0
    waiting: int = 0


class RetryBucket:
    """Token bucket of one service.

    Args:
        now: Monotonic time, in seconds.

    Attributes:
        tokens: Retries that may be sent, including those that wait.
        filled_at: Monotonic time at which tokens were added last, in seconds.
        requested_at: Monotonic times of the requests within the window, in seconds.
        counts: Requests and retries since the start.
    """

    def __init__(self, now: float) -> None:
        self.tokens = 0.0
        self.filled_at = now
        self.requested_at: deque[float] = deque()
        self.counts = RetryCounts()

    def add_request(self, budget: RetryBudget, slack: float, now: float) -> None:
        """Count a request and add what it earns; the arguments are those of `fill`."""
        self.requested_at.append(now)
        self.counts.requests += 1
        self.tokens += added_share() * budget.ratio
        self.fill(budget, slack, now)

    def fill(self, budget: RetryBudget, slack: float, now: float) -> None:
        """Add what was earned by time, up to the capacity.

        Args:
            budget: Budget of all entries together.
            slack: This entry's part of the slack.
            now: Monotonic time, in seconds.
        """
        elapsed_windows = (now - self.filled_at) / budget.window_s
        self.filled_at = now
        self.tokens += added_share() * slack * elapsed_windows
        self.tokens = min(self.tokens, self.capacity(budget, slack, now))

    def capacity(self, budget: RetryBudget, slack: float, now: float) -> float:
        """Return the most tokens that the bucket holds; see `fill`."""
        while self.requested_at and self.requested_at[0] < now - budget.window_s:
            self.requested_at.popleft()
        earned = budget.ratio * len(self.requested_at) + slack
        return max(MIN_CAPACITY, USABLE_BUDGET_SHARE * BURST_SHARE * earned)

    @property
    def available(self) -> float:
        """Tokens that no waiting retry will take."""
        return self.tokens - self.counts.waiting


class Retry:
    """A retry that the budget allowed. It waits until it is sent or ends.

    Args:
        bucket: Bucket of the request's service.
        fill: Fills the bucket.

    Attributes:
        is_waiting: Whether it is not sent yet.
    """

    def __init__(
        self, bucket: RetryBucket, fill: Callable[[RetryBucket], None]
    ) -> None:
        self.bucket = bucket
        self.fill = fill
        self.is_waiting = True
        bucket.counts.approved += 1
        bucket.counts.waiting += 1

    def send(self) -> bool:
        """Take a token; return False if none is left and the retry must not be sent.

        The bucket may have lost tokens while the retry waited, as its capacity falls
        with the requests.
        """
        self.fill(self.bucket)
        self.end()
        if self.bucket.tokens < 1:
            self.bucket.counts.refused += 1
            return False
        self.bucket.tokens -= 1
        self.bucket.counts.sent += 1
        return True

    def take_back(self) -> None:
        """Wait again, as the attempt did not reach an upstream."""
        self.bucket.tokens += 1
        self.bucket.counts.sent -= 1
        self.bucket.counts.waiting += 1
        self.is_waiting = True

    def end(self) -> None:
        """Stop waiting; a token that was not taken is left to others."""
        if self.is_waiting:
            self.is_waiting = False
            self.bucket.counts.waiting -= 1


class RetryLimiter:
    """Allows retries within the budget that all entries share.

    Args:
        budget: Budget of all entries together.
        sharing_entries: Returns the number of entries that may use the budget.
        is_first_start: Whether no former incarnation of this entry can have made
            retries, so that the buckets start full.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        earned_since: Monotonic time from which on the slack is earned, in seconds.
        shared_by: Number of entries that share the slack.
        shared_at: Monotonic time at which they were counted, in seconds.
        buckets: Token buckets, by service.
    """

    def __init__(
        self,
        budget: RetryBudget,
        *,
        sharing_entries: Callable[[], int] = lambda: 1,
        is_first_start: bool = False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.budget = budget
        self.sharing_entries = sharing_entries
        self.clock = clock
        self.earned_since = clock()
        if is_first_start:
            self.earned_since -= budget.window_s * BURST_SHARE / (1 - BURST_SHARE)
        self.buckets: dict[str, RetryBucket] = {}
        self.shared_by = 1
        self.shared_at = -PART_INTERVAL_S

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        now = self.clock()
        self.bucket(service).add_request(self.budget, self.slack(now), now)

    def approve(self, service: str) -> Retry | None:
        """Return a retry that may wait to be sent; None if the budget allows none."""
        bucket = self.bucket(service)
        self.fill(bucket)
        if bucket.available < 1:
            bucket.counts.refused += 1
            return None
        return Retry(bucket, self.fill)

    def bucket(self, service: str) -> RetryBucket:
        """Return the bucket of a service."""
        found = self.buckets.get(service)
        if found is None:
            found = self.buckets[service] = RetryBucket(self.earned_since)
        return found

    def fill(self, bucket: RetryBucket) -> None:
        """Add to a bucket what was earned by time."""
        now = self.clock()
        bucket.fill(self.budget, self.slack(now), now)

    def slack(self, now: float) -> float:
        """Return this entry's part of the slack at a monotonic time in seconds."""
        if now - self.shared_at >= PART_INTERVAL_S:
            self.shared_at = now
            self.shared_by = max(1, self.sharing_entries())
        return self.budget.slack / self.shared_by


def added_share() -> float:
    """Return the share of the budget that is added to a bucket as it is earned."""
    return USABLE_BUDGET_SHARE * (1 - BURST_SHARE)
