"""Brings the engine beside this sidecar in line with the pool's plan."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from skylarkdoor import events, invariants
from skylarkdoord import _events
from skylarkdoord.planner._engine import (
    ORDER_TIMEOUT_S,
    EngineState,
    Order,
    missing_orders,
    surplus_orders,
)
from skylarkdoord.planner._ownership import Ownership
from skylarkdoord.planner._rows import Assignment
from skylarkdoord.planner.exceptions import (
    EngineUnavailableError,
    FencedError,
    StalePlanError,
)

PLAN_MAX_AGE_S = 2.0
# By then, every order of an earlier incarnation of the sidecar has ended.
TAKEOVER_DELAY_S = PLAN_MAX_AGE_S + ORDER_TIMEOUT_S + 1.0
# Wait before an order that timed out is sent again: it may still be in progress.
RETRY_INTERVAL_S = 30.0

FENCE_GROWS = invariants.define(
    "fence_grows", "A sidecar never sends an order of a plan older than its last one."
)

Clock = Callable[[], float]


class OrderTarget(Protocol):
    """An engine that reports its state and accepts orders."""

    async def state(self) -> EngineState:
        """Return the engine's current state."""

    async def send(self, order: Order, *, fence: int) -> None:
        """Send an order to the engine."""


class ReadPlan(NamedTuple):
    """A plan as read from the table.

    Attributes:
        assignment: The desired state of the engine.
        fence: Fencing number: the revision of the plan's row in the table. It
            increases with each plan, within and across epochs, since only the
            holder of the lease writes plans.
        read_at: Monotonic time before the read was sent, in seconds.
    """

    assignment: Assignment
    fence: int
    read_at: float


class Reconciler:
    """Compares the engine's state with the plan and sends orders for the difference.

    For an engine that ignores fencing numbers, time limits prevent conflicting
    orders: a plan is acted on for at most `PLAN_MAX_AGE_S` after it was read, an
    order takes at most `ORDER_TIMEOUT_S`, and a sidecar sends no order until
    `TAKEOVER_DELAY_S`, which exceeds their sum, after it became the engine's owner.

    Args:
        engine: The engine.
        ownership: Whether this incarnation of the sidecar may send orders.
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, engine: OrderTarget, ownership: Ownership, clock: Clock) -> None:
        self.engine = engine
        self.ownership = ownership
        self.clock = clock
        self.fence = 0
        self.sent_at: dict[Order, float] = {}
        self.log = events.get_logger("planner.orders")

    async def reconcile(
        self, plan: ReadPlan, *, fencing: str, is_idle: Callable[[], bool]
    ) -> None:
        """Send the orders that the plan requires, if this sidecar may send any.

        Args:
            plan: The plan.
            fencing: Whether the engine checks fencing numbers: `check` or `ignore`.
            is_idle: Returns whether the engine runs no requests, so that models and
                adapters may be unloaded.

        Raises:
            SupersededError: A later incarnation of this sidecar owns the engine.
            PlatformError: The table did not answer.
        """
        await self.ownership.claim()
        if plan.fence < self.fence or not self._may_order(fencing):
            return
        self.fence = plan.fence
        try:
            await self._send_difference(plan, is_idle)
        except FencedError as error:
            self.log.event(_events.ORDER_FENCED, fence=plan.fence, error=str(error))
        except EngineUnavailableError as error:
            self.log.event(_events.ORDER_UNANSWERED, error=str(error))
        except StalePlanError as error:
            self.log.event(_events.PLAN_STALE, error=str(error))

    def _may_order(self, fencing: str) -> bool:
        claimed_at = self.ownership.claimed_at
        if claimed_at is None:
            return False
        return fencing == "check" or self.clock() >= claimed_at + TAKEOVER_DELAY_S

    async def _send_difference(
        self, plan: ReadPlan, is_idle: Callable[[], bool]
    ) -> None:
        state = await self.engine.state()
        desired = _desired_state(plan.assignment)
        orders = missing_orders(state, desired)
        if is_idle():
            orders += surplus_orders(state, desired)
        if not orders:
            return
        confirmed_at = await self.ownership.confirm()
        valid_at = min(plan.read_at, confirmed_at)
        for order in orders:
            await self._send(order, plan.fence, valid_at)

    async def _send(self, order: Order, fence: int, valid_at: float) -> None:
        now = self.clock()
        if now - valid_at > PLAN_MAX_AGE_S:
            raise StalePlanError(f"plan or owner was read {now - valid_at:.1f} s ago")
        if now - self.sent_at.get(order, -RETRY_INTERVAL_S) < RETRY_INTERVAL_S:
            return
        invariants.check(FENCE_GROWS, fence >= self.fence, fence=fence)
        self.sent_at.pop(order, None)
        self.log.event(
            _events.ORDER_SENT, action=order.action, target=order.name, fence=fence
        )
        try:
            await self.engine.send(order, fence=fence)
        except EngineUnavailableError:
            # The engine may still carry the order out, so its retry is delayed.
            self.sent_at[order] = now
            raise


def _desired_state(assignment: Assignment) -> EngineState:
    return EngineState(
        models=frozenset(assignment.models),
        adapters=frozenset(assignment.adapters),
        role=assignment.role,
    )
