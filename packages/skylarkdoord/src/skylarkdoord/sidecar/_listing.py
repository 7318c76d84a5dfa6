"""Follows this sidecar's state on the instance list, as reported by entries."""

from skylarkdoord.common import DrainState
from skylarkdoord.common import _drain_state as drain_state


class Listing:
    """Combines the entries' reports, so that no sidecar polls the instance list.

    The sidecar drains while the latest report of any connected entry shows it as
    draining.

    Args:
        drain_state: Is notified when draining starts or ends.
    """

    def __init__(self, drain_state: DrainState) -> None:
        self.drain_state = drain_state
        self.reported_by: set[str] = set()

    def on_report(self, peer: str, is_draining: bool) -> None:
        """Record an entry's report.

        Args:
            peer: Key of the entry's stream.
            is_draining: Whether the list shows this sidecar as draining.
        """
        if is_draining:
            self.reported_by.add(peer)
            self.drain_state.start_drain(drain_state.INSTANCE_LIST)
        else:
            self.remove_report(peer)

    def remove_report(self, peer: str) -> None:
        """Remove the report of an entry whose stream has ended."""
        self.reported_by.discard(peer)
        if not self.reported_by:
            self.drain_state.cancel_drain(drain_state.INSTANCE_LIST)
