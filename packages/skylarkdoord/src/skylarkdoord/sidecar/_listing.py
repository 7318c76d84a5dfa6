"""What entries read on the instance list about this sidecar."""

from skylarkdoord.common import Departure
from skylarkdoord.common import _departure as departure


class Listing:
    """Follows the list through the entries, so that no sidecar polls it.

    The sidecar counts as leaving while the last word of any connected entry
    says so.

    Args:
        departure: What to tell.
    """

    def __init__(self, departure: Departure) -> None:
        self.departure = departure
        self.leaving_by: set[str] = set()

    def hear(self, peer: str, leaving: bool) -> None:
        """Note an entry's word.

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
        """Drop an entry's word, when its stream ends."""
        self.leaving_by.discard(peer)
        if not self.leaving_by:
            self.departure.rejoin(departure.LISTED)
