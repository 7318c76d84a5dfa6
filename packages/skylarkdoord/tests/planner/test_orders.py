"""Tests of orders to an engine by sidecars that are paused or replaced."""

import pytest

from skylarkdoord.planner._engine import EngineState, Order
from skylarkdoord.planner._ownership import Ownership
from skylarkdoord.planner._reconciler import (
    PLAN_MAX_AGE_S,
    TAKEOVER_DELAY_S,
    ReadPlan,
    Reconciler,
)
from skylarkdoord.planner._rows import Assignment
from skylarkdoord.planner.exceptions import (
    EngineUnavailableError,
    FencedError,
    SupersededError,
)

from .._fakes import FakeClock, FakeTable


class FakeEngine:
    """Engine that records its orders and whose state may be slow to read."""

    def __init__(self, clock: FakeClock, *, checks: bool):
        self.clock = clock
        self.checks = checks
        self.models = {"old"}
        self.fence = 0
        self.orders: list[tuple[int, Order]] = []
        self.pause_s = 0.0
        self.is_unresponsive = False

    async def state(self) -> EngineState:
        """Return the loaded models, after advancing the clock by `pause_s`."""
        state = EngineState(frozenset(self.models), frozenset(), "both")
        self.clock.now += self.pause_s
        return state

    async def send(self, order: Order, *, fence: int) -> None:
        """Record and carry out an order, unless its fencing number is too low."""
        if self.checks and fence < self.fence:
            raise FencedError(f"{fence} < {self.fence}")
        self.fence = max(fence, self.fence)
        self.orders.append((fence, order))
        if self.is_unresponsive:
            raise EngineUnavailableError("no answer")
        if order.action == "load_model":
            self.models.add(order.name)
        if order.action == "unload_model":
            self.models.discard(order.name)


class Scenario:
    """An engine, its table and the incarnations of its sidecar."""

    def __init__(self, *, checks: bool):
        self.clock = FakeClock()
        self.table = FakeTable()
        self.engine = FakeEngine(self.clock, checks=checks)
        self.fencing = "check" if checks else "ignore"

    def start_incarnation(self, name: str) -> Reconciler:
        """Return the reconciler of a new incarnation of the sidecar."""
        ownership = Ownership(self.table, "owner", name, self.clock)
        return Reconciler(self.engine, ownership, self.clock)

    def plan(self, *models: str, fence: int) -> ReadPlan:
        """Return a plan read at the present time."""
        return ReadPlan(Assignment(models, (), "both"), fence, self.clock.now)

    async def reconcile(
        self, incarnation: Reconciler, plan: ReadPlan, *, is_idle: bool = True
    ):
        """Let an incarnation apply a plan."""
        await incarnation.reconcile(plan, fencing=self.fencing, is_idle=lambda: is_idle)


@pytest.fixture(params=[True, False], ids=["check", "ignore"])
def scenario(request) -> Scenario:
    """Return an engine that checks fencing numbers, then one that ignores them."""
    return Scenario(checks=request.param)


class TestReconcile:
    """Orders that are sent for a plan."""

    async def test_difference(self, scenario):
        """Missing models are loaded before surplus models are unloaded."""
        incarnation = scenario.start_incarnation("a")
        await scenario.reconcile(incarnation, scenario.plan("new", fence=1))
        scenario.clock.now += TAKEOVER_DELAY_S
        await scenario.reconcile(incarnation, scenario.plan("new", fence=1))
        actions = [order for _, order in scenario.engine.orders]
        assert actions == [Order("load_model", "new"), Order("unload_model", "old")]

    async def test_busy(self, scenario):
        """Nothing is unloaded while requests run."""
        incarnation = scenario.start_incarnation("a")
        await scenario.reconcile(
            incarnation, scenario.plan("new", fence=1), is_idle=False
        )
        scenario.clock.now += TAKEOVER_DELAY_S
        await scenario.reconcile(
            incarnation, scenario.plan("new", fence=1), is_idle=False
        )
        assert scenario.engine.models == {"old", "new"}

    async def test_unanswered(self, scenario):
        """An order that got no answer is not repeated immediately."""
        incarnation = scenario.start_incarnation("a")
        scenario.engine.is_unresponsive = True
        await scenario.reconcile(incarnation, scenario.plan("old", "new", fence=1))
        scenario.clock.now += TAKEOVER_DELAY_S
        for _ in range(3):
            await scenario.reconcile(incarnation, scenario.plan("old", "new", fence=1))
        assert len(scenario.engine.orders) == 1


class TestPaused:
    """Sidecars that act on outdated data after a pause."""

    async def test_while_reading(self, scenario):
        """A plan that has become too old while the engine was read is not applied."""
        incarnation = scenario.start_incarnation("a")
        await incarnation.ownership.claim()
        scenario.clock.now += TAKEOVER_DELAY_S
        scenario.engine.pause_s = PLAN_MAX_AGE_S + 0.1
        await scenario.reconcile(incarnation, scenario.plan("new", fence=1))
        assert scenario.engine.orders == []

    async def test_replaced(self, scenario):
        """An earlier incarnation that resumes with an old plan sends no orders."""
        former, later = scenario.start_incarnation("a"), scenario.start_incarnation("b")
        await former.ownership.claim()
        scenario.clock.now += TAKEOVER_DELAY_S
        old = scenario.plan("old", fence=1)
        await later.ownership.claim()
        scenario.clock.now += TAKEOVER_DELAY_S
        await scenario.reconcile(later, scenario.plan("new", fence=2))
        with pytest.raises(SupersededError):
            await scenario.reconcile(former, old)
        assert [fence for fence, _ in scenario.engine.orders] == [2, 2]
        assert scenario.engine.models == {"new"}

    async def test_later_incarnation_waits(self):
        """A new incarnation waits for old orders to end if fencing is ignored."""
        scenario = Scenario(checks=False)
        incarnation = scenario.start_incarnation("b")
        await incarnation.ownership.claim()
        scenario.clock.now += TAKEOVER_DELAY_S - 0.1
        await scenario.reconcile(incarnation, scenario.plan("new", fence=2))
        assert scenario.engine.orders == []

    async def test_fenced(self):
        """An engine that checks fencing numbers refuses orders of an older plan."""
        scenario = Scenario(checks=True)
        scenario.engine.fence = 5
        incarnation = scenario.start_incarnation("a")
        await scenario.reconcile(incarnation, scenario.plan("new", fence=4))
        assert scenario.engine.orders == []
