"""Follows this sidecar's state on the instance list, as reported by entries."""

from skylarkdoord.common import Departure
from skylarkdoord.common import _departure as departure


class Listing:
    """Combines the entries' reports, so that no sidecar polls the instance list.

    The sidecar drains while the latest report of any connected entry shows it as
    draining.

    Args:
        departure: Is notified when draining starts or ends.
    """

    def __init__(self, departure: Departure) -> None:
        self.departure = departure
        self.draining_by: set[str] = set()

    def hear(self, peer: str, is_draining: bool) -> None:
        """Record an entry's report.

        Args:
            peer: Key of the entry's stream.
            is_draining: Whether the list shows this sidecar as draining.
        """
        if is_draining:
            self.draining_by.add(peer)
            self.departure.leave(departure.LISTED)
        else:
            self.forget(peer)

    def forget(self, peer: str) -> None:
        """Remove the report of an entry whose stream has ended."""
        self.draining_by.discard(peer)
        if not self.draining_by:
            self.departure.rejoin(departure.LISTED)
