"""Follows this sidecar's state on the instance list, as reported by entries."""

from skylarkdoord.common import DrainState
from skylarkdoord.common import _drain_state as drain_state


class Listing:
    """Combines the entries' reports, so that no sidecar polls the instance list.

    The sidecar drains while the latest report of any connected entry shows it as
    leaving.

    Args:
        drain_state: Is notified when draining starts or ends.
    """

    def __init__(self, drain_state: DrainState) -> None:
        self.drain_state = drain_state
        self.leaving_by: set[str] = set()

    def hear(self, peer: str, leaving: bool) -> None:
        """Record an entry's report.

        Args:
            peer: Key of the entry's stream.
            leaving: Whether the list shows this sidecar as leaving.
        """
        if leaving:
            self.leaving_by.add(peer)
            self.drain_state.start_drain(drain_state.INSTANCE_LIST)
        else:
            self.forget(peer)

    def forget(self, peer: str) -> None:
        """Remove the report of an entry whose stream has ended."""
        self.leaving_by.discard(peer)
        if not self.leaving_by:
            self.drain_state.cancel_drain(drain_state.INSTANCE_LIST)
