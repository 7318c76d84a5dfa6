"""Counts the calls of one table of the store and logs its loss and return."""

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._metrics import STORE_CALLS
from skylarkdoord.direct.exceptions import StoreError


class StoreCalls:
    """Results of the calls of one table.

    Args:
        table: Name of the table.
        log: Logger of the events.

    Attributes:
        is_failing: Whether the latest call failed.
    """

    def __init__(self, table: str, log: events.EventLogger) -> None:
        self.table = table
        self.log = log
        self.is_failing = False

    def on_failure(self, error: StoreError) -> None:
        """Count a failed call; log the first one after a success."""
        STORE_CALLS.labels(self.table, "failed").inc()
        if not self.is_failing:
            self.log.event(_events.STORE_LOST, table=self.table, error=str(error))
        self.is_failing = True

    def on_answer(self) -> None:
        """Count a successful call; log the first one after a failure."""
        STORE_CALLS.labels(self.table, "ok").inc()
        if self.is_failing:
            self.log.event(_events.STORE_REGAINED, table=self.table)
        self.is_failing = False
