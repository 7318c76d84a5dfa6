"""Carries a plan out on the engine beside this sidecar."""

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
    EngineSilentError,
    FencedError,
    StalePlanError,
)

PLAN_FRESH_S = 2.0
QUIET_S = PLAN_FRESH_S + ORDER_TIMEOUT_S + 1.0
REPEAT_S = 30.0

FENCE_GROWS = invariants.define(
    "fence_grows", "A sidecar never gives an order of an older plan than before."
)

Clock = Callable[[], float]


class OrderedEngine(Protocol):
    """An engine that takes orders."""

    async def state(self) -> EngineState:
        """Return what the engine carries."""

    async def send(self, order: Order, *, fence: int) -> None:
        """Have an order carried out."""


class ReadPlan(NamedTuple):
    """A plan as it was read.

    Attributes:
        assignment: What the engine is to carry.
        fence: Revision of the plan's row in the table. It grows with each plan,
            within an epoch and from one epoch to the next, since a plan is only
            written by the holder of the lease.
        read_at: Monotonic time before the read was sent, in seconds.
    """

    assignment: Assignment
    fence: int
    read_at: float


class Orders:
    """Compares the engine with the plan and orders the difference.

    An engine that ignores fencing numbers is protected by time: what was read is
    acted on only for `PLAN_FRESH_S`, an order takes at most `ORDER_TIMEOUT_S`,
    and a sidecar gives no order until longer than both together have passed
    since it became the engine's owner.

    Args:
        engine: The engine.
        ownership: Whether this life of the sidecar may give orders.
        clock: Monotonic seconds.
    """

    def __init__(
        self, engine: OrderedEngine, ownership: Ownership, clock: Clock
    ) -> None:
        self.engine = engine
        self.ownership = ownership
        self.clock = clock
        self.fence = 0
        self.sent_at: dict[Order, float] = {}
        self.log = events.get_logger("planner.orders")

    async def follow(
        self, plan: ReadPlan, *, fencing: str, is_idle: Callable[[], bool]
    ) -> None:
        """Give the orders that the plan asks for, as far as may be.

        Args:
            plan: The plan.
            fencing: Whether the engine checks fencing numbers: `check` or `ignore`.
            is_idle: Returns whether nothing runs, so that a model may go.

        Raises:
            DeposedError: A later life of this sidecar gives the orders.
            PlatformError: The table gave no answer.
        """
        await self.ownership.claim()
        if plan.fence < self.fence or not self._may_order(fencing):
            return
        self.fence = plan.fence
        try:
            await self._reconcile(plan, is_idle)
        except FencedError as error:
            self.log.event(_events.ORDER_FENCED, fence=plan.fence, error=str(error))
        except EngineSilentError as error:
            self.log.event(_events.ORDER_UNANSWERED, error=str(error))
        except StalePlanError as error:
            self.log.event(_events.PLAN_STALE, error=str(error))

    def _may_order(self, fencing: str) -> bool:
        claimed_at = self.ownership.claimed_at
        if claimed_at is None:
            return False
        return fencing == "check" or self.clock() >= claimed_at + QUIET_S

    async def _reconcile(self, plan: ReadPlan, is_idle: Callable[[], bool]) -> None:
        state = await self.engine.state()
        wanted = _wanted(plan.assignment)
        orders = missing_orders(state, wanted)
        if is_idle():
            orders += surplus_orders(state, wanted)
        if not orders:
            return
        confirmed_at = await self.ownership.confirm()
        known_at = min(plan.read_at, confirmed_at)
        for order in orders:
            await self._send(order, plan.fence, known_at)

    async def _send(self, order: Order, fence: int, known_at: float) -> None:
        now = self.clock()
        if now - known_at > PLAN_FRESH_S:
            raise StalePlanError(f"read {now - known_at:.1f} s ago")
        if now - self.sent_at.get(order, -REPEAT_S) < REPEAT_S:
            return
        invariants.check(FENCE_GROWS, fence >= self.fence, fence=fence)
        self.sent_at.pop(order, None)
        self.log.event(
            _events.ORDER_SENT, action=order.action, target=order.name, fence=fence
        )
        try:
            await self.engine.send(order, fence=fence)
        except EngineSilentError:
            # It may still be carried out, so it is not repeated for a while.
            self.sent_at[order] = now
            raise


def _wanted(assignment: Assignment) -> EngineState:
    return EngineState(
        models=frozenset(assignment.models),
        adapters=frozenset(assignment.adapters),
        role=assignment.role,
    )
