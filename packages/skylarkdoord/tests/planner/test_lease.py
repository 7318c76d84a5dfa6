"""The planner's lease under pauses and faults of the table."""

import asyncio
import contextlib

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarkdoor.clients import PlatformError, Put
from skylarkdoord.planner._lease import LEASE_S, MARGIN_S, Lease
from skylarkdoord.planner._rows import decode_lease, lease_key
from skylarkdoord.planner.exceptions import DeposedError

from .._fakes import FakeClock, FakeTable

POOL = "assistant"
KEY = lease_key(POOL)
WAITS = [0.5, LEASE_S / 3, LEASE_S / 2, LEASE_S - MARGIN_S, LEASE_S, LEASE_S + MARGIN_S]
MODES = ["ok", "ok", "ok", "down", "lost_ack"]
ACTORS = st.integers(min_value=0, max_value=2)


async def read(table: FakeTable, lease: Lease) -> None:
    """Have a candidate read the row now."""
    read_at = lease.clock()
    lease.observe(await table.get(KEY), read_at)


class TestTakeOver:
    """A holder paused past its lease."""

    async def test_after_silence(self):
        """The lease goes on once it has been silent for its length and a margin."""
        clock, table = FakeClock(), FakeTable()
        first, second = (Lease(table, POOL, name, clock) for name in ("a", "b"))
        assert await first.claim()
        await read(table, second)
        clock.now += LEASE_S
        assert (first.is_held, second.may_claim()) == (False, False)
        clock.now += MARGIN_S
        assert second.may_claim()
        assert await second.claim()
        assert second.epoch == 2

    async def test_woken_holder(self):
        """The table refuses what a woken holder writes, before it has looked."""
        clock, table = FakeClock(), FakeTable()
        first, second = (Lease(table, POOL, name, clock) for name in ("a", "b"))
        assert await first.claim()
        await read(table, second)
        clock.now += LEASE_S + MARGIN_S
        assert await second.claim()
        with pytest.raises(DeposedError):
            await first.write(Put("plan", b"old"))
        assert "plan" not in table.rows

    async def test_lost_acknowledgement(self):
        """A claim whose answer was lost isn't acted on, and is claimed again."""
        clock, table = FakeClock(), FakeTable()
        lease = Lease(table, POOL, "a", clock)
        table.set_mode("lost_ack")
        with pytest.raises(PlatformError):
            await lease.claim()
        assert not lease.is_held
        table.set_mode("ok")
        await read(table, lease)
        assert lease.may_claim()
        assert await lease.claim()
        assert lease.epoch == 2


class LeaseMachine(RuleBasedStateMachine):
    """Three candidates whose steps are cut by pauses and faults."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.table = FakeTable()
        self.leases = [Lease(self.table, POOL, name, self.clock) for name in "abc"]
        self.reads = [(None, 0.0)] * 3
        self.plans = [0]
        self.epochs = [0]

    def run(self, awaitable):
        """Run to the end; a refusal or a fault of the table is no failure."""
        with contextlib.suppress(PlatformError, DeposedError):
            return asyncio.run(awaitable)

    @rule(seconds=st.sampled_from(WAITS))
    def wait(self, seconds):
        """Let time pass."""
        self.clock.now += seconds

    @rule(actor=ACTORS)
    def read_row(self, actor):
        """Read the row; the reader may be paused before it looks at it."""
        row = self.run(self.table.get(KEY))
        self.reads[actor] = (row, self.clock.now)

    @rule()
    def freeze_reads(self):
        """Have reads answered with the present state until the next write."""
        self.table.set_mode("stale")

    @rule(actor=ACTORS, mode=st.sampled_from(MODES))
    def act(self, actor, mode):
        """Look at the row read last, then renew or claim."""
        self.table.set_mode(mode)
        lease = self.leases[actor]
        lease.observe(*self.reads[actor])
        if lease.held is not None:
            self.run(lease.renew())
        elif lease.may_claim():
            self.run(lease.claim())
        self.table.set_mode("ok")

    @rule(actor=ACTORS)
    def step(self, actor):
        """Read, look and act without a pause."""
        self.read_row(actor)
        self.act(actor, "ok")

    @rule(actor=ACTORS)
    def write_plan(self, actor):
        """Write a plan, as one does who was paused after its last check."""
        lease = self.leases[actor]
        if lease.held is not None:
            value = str(lease.held.row.epoch).encode()
            self.run(lease.write(Put("plan", value)))

    @invariant()
    def one_holder(self):
        """At most one candidate may act as the planner."""
        assert sum(lease.is_held for lease in self.leases) <= 1

    @invariant()
    def epochs_grow(self):
        """Neither the lease nor the plan goes back to an earlier epoch."""
        if KEY in self.table.rows:
            self.epochs.append(decode_lease(self.table.rows[KEY].value).epoch)
        if "plan" in self.table.rows:
            self.plans.append(int(self.table.rows["plan"].value))
        assert self.epochs[-1] >= self.epochs[-2:][0]
        assert self.plans[-1] >= self.plans[-2:][0]


LeaseMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=50, derandomize=True, deadline=None
)
TestLeaseMachine = LeaseMachine.TestCase
