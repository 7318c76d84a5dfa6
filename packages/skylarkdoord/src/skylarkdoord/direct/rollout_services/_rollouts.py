"""Rolls out software versions: reads orders, coordinates and exchanges decisions."""

import asyncio
from collections.abc import Callable, Iterator
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoor.clock import boot_time_s
from skylarkdoor.kernel import Kernel
from skylarkdoor.tasks import end_tasks
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter, Row, Store
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._metrics import ROLLOUT_PHASE
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct.rollout_services._coordinator import RolloutCoordinator
from skylarkdoord.direct.rollout_services._orders import RolloutOrders, is_same
from skylarkdoord.direct.rollout_services._peers import RolloutPeers
from skylarkdoord.direct.rollout_services._watch import EvidenceWatch
from skylarkdoord.direct.rollouts import (
    Capacity,
    Decision,
    EvidenceHistory,
    Phase,
    Recent,
    Report,
    RolloutGate,
    RolloutOrder,
    Versions,
)

# Interval at which evidence is looked at and coordination is checked, in seconds.
TICK_S = 0.1
# The reports of many entries are summed less often, so that it takes little of a core.
EVIDENCE_INTERVAL_PER_ENTRY_S = 0.0005
# Time for which final decisions are repeated in updates, in seconds. Later updates
# state them only at the beginning of a stream.
FINAL_REPEAT_S = 10.0
PHASE_NUMBERS = {
    Phase.TRIAL: 1,
    Phase.HANDOVER: 2,
    Phase.COMPLETED: 3,
    Phase.REVERTED: 4,
}


class RolloutDependencies(NamedTuple):
    """Components that roll-outs depend on.

    Attributes:
        adapter: Translates the platform's protocols.
        store: The platform's store.
        gate: Limits what is sent to versions on trial.
        scheduler: Holds the waiting requests and lists the upstreams.
        retry_versions: Returns the versions for a service's requests that are no trial.
        notify: Sends an update to all entries at once.
        wake: Sends an update to one entry at once.
    """

    adapter: Adapter
    store: Store
    gate: RolloutGate
    scheduler: Scheduler
    retry_versions: Callable[[str], Versions]
    notify: Callable[[], None]
    wake: Callable[[str], None]


