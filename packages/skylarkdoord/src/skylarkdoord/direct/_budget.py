"""Bound on requests that are sent to upstreams more than once."""

import time
from collections import deque
from collections.abc import Callable

from skylarkdoord.direct._settings import RetryBudget

# Room for requests that are counted late and for windows that slide.
USED_SHARE = 0.8


class Budget:
    """Allows repeats in proportion to the requests of a sliding window.

    Each entry uses its part of the slack that all entries have together.

    Args:
        settings: The bound over all entries.
        live_entries: Returns how many entries share it.
        clock: Monotonic time in seconds.
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
        self.repeats: dict[str, deque[float]] = {}

    def count(self, service: str) -> None:
        """Count a caller's request for a service."""
        self.recent(self.requests, service).append(self.clock())

    def allowed(self, service: str) -> float:
        """Return how many repeats a window may hold now."""
        requests = len(self.recent(self.requests, service))
        slack = self.settings.slack / max(1, self.live_entries())
        return USED_SHARE * (self.settings.ratio * requests + slack)

    def spend(self, service: str) -> bool:
        """Count a repeat if one more is allowed; returns whether it is."""
        repeats = self.recent(self.repeats, service)
        if len(repeats) + 1 > self.allowed(service):
            return False
        repeats.append(self.clock())
        return True

    def recent(self, counted: dict[str, deque[float]], service: str) -> deque[float]:
        """Return the times of a service within the window."""
        times = counted.setdefault(service, deque())
        since = self.clock() - self.settings.window_s
        while times and times[0] < since:
            times.popleft()
        return times
