"""Looks at the evidence on a roll-out, and sends decisions and evidence in time."""

from collections.abc import Callable

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct.rollout_services._peers import RolloutPeers
from skylarkdoord.direct.rollout_services._view import RolloutView
from skylarkdoord.direct.rollouts import Outcome, RolloutOrder, judge

# Longest interval of the coordinator's decisions, in seconds. Entries that hear of none
# for 2 s send nothing to a version on trial.
REPEAT_INTERVAL_S = 0.8
# Interval at which an entry reports to the coordinator, for each entry. It bounds the
# reports that the coordinator receives to 1,000 a second.
REPORT_INTERVAL_PER_ENTRY_S = 0.001
# Time without a look at evidence after which the process counts as suspended, in
# seconds. It exceeds the interval of many entries.
MAX_INTERRUPTION_S = 2.0


class EvidenceWatch:
    """Acts on the evidence that this entry holds, before any decision arrives.

    Args:
        view: Orders, decisions and evidence.
        peers: The other entries.
        notify: Sends an update to all entries at once.
        wake: Sends an update to one entry at once.

    Attributes:
        repeated_at: Monotonic time of the latest update sent in time, in seconds, by
            service.
    """

    def __init__(
        self,
        view: RolloutView,
        peers: RolloutPeers,
        *,
        notify: Callable[[], None],
        wake: Callable[[str], None],
    ) -> None:
        self.view = view
        self.peers = peers
        self.notify = notify
        self.wake = wake
        self.repeated_at: dict[str, float] = {}
        self.log = events.get_logger("direct.rollouts")

    def look(self, order: RolloutOrder) -> None:
        """Look at the evidence on an order in progress."""
        self.stay_in_touch(order)
        self.check_evidence(order)
        self.repeat(order)

    def stay_in_touch(self, order: RolloutOrder) -> None:
        """Repeat the decision to this entry's own gate while this entry coordinates.

        After a suspension of this process, others may have decided; then only a write
        to the store shows that this entry still coordinates.
        """
        decision = self.view.decision(order)
        state = self.view.gate.rollouts.get(order.service)
        if decision is None or state is None:
            return
        is_uninterrupted = self.view.clock() - state.heard_at < MAX_INTERRUPTION_S
        if is_uninterrupted and self.view.is_sender(order.service):
            self.view.gate.apply(decision, self.view.clock())

    def repeat(self, order: RolloutOrder) -> None:
        """Send updates sooner than usual where many entries make their interval long.

        The coordinator repeats its decision to all, and the others send their evidence
        to the coordinator alone.
        """
        members = self.peers.members
        if members.update_interval_s() <= REPEAT_INTERVAL_S:
            return
        is_sender = self.view.is_sender(order.service)
        entries = len(members.by_name)
        interval_s = max(REPEAT_INTERVAL_S, REPORT_INTERVAL_PER_ENTRY_S * entries)
        if is_sender:
            interval_s = REPEAT_INTERVAL_S
        if self.view.clock() - self.repeated_at.get(order.service, 0.0) < interval_s:
            return
        self.repeated_at[order.service] = self.view.clock()
        if is_sender:
            self.notify()
        elif order.service in self.view.sources:
            self.wake(self.view.sources[order.service])

    def check_evidence(self, order: RolloutOrder) -> None:
        """Send nothing to the new version while the evidence held here is bad."""
        decision = self.view.decision(order)
        state = self.view.gate.rollouts.get(order.service)
        if decision is None or state is None:
            return
        if not self.view.capacity(order, frozenset(decision.withheld)).old_slots:
            return
        evidence = self.view.evidence(order)
        verdict = judge(evidence, self.view.recent(evidence))
        reason = verdict.reason if verdict.outcome is Outcome.BAD else ""
        was_stopped = bool(state.stopped)
        self.view.gate.stop(order.service, reason)
        if was_stopped == bool(reason):
            return
        self.view.change_versions(order.service)
        if not reason:
            return
        self.log.event(
            _events.ROLLOUT_STOPPED,
            service=order.service,
            version=order.version,
            reason=reason,
        )
        self.notify()
