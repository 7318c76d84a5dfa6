"""Limits retries, which send a request to an upstream again."""

import time
from collections import deque
from collections.abc import Callable

from skylarkdoord.direct._settings import RetryBudget

# Share of the budget that is used. The rest allows for requests that are counted late
# and for sliding windows that do not coincide.
USABLE_BUDGET_SHARE = 0.8


class RetryLimiter:
    """Allows retries in proportion to the requests within a sliding window.

    The slack is allowed for all entries together, so each entry uses an equal part
    of it.

    Args:
        settings: Budget of all entries together.
        live_entries: Returns the number of entries that share the budget.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        requests: Monotonic times of the callers' requests, by service, in seconds.
        retries: Monotonic times of the retries, by service, in seconds.
    """

    def __init__(
        self,
        settings: RetryBudget,
        *,
        live_entries: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.live_entries = live_entries
        self.clock = clock
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self.within_window(self.requests, service).append(self.clock())

    def allowed_retries(self, service: str) -> float:
        """Return the number of retries allowed within the current window."""
        requests = len(self.within_window(self.requests, service))
        slack = self.settings.slack / max(1, self.live_entries())
        return USABLE_BUDGET_SHARE * (self.settings.ratio * requests + slack)

    def spent_retries(self, service: str) -> int:
        """Return the number of retries within the current window."""
        return len(self.within_window(self.retries, service))

    def try_spend(self, service: str) -> bool:
        """Count a retry if one more is allowed; return whether it is."""
        if self.spent_retries(service) + 1 > self.allowed_retries(service):
            return False
        self.retries[service].append(self.clock())
        return True

    def within_window(
        self, counted: dict[str, deque[float]], service: str
    ) -> deque[float]:
        """Drop the times of a service that precede the window; return the others."""
        times = counted.setdefault(service, deque())
        since = self.clock() - self.settings.window_s
        while times and times[0] < since:
            times.popleft()
        return times
