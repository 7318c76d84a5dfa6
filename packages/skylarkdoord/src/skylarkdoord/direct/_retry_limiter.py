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
    of it. An entry that does not know what its former incarnation spent uses no slack
    until a window has passed.

    Args:
        settings: Budget of all entries together.
        sharing_entries: Returns the number of entries that may use the budget.
        is_first_start: Whether no former incarnation can have made retries.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        started: Monotonic time of the start, in seconds.
        requests: Monotonic times of the callers' requests, by service, in seconds.
        retries: Monotonic times of the retries, by service, in seconds.
    """

    def __init__(
        self,
        settings: RetryBudget,
        *,
        sharing_entries: Callable[[], int] = lambda: 1,
        is_first_start: bool = False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.sharing_entries = sharing_entries
        self.is_first_start = is_first_start
        self.clock = clock
        self.started = clock()
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self.within_window(self.requests, service).append(self.clock())

    def allowed_retries(self, service: str) -> float:
        """Return the number of retries allowed within the current window."""
        requests = len(self.within_window(self.requests, service))
        allowed = self.settings.ratio * requests + self.slack()
        return USABLE_BUDGET_SHARE * allowed

    def slack(self) -> float:
        """Return this entry's part of the slack."""
        is_settled = self.clock() - self.started >= self.settings.window_s
        if not self.is_first_start and not is_settled:
            return 0.0
        return self.settings.slack / max(1, self.sharing_entries())

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
