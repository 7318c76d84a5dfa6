"""Tells which entry's turn it is to coordinate a roll-out."""

from skylarkdoord.direct.rollout_services._lease import RolloutLease
from skylarkdoord.direct.rollout_services._peers import RolloutPeers, Sender
from skylarkdoord.direct.rollout_services._view import RolloutView

# Interval at which the first entry by name that does not coordinate reads the row, in
# seconds. A coordinator that is cut off from the store, but not from the entries, is
# found out by its lapsed lease.
STANDBY_INTERVAL_S = 1.5
# Time without a decision, for each live entry before it by name, after which an entry
# reads the row; those before it may not have read the order.
PATIENCE_PER_POSITION_S = 1.5
# Time since the start within which entries that are not heard of may be live, in
# seconds.
SETTLING_S = 2.0


def holder_name(sender: Sender) -> str:
    """Return the name under which a run of an entry coordinates."""
    return f"{sender.instance}/{sender.incarnation}"


class RolloutTurns:
    """Lets the first live entry by name take over where nobody coordinates.

    Args:
        view: Decisions that were heard of.
        peers: The other entries.
    """

    def __init__(self, view: RolloutView, peers: RolloutPeers) -> None:
        self.view = view
        self.peers = peers
        self.started = view.clock()

    def silent_s(self, service: str) -> float:
        """Return the time since a decision on a service was heard of, in seconds."""
        return self.view.clock() - self.view.heard_at.get(service, 0.0)

    def is_coordinated(self, service: str) -> bool:
        """Return whether a live entry sends decisions on a service."""
        source = self.view.sources.get(service, "")
        is_live = any(live.instance == source for live in self.peers.live())
        return is_live and self.silent_s(service) < STANDBY_INTERVAL_S

    def may_take_over(self, lease: RolloutLease, now_s: float) -> bool:
        """Return whether nobody else coordinates the service of a row.

        Args:
            lease: The row, as just read.
            now_s: Time by the store's clock, in seconds.
        """
        if not self.is_next(lease.service):
            return False
        record = lease.record
        if record is None or record.decision.phase.is_final:
            return True
        if record.until_s <= now_s:
            return True
        if record.holder.rpartition("/")[0] == self.peers.members.instance:
            return True
        if self.view.clock() - self.started < SETTLING_S:
            return False
        return record.holder not in map(holder_name, self.peers.live())

    def is_next(self, service: str) -> bool:
        """Return whether this entry takes over if nobody else coordinates a service."""
        source = self.view.sources.get(service, "")
        position = self.peers.position(excluded=source)
        return self.silent_s(service) >= PATIENCE_PER_POSITION_S * position