class Rollouts:
    """The service that handles the orders of all services.

    Args:
        dependencies: Components that it depends on.
        members: The other entries.
        clock: Returns monotonic time that includes time in suspend, in seconds.

    Attributes:
        orders: Latest order of each service.
        heard_at: Monotonic time at which a decision on a service was last heard of, or
            its order was read, in seconds.
        sources: Entry that last sent the decision in force, by service.
    """

    name = "rollouts"
    requires: tuple[str, ...] = ("entries",)

    def __init__(
        self,
        dependencies: RolloutDependencies,
        members: Members,
        *,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.gate = dependencies.gate
        self.scheduler = dependencies.scheduler
        self.retry_versions = dependencies.retry_versions
        self.notify = dependencies.notify
        self.wake = dependencies.wake
        self.clock = clock
        self.orders = RolloutOrders(dependencies.adapter)
        self.peers = RolloutPeers(members, self)
        self.coordinator = RolloutCoordinator(
            self, self.peers, dependencies.adapter, dependencies.store
        )
        self.heard_at: dict[str, float] = {}
        self.sources: dict[str, str] = {}
        self.histories: dict[str, EvidenceHistory] = {}
        self.decided_at: dict[str, float] = {}
        self.has_orders = asyncio.Event()
        self.log = events.get_logger("direct.rollouts")

    async def start(self, kernel: Kernel) -> None:
        """Start the tasks that coordinate and look at evidence."""
        self.tasks = [
            kernel.supervise(self.coordinate, name="rollouts.coordinate"),
            kernel.supervise(self.watch_evidence, name="rollouts.evidence"),
        ]

    async def stop(self) -> None:
        """Stop the tasks; another entry goes on with the coordination."""
        await end_tasks(self.tasks)

    async def coordinate(self) -> None:
        """Coordinate orders until cancelled."""
        while True:
            await self.has_orders.wait()
            await self.coordinator.check()
            await asyncio.sleep(TICK_S)

    async def watch_evidence(self) -> None:
        """Look at the evidence on orders until cancelled."""
        watch = EvidenceWatch(self, self.peers, notify=self.notify, wake=self.wake)
        while True:
            await self.has_orders.wait()
            for order in list(self.in_progress()):
                watch.look(order)
            entries = len(self.peers.members.by_name)
            await asyncio.sleep(max(TICK_S, EVIDENCE_INTERVAL_PER_ENTRY_S * entries))

    def in_progress(self) -> Iterator[RolloutOrder]:
        """Yield the orders whose roll-outs have not ended."""
        for service, order in self.orders.latest.items():
            decision = self.decision(order)
            if self.is_served(service) and not (decision and decision.phase.is_final):
                yield order

    def is_served(self, service: str) -> bool:
        """Return whether the configuration has a service."""
        routing = self.scheduler.upstreams.fleet.routing
        return routing is not None and service in routing.config.services

    def decision(self, order: RolloutOrder) -> Decision | None:
        """Return the coordinator's decision in force on an order; None without one."""
        decision = self.gate.decision(order.service)
        if decision is None or decision.order != order or not decision.term:
            return None
        return decision

    def on_row(self, row: Row, is_snapshot: bool) -> None:
        """Take over a row of the configuration's table if it is a newer order.

        Args:
            row: The row.
            is_snapshot: Whether it was read with the whole table, so that the order may
                be older than this process.
        """
        order = self.orders.take_row(row)
        if order is None:
            return
        self.log.event(
            _events.ROLLOUT_ORDERED,
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
            ordered_at=order.ordered_at,
        )
        self.coordinator.on_order(order, is_snapshot=is_snapshot)
        self.gate.expect(order, self.clock())
        self.heard_at[order.service] = self.clock()
        self.sources.pop(order.service, None)
        self.change_versions(order.service)
        self.has_orders.set()

    def on_decision(self, decision: Decision, source: str) -> None:
        """Take over a decision of another entry, if it takes precedence."""
        self.take(decision)
        known = self.gate.decision(decision.order.service)
        if known is not None and known.precedence == decision.precedence:
            self.heard_at[decision.order.service] = self.clock()
            self.sources[decision.order.service] = source

    def take(self, decision: Decision) -> bool:
        """Take over a decision; return whether it is news."""
        order = decision.order
        known = self.gate.decision(order.service)
        if known and not known.term and is_same(known.order, order):
            # The order was read in another era than by the entry that decided.
            self.gate.forget(order.service)
        self.orders.take(order)
        if not self.gate.apply(decision, self.clock()):
            return False
        self.has_orders.set()
        self.decided_at[order.service] = self.clock()
        # Tells the others of the decision, or the coordinator that it was heard.
        self.notify()
        if known is None or not known.term or _differs(known, decision):
            self.log_decision(decision)
            self.change_versions(order.service)
        return True

    def log_decision(self, decision: Decision) -> None:
        """Log the phase that a roll-out entered."""
        service = decision.order.service
        ROLLOUT_PHASE.labels(service).set(PHASE_NUMBERS[decision.phase])
        report = self.peers.sum(decision.order, self.gate.report(service))
        self.log.event(
            _events.ROLLOUT_DECIDED,
            service=service,
            version=decision.order.version,
            phase=decision.phase.value,
            share=decision.share,
            term=decision.term,
            step=decision.step,
            reason=decision.reason,
            sent_new=report.sent_new,
            sent_old=report.sent_old,
        )

    def change_versions(self, service: str) -> None:
        """Let the waiting requests of a service use the versions that they may now."""
        self.scheduler.change_versions(service, self.retry_versions(service))

    def decisions_to_send(self, *, is_first: bool) -> list[Decision]:
        """Return the decisions for an update to another entry.

        The coordinator repeats each of its decisions, as the others take them for the
        sign that they are in touch.
        """
        decisions = []
        for service, order in self.orders.latest.items():
            decision = self.decision(order)
            if decision is None:
                continue
            if decision.phase.is_final:
                is_sent = is_first or self.is_recent(service)
            else:
                is_sent = self.coordinator.is_sender(service)
            if is_sent:
                decisions.append(decision)
        return decisions

    def reports_to_send(self) -> list[Report]:
        """Return this entry's reports on the orders that are not long ended.

        They also tell the coordinator which decision this entry holds.
        """
        reports = []
        for service, order in self.orders.latest.items():
            decision = self.decision(order)
            is_ended = decision is not None and decision.phase.is_final
            if self.is_served(service) and (not is_ended or self.is_recent(service)):
                reports.append(self.gate.report(service))
        return [report for report in reports if report is not None]

    def is_recent(self, service: str) -> bool:
        """Return whether the decision on a service has not held for long."""
        return self.clock() - self.decided_at.get(service, 0.0) < FINAL_REPEAT_S

    def is_sender(self, service: str) -> bool:
        """Return whether this entry coordinates a service."""
        return self.coordinator.is_sender(service)

    def evidence(self, order: RolloutOrder) -> Report:
        """Return the evidence of all entries on an order."""
        return self.peers.sum(order, self.gate.report(order.service))

    def recent(self, evidence: Report) -> Recent:
        """Return the recent part of the evidence of all entries."""
        service = evidence.order.service
        history = self.histories.setdefault(service, EvidenceHistory())
        return history.recent(evidence, self.clock())

    def capacity(self, order: RolloutOrder, withheld: frozenset[str]) -> Capacity:
        """Return the slots of a service's upstreams that are ready.

        Args:
            order: The order.
            withheld: Versions that get nothing, whose slots don't count.
        """
        old_slots = new_slots = 0
        for upstream in self.scheduler.upstreams.of_service(order.service):
            record = upstream.record
            if record.version == order.version:
                new_slots += record.slots
            elif record.version not in withheld:
                old_slots += record.slots
        return Capacity(old_slots, new_slots)


def _differs(first: Decision, second: Decision) -> bool:
    """Return whether two decisions differ in what is sent to the new version."""
    return (first.order, first.phase, first.share) != (
        second.order,
        second.phase,
        second.share,
    )
