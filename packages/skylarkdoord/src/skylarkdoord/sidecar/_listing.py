"""Follows this sidecar's state on the instance list, as reported by entries."""

from skylarkdoord.common import Departure
from skylarkdoord.common import _departure as departure


class Listing:
    """Combines the entries' reports, so that no sidecar polls the instance list.

    The sidecar drains while the latest report of any connected entry shows it as
    leaving.

    Args:
        departure: Is notified when draining starts or ends.
    """

    def __init__(self, departure: Departure) -> None:
        self.departure = departure
        self.leaving_by: set[str] = set()

    def hear(self, peer: str, leaving: bool) -> None:
        """Record an entry's report.

        Args:
            peer: Key of the entry's stream.
            leaving: Whether the list shows this sidecar as leaving.
        """
        if leaving:
            self.leaving_by.add(peer)
            self.departure.leave(departure.LISTED)
        else:
            self.forget(peer)

    def forget(self, peer: str) -> None:
        """Remove the report of an entry whose stream has ended."""
        self.leaving_by.discard(peer)
        if not self.leaving_by:
            self.departure.rejoin(departure.LISTED)
