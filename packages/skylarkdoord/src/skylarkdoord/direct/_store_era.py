"""Detects that the store came back from an older copy.

Each time, the store starts a new era. What was written since the copy is gone, and the
versions since then are given out again.
"""

from collections.abc import Callable

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord._listeners import call_all
from skylarkdoord.direct._metrics import STORE_ERA
from skylarkdoord.direct.exceptions import StoreError


class StoreEra:
    """The latest era that a response of the store stated.

    Attributes:
        number: The era; 0 if no response stated one.
        is_known: Whether a response stated one.
        is_missing: Whether the latest response stated none.
        listeners: Called in order when a new era has begun.
    """

    def __init__(self) -> None:
        self.number = 0
        self.is_known = False
        self.is_missing = False
        self.listeners: list[Callable[[], None]] = []
        self.log = events.get_logger("direct.store_era")

    def observe(self, era: int | None, *, call: str) -> None:
        """Compare a response's era with the latest one, and report a new one.

        A response without a valid era is taken to be of the latest one.

        Args:
            era: The era that the response states; None if it has no valid one.
            call: Name of the call, for logs.

        Raises:
            StoreError: The response is of an earlier era and no longer valid.
        """
        if era is None:
            self.report_missing(call)
            return
        self.is_missing = False
        if era < self.number:
            self.log.event(
                _events.STORE_ERA_REJECTED, call=call, era=era, latest=self.number
            )
            raise StoreError(f"{call}: response of era {era} after era {self.number}")
        former, self.number = self.number, era
        is_new = self.is_known and era > former
        self.is_known = True
        STORE_ERA.set(era)
        if not is_new:
            return
        self.log.event(_events.STORE_ERA_CHANGED, call=call, former=former, era=era)
        call_all(self.listeners)

    def report_missing(self, call: str) -> None:
        """Log the first response without a valid era after one with an era."""
        if self.is_known and not self.is_missing:
            self.log.event(
                _events.STORE_ERA_REJECTED, call=call, era=None, latest=self.number
            )
        self.is_missing = True
