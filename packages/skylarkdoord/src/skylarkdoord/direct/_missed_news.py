"""Changes that other entries sent before this entry's own watch returned them."""

import math
from collections.abc import Callable

from skylarkdoor.clock import boot_time_s

# Time within which a watch call that works returns a change that another entry sent.
NEWS_TOLERANCE_S = 1.0


class MissedNews:
    """Tells whether a held watch call should have returned by now.

    A call that was under way when the change was made returns it as well, unless its
    connection no longer works.

    Args:
        clock: Returns monotonic time that includes time in suspend, in seconds.

    Attributes:
        since: Monotonic time of the first change that the call has not returned, in
            seconds, by table.
    """

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.since: dict[str, float] = {}

    def record(self, table: str) -> None:
        """Record a change of a table that another entry sent."""
        self.since.setdefault(table, self.clock())

    def begin(self, table: str) -> None:
        """Record that a call of a table begins, which returns what was missed."""
        self.since.pop(table, None)

    def remaining_s(self, table: str) -> float:
        """Return the time until the call of a table is overdue, in seconds."""
        since = self.since.get(table, math.inf)
        return since + NEWS_TOLERANCE_S - self.clock()
