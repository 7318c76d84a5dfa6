"""Tests of the planner's lease with paused processes and table faults."""

import asyncio
import contextlib

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarkdoor.clients import PlatformError, Put
from skylarkdoor.clock import boot_time_s
from skylarkdoord.planner._lease import LEASE_MARGIN_S, LEASE_S, Lease
from skylarkdoord.planner._rows import decode_lease, lease_key
from skylarkdoord.planner.exceptions import SupersededError

from .._fakes import FakeClock, FakeTable

POOL = "assistant"
KEY = lease_key(POOL)
WAITS = [
    0.5,
    LEASE_S / 3,
    LEASE_S / 2,
    LEASE_S - LEASE_MARGIN_S,
    LEASE_S,
    LEASE_S + LEASE_MARGIN_S,
]
MODES = ["ok", "ok", "ok", "down", "lost_ack"]
ACTORS = st.integers(min_value=0, max_value=2)


async def read(table: FakeTable, lease: Lease) -> None:
    """Let a candidate observe the current row."""
    read_at = lease.clock()
    lease.observe(await table.get(KEY), read_at)


class TestTakeover:
    """Takeover of the lease from a holder that no longer renews it."""

    async def test_after_expiry(self):
        """A candidate may claim after the lease's length and a margin, not before."""
        clock, table = FakeClock(), FakeTable()
        first, second = (Lease(table, POOL, name, clock) for name in ("a", "b"))
        assert await first.claim()
        await read(table, second)
        clock.now += LEASE_S
        assert (first.is_held, second.may_claim()) == (False, False)
        clock.now += LEASE_MARGIN_S
        assert second.may_claim()
        assert await second.claim()
        assert second.epoch == 2

    async def test_resumed_holder(self):
        """The table rejects a write by a holder that resumes after a takeover."""
        clock, table = FakeClock(), FakeTable()
        first, second = (Lease(table, POOL, name, clock) for name in ("a", "b"))
        assert await first.claim()
        await read(table, second)
        clock.now += LEASE_S + LEASE_MARGIN_S
        assert await second.claim()
        with pytest.raises(SupersededError):
            await first.write(Put("plan", b"old"))
        assert "plan" not in table.rows

    async def test_lost_acknowledgement(self):
        """After a claim times out, the lease counts as not held and is reclaimed."""
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


class TestSuspend:
    """A holder whose machine was suspended for some seconds."""

    # Guards against a planner that acts on a lease which lapsed while it was suspended.
    def test_clock(self):
        """Its lease lapses by a clock that counts the time in suspend."""
        assert Lease(FakeTable(), POOL, "a").clock is boot_time_s


class LeaseMachine(RuleBasedStateMachine):
    """Three candidates that are paused between steps and meet table faults."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.table = FakeTable()
        self.leases = [Lease(self.table, POOL, name, self.clock) for name in "abc"]
        self.reads = [(None, 0.0)] * 3
        self.plans = [0]
        self.epochs = [0]

    def run(self, awaitable):
        """Run an awaitable; ignore errors due to table faults and lost leases."""
        with contextlib.suppress(PlatformError, SupersededError):
            return asyncio.run(awaitable)

    @rule(seconds=st.sampled_from(WAITS))
    def wait(self, seconds):
        """Advance the clock."""
        self.clock.now += seconds

    @rule(actor=ACTORS)
    def read_row(self, actor):
        """Read the row; a pause may follow before the candidate observes it."""
        row = self.run(self.table.get(KEY))
        self.reads[actor] = (row, self.clock.now)

    @rule()
    def freeze_reads(self):
        """Make reads return the present state until the next `act`."""
        self.table.set_mode("stale")

    @rule(actor=ACTORS, mode=st.sampled_from(MODES))
    def act(self, actor, mode):
        """Observe the row read last, then renew or claim."""
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
        """Read, observe and act without a pause."""
        self.read_row(actor)
        self.act(actor, "ok")

    @rule(actor=ACTORS)
    def write_plan(self, actor):
        """Write a plan without checking `is_held`, as after a pause since the check."""
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
        """The epochs of the lease and of the plan never decrease."""
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
