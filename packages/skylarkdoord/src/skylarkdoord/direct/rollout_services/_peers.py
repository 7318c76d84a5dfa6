"""Decisions and evidence on roll-outs that entries send each other."""

from typing import NamedTuple, Protocol

from skylarkdoor import events
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.direct._members import Members
from skylarkdoord.direct.exceptions import RowError
from skylarkdoord.direct.rollout_services._messages import (
    decision_from_wire,
    decision_to_wire,
    report_from_wire,
    report_to_wire,
)
from skylarkdoord.direct.rollouts import Decision, Report, RolloutOrder, sum_reports

# Time without an update until an entry counts as lost for its roll-outs, in seconds.
# Its closed stream tells sooner.
LOST_AFTER_S = 2.0


class News(Protocol):
    """What `RolloutPeers` sends, and to whom it hands what it receives."""

    def decisions_to_send(self, *, is_first: bool) -> list[Decision]:
        """Return the decisions for an update; all of them in a stream's first one."""

    def reports_to_send(self) -> list[Report]:
        """Return this entry's reports on the orders in progress."""

    def on_decision(self, decision: Decision, source: str) -> None:
        """Called with each decision of another entry, also if repeated."""


class Sender(NamedTuple):
    """One run of an entry.

    Attributes:
        instance: Name of the entry.
        incarnation: Random number that it chose at its start.
    """

    instance: str
    incarnation: int


class RolloutPeers:
    """Sends and receives the parts of updates that concern roll-outs.

    Args:
        members: The other entries.
        news: What is sent, and who receives it.

    Attributes:
        reports: Latest report of each run of an entry, by service.
    """

    def __init__(self, members: Members, news: News) -> None:
        self.members = members
        self.news = news
        self.reports: dict[str, dict[Sender, Report]] = {}
        self.log = events.get_logger("direct.rollouts")

    def fill(self, update: pb.EntryNews, *, is_first: bool) -> None:
        """Add the decisions and reports to an update.

        Args:
            update: The update.
            is_first: Whether it is the first of its stream.
        """
        decisions = self.news.decisions_to_send(is_first=is_first)
        update.decisions.extend(map(decision_to_wire, decisions))
        update.rollout_reports.extend(map(report_to_wire, self.news.reports_to_send()))

    def receive(self, update: pb.EntryNews) -> None:
        """Take over the decisions and reports in an update; malformed ones are left."""
        for decision in update.decisions:
            try:
                decoded = decision_from_wire(decision)
            except RowError as error:
                self.reject("decisions", update.instance, error)
                continue
            self.news.on_decision(decoded, update.instance)
        sender = Sender(update.instance, update.incarnation)
        for report in update.rollout_reports:
            try:
                received = report_from_wire(report)
            except RowError as error:
                self.reject("rollout_reports", update.instance, error)
                continue
            reports = self.reports.setdefault(received.order.service, {})
            reports[sender] = received

    def reject(self, field: str, sender: str, error: RowError) -> None:
        """Log a malformed part of an update."""
        self.log.event(
            _events.ROW_REJECTED, key=f"{field} of {sender}", error=str(error)
        )

    def sum(self, order: RolloutOrder, own: Report | None) -> Report:
        """Return the evidence of all entries on an order.

        The report of a lost entry stays, but nothing of it runs any more.

        Args:
            order: The order.
            own: This entry's report.
        """
        reports = self.reports.setdefault(order.service, {})
        for sender, report in list(reports.items()):
            if report.order.ordered_at < order.ordered_at:
                del reports[sender]
        summed = [own] if own is not None else []
        for sender, report in reports.items():
            if self.is_live(sender):
                summed.append(report)
            else:
                newest = summed[0] if summed else report
                summed.append(
                    report._replace(
                        running_old=0,
                        running_old_once=0,
                        term=newest.term,
                        step=newest.step,
                    )
                )
        total = sum_reports(order, summed)
        if self.has_silent_entry(order):
            # An entry that has not reported yet may have heard of no decision.
            total = total._replace(term=0, step=0)
        return total

    def has_heard(self, decision: Decision) -> bool:
        """Return whether all live entries report that they hold a decision."""
        reports = self.reports.get(decision.order.service, {})
        held = (decision.term, decision.step)
        return all(
            report is not None
            and report.order == decision.order
            and (report.term, report.step) >= held
            for report in map(reports.get, self.live())
        )

    def has_silent_entry(self, order: RolloutOrder) -> bool:
        """Return whether a live entry has sent no report on an order."""
        reports = self.reports.get(order.service, {})
        return any(
            report is None or report.order != order
            for report in map(reports.get, self.live())
        )

    def live(self) -> list[Sender]:
        """Return the other entries that are live."""
        return [
            sender
            for name, member in self.members.by_name.items()
            if self.is_live(sender := Sender(name, member.incarnation))
        ]

    def is_live(self, sender: Sender) -> bool:
        """Return whether this run of an entry is in touch with this entry."""
        member = self.members.by_name.get(sender.instance)
        if member is None or member.incarnation != sender.incarnation:
            return False
        timeout_s = max(LOST_AFTER_S, self.members.live_timeout_s())
        age_s = self.members.clock() - member.last_update_at
        return not member.has_closed_stream and age_s < timeout_s

    def position(self, excluded: str = "") -> int:
        """Return how many live entries precede this one by name.

        Args:
            excluded: Name of an entry that does not count.
        """
        return sum(
            sender.instance < self.members.instance and sender.instance != excluded
            for sender in self.live()
        )
