"""Coordinates roll-outs: decides, and writes decisions and statuses to the store.

Answers the loss of the coordinator, of all entries and of the store at any time: what
was decided is in the store before anybody acts on it.
"""

import asyncio

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter, Store
from skylarkdoord.direct._model import MS_PER_S
from skylarkdoord.direct._store_calls import StoreCalls
from skylarkdoord.direct.exceptions import StoreError
from skylarkdoord.direct.rollout_services._lease import (
    LEASE_S,
    RENEW_INTERVAL_S,
    ROLLOUTS,
    RolloutLease,
)
from skylarkdoord.direct.rollout_services._orders import is_same
from skylarkdoord.direct.rollout_services._peers import RolloutPeers, Sender
from skylarkdoord.direct.rollout_services._status import StatusWriter
from skylarkdoord.direct.rollout_services._turns import (
    STANDBY_INTERVAL_S,
    RolloutTurns,
    holder_name,
)
from skylarkdoord.direct.rollout_services._view import RolloutView
from skylarkdoord.direct.rollouts import (
    Decision,
    Phase,
    RolloutOrder,
    first_decision,
    next_decision,
    withheld_after,
)

# Interval of the calls that follow a failed one or one that found another coordinator,
# in seconds.
RETRY_INTERVAL_S = 0.4
# Longest time that the status of a reversion waits for the other entries to hear of it,
# in seconds.
MAX_HEARING_S = 0.4
# Time before the end of the duration at which it waits no longer, in seconds.
MIN_STATUS_S = 0.2
# Writes that take longer than this are logged, in seconds.
SLOW_WRITE_S = 0.2


