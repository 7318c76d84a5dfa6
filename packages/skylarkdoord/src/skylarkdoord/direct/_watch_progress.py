"""How far the watch of a table has come, and when to call the store again."""

from skylarkdoor.backoff import Backoff
from skylarkdoord.direct._adapter import Rows, StoreVersion
from skylarkdoord.direct.exceptions import HistoryLostError

# Delay before a call is repeated for the first time, before jitter.
FIRST_DELAY_S = 0.05
# Held calls without changes are answered after a longer time than this.
EARLY_S = 0.1


class WatchProgress:
    """How far the watch of a table has come.

    Args:
        max_delay_s: Longest delay before a call is repeated, in seconds.
        first_delay_s: Delay before the first repetition, in seconds.

    Attributes:
        read_at: Point in the store's history of the last read; None before the first
            and after the history was lost.
        era: Era of the last read.
        is_down: Whether the last call failed.
        grace_until: Monotonic time until which upstreams that have no row stay in use,
            in seconds.
    """

    def __init__(
        self, max_delay_s: float, *, first_delay_s: float = FIRST_DELAY_S
    ) -> None:
        self.failure_backoff = Backoff(initial_s=first_delay_s, max_s=max_delay_s)
        self.history_backoff = Backoff(initial_s=first_delay_s, max_s=max_delay_s)
        self.early_backoff = Backoff(initial_s=first_delay_s, max_s=max_delay_s)
        self.read_at: StoreVersion | None = None
        self.era = 0
        self.is_down = False
        self.grace_until = 0.0

    def check_era(self, rows: Rows) -> None:
        """Check that changes continue what was read before.

        Raises:
            HistoryLostError: They are of another era.
        """
        if self.read_at is not None and rows.era != self.read_at.era:
            raise HistoryLostError(f"the store is in era {rows.era}")

    def on_answer(self, rows: Rows, *, grace_until: float) -> None:
        """Start a grace period after an outage or the start of an era.

        Args:
            rows: The rows of the answer.
            grace_until: Monotonic time of its end, in seconds.
        """
        if self.is_down or rows.era != self.era:
            self.grace_until = grace_until
        self.is_down = False
        self.era = rows.era

    def on_applied(self, rows: Rows) -> None:
        """Go on after these rows."""
        self.failure_backoff.reset()
        if self.read_at is not None:
            self.history_backoff.reset()
        self.read_at = rows.read_at

    def early_delay_s(self, rows: Rows, took_s: float) -> float:
        """Return the delay after an answer that came early without anything new.

        Without it, a store that does not hold calls would be called without a pause.

        Args:
            rows: The rows of the answer, which were not applied yet.
            took_s: Time from the call to its answer, in seconds.

        Returns:
            The delay before the next call, in seconds; 0 after any other answer.
        """
        is_new = bool(rows.rows) and rows.read_at != self.read_at
        if self.read_at is None or is_new or took_s > EARLY_S:
            self.early_backoff.reset()
            return 0.0
        return self.early_backoff.delay_s()

    def on_history_lost(self, max_delay_s: float) -> float:
        """Read the whole table next; return the delay before it, in seconds.

        Args:
            max_delay_s: Longest delay, in seconds.
        """
        self.read_at = None
        self.history_backoff.max_s = max_delay_s
        return self.history_backoff.delay_s()

    def on_failure(self, max_delay_s: float) -> float:
        """Record a failed call; return the delay before the next, in seconds.

        Args:
            max_delay_s: Longest delay, in seconds.
        """
        self.is_down = True
        self.failure_backoff.max_s = max_delay_s
        return self.failure_backoff.delay_s()
