"""Orders to an engine by sidecars that are paused, replaced and woken."""

import pytest

from skylarkdoord.planner._engine import EngineState, Order
from skylarkdoord.planner._orders import PLAN_FRESH_S, QUIET_S, Orders, ReadPlan
from skylarkdoord.planner._ownership import Ownership
from skylarkdoord.planner._rows import Assignment
from skylarkdoord.planner.exceptions import (
    DeposedError,
    EngineSilentError,
    FencedError,
)

from .._fakes import FakeClock, FakeTable


class FakeEngine:
    """An engine that keeps its orders; reading it may take long."""

    def __init__(self, clock: FakeClock, *, checks: bool):
        self.clock = clock
        self.checks = checks
        self.models = {"old"}
        self.fence = 0
        self.orders: list[tuple[int, Order]] = []
        self.pause_s = 0.0
        self.is_silent = False

    async def state(self) -> EngineState:
        """Return what it carries, after the pause set."""
        state = EngineState(frozenset(self.models), frozenset(), "both")
        self.clock.now += self.pause_s
        return state

    async def send(self, order: Order, *, fence: int) -> None:
        """Carry out an order, unless it is fenced off."""
        if self.checks and fence < self.fence:
            raise FencedError(f"{fence} < {self.fence}")
        self.fence = max(fence, self.fence)
        self.orders.append((fence, order))
        if self.is_silent:
            raise EngineSilentError("no answer")
        if order.action == "load_model":
            self.models.add(order.name)
        if order.action == "unload_model":
            self.models.discard(order.name)


class Setting:
    """One engine, its table and the lives of its sidecar."""

    def __init__(self, *, checks: bool):
        self.clock = FakeClock()
        self.table = FakeTable()
        self.engine = FakeEngine(self.clock, checks=checks)
        self.fencing = "check" if checks else "ignore"

    def life(self, name: str) -> Orders:
        """Return a new life of the sidecar."""
        ownership = Ownership(self.table, "owner", name, self.clock)
        return Orders(self.engine, ownership, self.clock)

    def plan(self, *models: str, fence: int) -> ReadPlan:
        """Return a plan read now."""
        return ReadPlan(Assignment(models, (), "both"), fence, self.clock.now)

    async def follow(self, life: Orders, plan: ReadPlan, *, is_idle: bool = True):
        """Have a life follow a plan."""
        await life.follow(plan, fencing=self.fencing, is_idle=lambda: is_idle)


@pytest.fixture(params=[True, False], ids=["check", "ignore"])
def setting(request) -> Setting:
    """Return an engine that checks fencing numbers, then one that ignores them."""
    return Setting(checks=request.param)


class TestReconcile:
    """What is ordered."""

    async def test_difference(self, setting):
        """What lacks is loaded before what is surplus goes."""
        life = setting.life("a")
        await setting.follow(life, setting.plan("new", fence=1))
        setting.clock.now += QUIET_S
        await setting.follow(life, setting.plan("new", fence=1))
        actions = [order for _, order in setting.engine.orders]
        assert actions == [Order("load_model", "new"), Order("unload_model", "old")]

    async def test_busy(self, setting):
        """Nothing is unloaded while requests run."""
        life = setting.life("a")
        await setting.follow(life, setting.plan("new", fence=1), is_idle=False)
        setting.clock.now += QUIET_S
        await setting.follow(life, setting.plan("new", fence=1), is_idle=False)
        assert setting.engine.models == {"old", "new"}

    async def test_unanswered(self, setting):
        """An order that got no answer is not given again at once."""
        life = setting.life("a")
        setting.engine.is_silent = True
        await setting.follow(life, setting.plan("old", "new", fence=1))
        setting.clock.now += QUIET_S
        for _ in range(3):
            await setting.follow(life, setting.plan("old", "new", fence=1))
        assert len(setting.engine.orders) == 1


class TestPaused:
    """A sidecar paused past what it knows."""

    async def test_while_reading(self, setting):
        """What was read too long ago is not acted on."""
        life = setting.life("a")
        await life.ownership.claim()
        setting.clock.now += QUIET_S
        setting.engine.pause_s = PLAN_FRESH_S + 0.1
        await setting.follow(life, setting.plan("new", fence=1))
        assert setting.engine.orders == []

    async def test_replaced(self, setting):
        """A former life that wakes with an old plan orders nothing."""
        former, later = setting.life("a"), setting.life("b")
        await former.ownership.claim()
        setting.clock.now += QUIET_S
        old = setting.plan("old", fence=1)
        await later.ownership.claim()
        setting.clock.now += QUIET_S
        await setting.follow(later, setting.plan("new", fence=2))
        with pytest.raises(DeposedError):
            await setting.follow(former, old)
        assert [fence for fence, _ in setting.engine.orders] == [2, 2]
        assert setting.engine.models == {"new"}

    async def test_later_life_waits(self):
        """Where the engine ignores numbers, a new life first lets old orders end."""
        setting = Setting(checks=False)
        life = setting.life("b")
        await life.ownership.claim()
        setting.clock.now += QUIET_S - 0.1
        await setting.follow(life, setting.plan("new", fence=2))
        assert setting.engine.orders == []

    async def test_fenced(self):
        """An engine that checks numbers refuses an older plan of any life."""
        setting = Setting(checks=True)
        setting.engine.fence = 5
        life = setting.life("a")
        await setting.follow(life, setting.plan("new", fence=4))
        assert setting.engine.orders == []