class RolloutCoordinator:
    """Coordinates the roll-outs for which this entry is, or becomes, responsible.

    Args:
        view: Orders, decisions and evidence.
        peers: The other entries.
        adapter: Encodes statuses.
        store: The platform's store.

    Attributes:
        leases: Rows of the store, by service.
        verified: Orders whose final decision and status were found in the store.
        unrestored: Orders that may be older than this process and whose rows it has
            not read yet.
        previous: Latest decision on the former order, by service.
    """

    def __init__(
        self, view: RolloutView, peers: RolloutPeers, adapter: Adapter, store: Store
    ) -> None:
        self.view = view
        self.peers = peers
        self.store = store
        members = peers.members
        self.turns = RolloutTurns(view, peers)
        self.holder = holder_name(Sender(members.instance, members.incarnation))
        self.statuses = StatusWriter(adapter, store)
        self.leases: dict[str, RolloutLease] = {}
        self.verified: dict[str, RolloutOrder] = {}
        self.unrestored: set[str] = set()
        self.previous: dict[str, Decision] = {}
        self.seen_at: dict[str, float] = {}
        self.renewed_at: dict[str, float] = {}
        self.called_at: dict[str, float] = {}
        self.clock_offset_s = 0.0
        self.log = events.get_logger("direct.rollouts")
        self.calls = StoreCalls(ROLLOUTS, self.log)

    def on_order(self, order: RolloutOrder, *, is_snapshot: bool) -> None:
        """Prepare for a new order, before the gate expects it."""
        former = self.view.gate.decision(order.service)
        if former is not None and former.term:
            self.previous[order.service] = former
        if is_snapshot and former is None:
            self.unrestored.add(order.service)
        self.seen_at[order.service] = self.view.clock()
        self.called_at.pop(order.service, None)

    def on_new_era(self) -> None:
        """Read everything again, as the store may have lost it."""
        for lease in self.leases.values():
            lease.is_current = False
        self.verified.clear()
        self.statuses.forget()

    def lease(self, service: str) -> RolloutLease:
        """Return the row of a service."""
        if service not in self.leases:
            self.leases[service] = RolloutLease(service, self.store, self.holder)
        return self.leases[service]

    def is_sender(self, service: str) -> bool:
        """Return whether this entry coordinates, also while the store is away."""
        lease = self.leases.get(service)
        if lease is None or lease.record is None or lease.record.holder != self.holder:
            return False
        decision = self.view.gate.decision(service)
        # A decision without a term only says that an order is expected.
        return decision is not None and decision.term in (0, lease.term)

    def now_s(self) -> float:
        """Return the store's clock, in seconds."""
        return self.view.clock() + self.clock_offset_s

    def on_store_answer(self, clock_s: float) -> None:
        """Count a successful call and synchronize with the store's clock."""
        self.calls.on_answer()
        self.clock_offset_s = clock_s - self.view.clock()

    async def check(self) -> None:
        """Coordinate the roll-outs for which this entry is responsible."""
        due = [
            order
            for service, order in self.view.orders.latest.items()
            if self.view.is_served(service) and self.is_due(order)
        ]
        await asyncio.gather(*map(self.try_to_coordinate, due))

    async def try_to_coordinate(self, order: RolloutOrder) -> None:
        """Bring an order forward unless the store fails."""
        try:
            await self.coordinate(order)
        except StoreError as error:
            self.called_at[order.service] = self.view.clock()
            self.calls.on_failure(error)

    def is_due(self, order: RolloutOrder) -> bool:
        """Return whether this entry has to look at the row of an order now."""
        service = order.service
        now = self.view.clock()
        since_call_s = now - self.called_at.get(service, 0.0)
        if service in self.unrestored:
            return since_call_s >= RETRY_INTERVAL_S
        decision = self.view.decision(order)
        if decision is not None and decision.phase.is_final:
            if self.verified.get(service) == order:
                return False
            is_first = self.peers.position() == 0 or self.is_sender(service)
            return is_first and since_call_s >= RETRY_INTERVAL_S
        if self.is_sender(service):
            return not self.calls.is_failing or since_call_s >= RETRY_INTERVAL_S
        if not self.turns.is_next(service):
            return False
        if self.turns.is_coordinated(service):
            return since_call_s >= STANDBY_INTERVAL_S
        return since_call_s >= RETRY_INTERVAL_S

    async def coordinate(self, order: RolloutOrder) -> None:
        """Bring the decision on an order and its status forward.

        Raises:
            StoreError: The store did not answer.
        """
        service = order.service
        lease = self.lease(service)
        known = self.view.decision(order)
        if known is not None and known.term > lease.term:
            lease.is_current = False
        if not lease.is_held or service in self.unrestored:
            self.called_at[service] = self.view.clock()
            await self.read(order, lease)
            order = self.view.orders.latest[service]
        decision = self.view.decision(order)
        if decision is not None and decision.phase.is_final:
            await self.verify(decision, lease)
            return
        if not lease.is_held and not self.turns.may_take_over(lease, self.now_s()):
            return
        decided = self.decide(order, decision, lease)
        is_due = decided != decision or self.is_renewal_due(service)
        if is_due and not await self.write(decided, lease):
            return
        await self.write_status(decided)

    async def read(self, order: RolloutOrder, lease: RolloutLease) -> None:
        """Read the rows of a service and take over what they state.

        Raises:
            StoreError: The store did not answer.
        """
        service = order.service
        self.on_store_answer(await lease.read())
        await self.statuses.read(service)
        self.unrestored.discard(service)
        record = lease.record
        if record is not None and record.decision.order.service == service:
            stated = record.decision
            is_of_order = is_same(stated.order, order)
            if is_of_order or stated.order.ordered_at >= order.ordered_at:
                self.view.take(stated)
            else:
                self.previous.setdefault(service, stated)
        phase = self.statuses.final_phase(order)
        if phase is not None and self.view.decision(order) is None:
            # The decision was lost, but the operator was told.
            self.view.take(
                Decision(
                    order,
                    phase,
                    share=1.0,
                    started_s=self.now_s(),
                    term=lease.term + 1,
                    reason="the status states it",
                )
            )

    def decide(
        self, order: RolloutOrder, decision: Decision | None, lease: RolloutLease
    ) -> Decision:
        """Return the decision on an order, under this entry's term."""
        term = lease.term if lease.is_held else self.next_term(decision, lease)
        if decision is None:
            previous = self.previous.get(order.service)
            withheld = frozenset(withheld_after(order, previous))
            seen_at = self.seen_at.get(order.service, self.view.clock())
            return first_decision(
                order,
                self.view.capacity(order, withheld),
                seen_at + self.clock_offset_s,
                term,
                previous,
            )
        evidence = self.view.evidence(order)
        return next_decision(
            decision._replace(term=term),
            evidence,
            self.view.capacity(order, frozenset(decision.withheld)),
            self.now_s(),
            self.view.gate.bounds,
            recent=self.view.recent(evidence),
            is_store_reachable=not self.calls.is_failing,
        )

    def next_term(self, decision: Decision | None, lease: RolloutLease) -> int:
        """Return a term above all that are known."""
        return max(lease.term, decision.term if decision else 0) + 1

    def is_renewal_due(self, service: str) -> bool:
        """Return whether the lease has to be renewed."""
        age_s = self.view.clock() - self.renewed_at.get(service, 0.0)
        return age_s >= RENEW_INTERVAL_S

    async def write(self, decision: Decision, lease: RolloutLease) -> bool:
        """Write a decision and act on it; return whether the row still was as read.

        Raises:
            StoreError: The store did not acknowledge the write.
        """
        service = decision.order.service
        was_held = lease.is_held
        began, offset_s = self.view.clock(), self.clock_offset_s
        clock_s = await lease.write(decision, self.now_s() + LEASE_S)
        if clock_s is None:
            self.called_at[service] = self.view.clock()
            return False
        self.on_store_answer(clock_s)
        self.log_slow_write(service, began, self.clock_offset_s - offset_s)
        self.renewed_at[service] = self.view.clock()
        if not was_held:
            self.log.event(
                _events.ROLLOUT_COORDINATED,
                service=service,
                version=decision.order.version,
                term=decision.term,
            )
        self.view.take(decision)
        self.view.heard_at[service] = self.view.clock()
        return True

    def log_slow_write(self, service: str, began: float, clock_change_s: float) -> None:
        """Log a write that took long.

        Args:
            service: The service.
            began: Monotonic time of the call, in seconds.
            clock_change_s: Change in the difference of the store's clock, in seconds.
        """
        took_s = self.view.clock() - began
        if took_s > SLOW_WRITE_S:
            self.log.event(
                _events.ROLLOUT_WRITE_SLOW,
                service=service,
                took_ms=round(took_s * MS_PER_S),
                clock_ms=round(clock_change_s * MS_PER_S),
            )

    async def verify(self, decision: Decision, lease: RolloutLease) -> None:
        """Make sure that the store has a final decision and its status.

        Raises:
            StoreError: The store did not answer.
        """
        record = lease.record
        if record is None or record.decision.precedence < decision.precedence:
            again = decision._replace(term=self.next_term(decision, lease))
            if not await self.write(again, lease):
                return
            decision = again
        await self.write_status(decision)

    async def write_status(self, decision: Decision) -> None:
        """Write the status that a decision states, once it holds at all entries.

        Raises:
            StoreError: The store did not acknowledge the write.
        """
        if self.statuses.is_written(decision) or not self.is_heard(decision):
            return
        if await self.statuses.write(decision) and decision.phase.is_final:
            self.verified[decision.order.service] = decision.order

    def is_heard(self, decision: Decision) -> bool:
        """Return whether the live entries have heard of a reversion, or won't in time.

        Nothing may be sent to the version after the operator was told.
        """
        if decision.phase is not Phase.REVERTED:
            return True
        order = decision.order
        since_s = self.view.clock() - self.view.decided_at.get(order.service, 0.0)
        left_s = decision.started_s + order.duration_s - self.now_s()
        if since_s >= MAX_HEARING_S or left_s < MIN_STATUS_S:
            return True
        return self.peers.has_heard(decision)
