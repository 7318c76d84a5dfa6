"""Limits retries, which send a request to an upstream again."""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from skylarkdoord.direct._metrics import REPEATS, RETRIES_SENT, RETRIES_WAITING
from skylarkdoord.direct._settings import RetryBudget

# Share of the budget that is used. The rest allows for requests that are counted late
# and for sliding windows that do not coincide.
USABLE_BUDGET_SHARE = 0.8


@dataclass
class RetryCounts:
    """Requests and retries of one service.

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


class Retry:
    """A retry that the budget allowed.

    Args:
        service: Service of the request.
        counts: Counts of that service.

    Attributes:
        is_waiting: Whether it is not sent yet.
    """

    def __init__(self, service: str, counts: RetryCounts) -> None:
        self.service = service
        self.counts = counts
        self.is_waiting = True
        counts.approved += 1
        counts.waiting += 1
        RETRIES_WAITING.labels(service).inc()

    def send(self) -> None:
        """Count the retry as sent."""
        self.end()
        self.counts.sent += 1
        RETRIES_SENT.labels(self.service).inc()

    def end(self) -> None:
        """Count the retry as waiting no longer."""
        if self.is_waiting:
            self.is_waiting = False
            self.counts.waiting -= 1
            RETRIES_WAITING.labels(self.service).dec()


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
        counts: Requests and retries since the start, by service.
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
        self.counts: dict[str, RetryCounts] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self.within_window(self.requests, service).append(self.clock())
        self.counts_of(service).requests += 1

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

    def approve(self, service: str) -> Retry | None:
        """Return a retry and count it; None if no more are allowed."""
        is_allowed = self.spent_retries(service) + 1 <= self.allowed_retries(service)
        REPEATS.labels(service, str(is_allowed).lower()).inc()
        if not is_allowed:
            self.counts_of(service).refused += 1
            return None
        self.retries[service].append(self.clock())
        return Retry(service, self.counts_of(service))

    def counts_of(self, service: str) -> RetryCounts:
        """Return the counts of a service."""
        return self.counts.setdefault(service, RetryCounts())

    def within_window(
        self, counted: dict[str, deque[float]], service: str
    ) -> deque[float]:
        """Drop the times of a service that precede the window; return the others."""
        times = counted.setdefault(service, deque())
        since = self.clock() - self.settings.window_s
        while times and times[0] < since:
            times.popleft()
        return times
