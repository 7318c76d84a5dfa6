"""Tests of `LimitRecords`, which preserves customers' use over a full restart."""

import contextlib
from types import SimpleNamespace

import pytest

from skylarkdoor.kernel import Kernel
from skylarkdoor.wire import pb
from skylarkdoord.direct import Row, Rows
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._limit_record import LimitRecord
from skylarkdoord.direct._limit_records import (
    LIMITS,
    MAX_WRITE_BURST,
    WRITE_RATE,
    LimitRecords,
)
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.evidence._crashes import Crashes
from skylarkdoord.direct.exceptions import QuotaError, StoreError

from ._make import Clock, make_admitted, make_customer, make_request

BOUNDS = QuotaBounds(window_s=8.0, overshoot=0.1)
# 8 s at 100 tokens per second, with the overshoot of 10 %.
ALLOWED = 800 * 1.1
STEP_S = 0.01
CHECK_STEPS = 10


class StubStore:
    """A store with its own clock, which is not affected by the power loss."""

    CLOCK_OFFSET_S = 5000.0

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.puts = 0
        self.tries = 0
        self.is_down = False

    async def read(self, table):
        """Return all rows."""
        assert table == LIMITS
        if self.is_down:
            raise StoreError("down")
        rows = tuple(Row(key, 1, data) for key, data in self.rows.items())
        return Rows(rows, 1, self.clock.now + self.CLOCK_OFFSET_S)

    async def put(self, table, key, data):
        """Write a row."""
        self.tries += 1
        if self.is_down:
            raise StoreError("down")
        self.puts += 1
        self.rows[key] = data
        return self.clock.now + self.CLOCK_OFFSET_S

    async def remove(self, table, key, version=None):
        """Remove a row."""
        self.rows.pop(key, None)


class Incarnation:
    """One incarnation of the only entry of a deployment."""

    def __init__(self, clock, store, instance="a", customer=None):
        self.clock = clock
        self.customer = customer or make_customer()
        self.quota = Quota(BOUNDS, clock=clock)
        self.position = 0
        config = SimpleNamespace(customers=[self.customer])
        members = SimpleNamespace(
            quota=self.quota,
            fleet=SimpleNamespace(routing=SimpleNamespace(config=config)),
            position=lambda: self.position,
        )
        self.records = LimitRecords(instance, store, members, clock=clock)

    async def serve(self, seconds, *, tokens=10, pause_steps=1):
        """Serve repeated requests of the customer; return when each was admitted."""
        sent = []
        request = make_request(prompt_tokens=tokens, max_tokens=0)
        admitted = make_admitted(request, customer=self.customer)
        for step in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            if step % CHECK_STEPS == 0:
                await self.records.check()
            if step % pause_steps == 0:
                with contextlib.suppress(QuotaError):
                    self.quota.use(admitted)
                    sent.append(self.clock.now)
        return sent


def most_in_window(sent, tokens=10):
    """Return the highest number of tokens sent within a window."""
    return max(sum(start <= at < start + 8.0 for at in sent) for start in sent) * tokens


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def store(clock):
    """Return a store."""
    return StubStore(clock)


@pytest.fixture
async def settled(clock, store):
    """Return an entry with complete totals that has run for a window."""
    entry = Incarnation(clock, store)
    await entry.records.restore()
    entry.quota.is_history_complete = True
    clock.now += 8.0
    return entry


class TestPowerLoss:
    """All entries lose their power at once, so that none has the totals."""

    @pytest.mark.parametrize("surge_s", [0.3, 0.6, 1.0, 3.0])
    async def test_surge_before(self, clock, store, settled, surge_s):
        """A limit that was used up in a surge counts after a power loss.

        Without the record 8 to 13 % too much was admitted, as use before the loss
        counts for most of a window after it.
        """
        sent = await settled.serve(surge_s)
        clock.now += 1.1
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        sent += await restarted.serve(8.0)
        assert most_in_window(sent) <= ALLOWED

    async def test_repeated_loss(self, clock, store, settled):
        """Power losses in quick succession do not raise the limit."""
        sent = await settled.serve(1.0)
        for _ in range(3):
            clock.now += 1.1
            restarted = Incarnation(clock, store)
            await restarted.records.restore()
            sent += await restarted.serve(2.5)
        assert most_in_window(sent) <= ALLOWED

    async def test_steady_use(self, clock, store, settled):
        """A customer below its limit is not refused after the restart."""
        sent = await settled.serve(8.0, tokens=5, pause_steps=10)
        clock.now += 1.1
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        after = await restarted.serve(8.0, tokens=5, pause_steps=10)
        assert len(sent) == len(after) == 80

    async def test_store_unavailable(self, clock, store):
        """Without a record hardly anything is admitted until a window has passed."""
        store.is_down = True
        entry = Incarnation(clock, store)
        entry.records.calls.on_failure(StoreError("down"))
        sent = await entry.serve(4.0)
        assert len(sent) * 10 <= 800 * 0.02

    async def surge_in_outage(self, clock, store, settled):
        """Return the times of a surge while the store is down, and after a restart."""
        store.is_down = True
        sent = await settled.serve(1.0)
        clock.now += 1.1
        store.is_down = False
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        return sent + await restarted.serve(8.0)

    # Guards against a limit used up while the store was away, unknown after a restart.
    async def test_surge_unrecorded(self, clock, store, settled):
        """A surge during an outage of the store counts after a power loss."""
        sent = await self.surge_in_outage(clock, store, settled)
        assert most_in_window(sent) <= ALLOWED

    # Guards against the same after a record that shows no use.
    async def test_surge_after_record(self, clock, store, settled):
        """A surge during an outage counts although a record precedes the outage."""
        await settled.serve(1.0, pause_steps=10_000)
        sent = await self.surge_in_outage(clock, store, settled)
        assert most_in_window(sent) <= ALLOWED

    async def test_idle_before(self, clock, store, settled):
        """A customer that was idle before a power loss has most of its limit after."""
        await settled.serve(8.0, pause_steps=10_000)
        clock.now += 1.1
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        sent = await restarted.serve(1.0)
        assert len(sent) * 10 >= 800 * 0.8

    # Guards against the same after a second loss, before the surge has left the window.
    async def test_loss_after_unknown_use(self, clock, store, settled):
        """An entry that does not know the use before its start records none."""
        await settled.serve(1.0, pause_steps=10_000)
        store.is_down = True
        sent = await settled.serve(1.0)
        store.is_down = False
        for _ in range(2):
            clock.now += 1.1
            restarted = Incarnation(clock, store)
            await restarted.records.restore()
            sent += await restarted.serve(2.5)
        assert most_in_window(sent) <= ALLOWED

    # Guards against refusals after a loss that depend on when the last record was
    # written: its use then stays in the window as one block, for up to a second longer.
    @pytest.mark.parametrize("steps", range(0, 150, 10))
    async def test_steady_use_any_phase(self, clock, store, settled, steps):
        """A customer at half its limit is not refused, whenever the loss comes."""
        seconds = 8.0 + steps * STEP_S
        await settled.serve(seconds, tokens=5, pause_steps=10)
        clock.now += 1.1
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        after = await restarted.serve(8.0, tokens=5, pause_steps=10)
        assert len(after) == 80

    # Guards against refusals after a loss that comes while entries restart in turn.
    async def test_writer_stopped(self, clock, store, settled):
        """A customer at half its limit is not refused if the writer stopped before."""
        await settled.serve(8.0, tokens=5, pause_steps=10)
        await settled.records.start(Kernel())
        await settled.records.stop()
        clock.now += 1.1
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        after = await restarted.serve(8.0, tokens=5, pause_steps=10)
        assert len(after) == 80

    # Guards against an idle customer that is refused because the store was read late.
    async def test_late_read(self, clock, store, settled):
        """The age of the record at the start counts, not at the first answer."""
        await settled.serve(8.0, pause_steps=10_000)
        clock.now += 1.1
        restarted = Incarnation(clock, store)
        clock.now += 3.0
        await restarted.records.restore()
        sent = await restarted.serve(1.0)
        assert len(sent) * 10 >= 800 * 0.8


class CutOffStore(StubStore):
    """A store that entry a can't write to at times.

    Attributes:
        is_cut_off: Whether it can't.
    """

    is_cut_off = False

    async def put(self, table, key, data):
        """Write a row."""
        if key == "a" and self.is_cut_off:
            raise StoreError("cut off")
        return await super().put(table, key, data)


class TestCutOff:
    """The first entry by name can't write, and another one could."""

    # Guards against use that nobody records as the writer is cut off from the store.
    async def test_power_loss(self, clock):
        """A limit that was used up since then counts after a power loss."""
        store = CutOffStore(clock)
        a, b = Incarnation(clock, store, "a"), Incarnation(clock, store, "b")
        members = Members("b", Fleet(None), b.quota, Crashes(), clock=clock)
        b.records.members.position = members.position
        for entry in (a, b):
            entry.quota.is_history_complete = True
        clock.now += 8.0
        await self.run(clock, a, b, members, seconds=8.0)
        store.is_cut_off = True
        sent = await self.run(clock, a, b, members, seconds=0.5, tokens=10)
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        sent += await restarted.serve(8.0)
        assert most_in_window(sent) <= ALLOWED

    async def run(self, clock, a, b, members, *, seconds, tokens=0):
        """Let both run, and a serve requests if they have tokens."""
        sent = []
        for _ in range(round(seconds / (STEP_S * CHECK_STEPS))):
            members.receive(pb.EntryNews(instance="a", incarnation=1))
            await b.records.check()
            served = await a.serve(
                STEP_S * CHECK_STEPS,
                tokens=max(1, tokens),
                pause_steps=1 if tokens else CHECK_STEPS,
            )
            b.quota.charge(a.customer.name, len(served) * tokens)
            sent += served if tokens else []
        return sent


class TestWriteRate:
    """Calls of the store."""

    # Guards against ten calls a second, for each check, when many customers surge one
    # after the other.
    @pytest.mark.parametrize("is_down", [False, True])
    async def test_many_surges(self, clock, store, settled, is_down):
        """Customers that use their limits one after the other cause a few calls."""
        store.is_down = is_down
        names = [f"customer-{number}" for number in range(200)]
        customers = [make_customer(name=name) for name in names]
        settled.records.members.fleet.routing.config.customers = customers
        for name in names:
            clock.now += 0.1
            settled.quota.charge(name, 800.0)
            await settled.records.check()
        assert store.tries <= MAX_WRITE_BURST + 20 * WRITE_RATE

    async def test_idle(self, store, settled):
        """A record is renewed about once a second without use."""
        await settled.serve(12.0, pause_steps=10_000)
        assert 9 <= store.puts <= 11


class TestLimitRecords:
    """`LimitRecords`."""

    async def test_steady_use_is_recorded_rarely(self, store, settled):
        """One record is written for each 8 % of a limit, not for each request."""
        await settled.serve(8.0, tokens=5, pause_steps=10)
        assert 5 <= store.puts <= 7

    async def test_not_first(self, store, settled):
        """Only the first entry writes records."""
        settled.position = 1
        await settled.serve(1.0)
        assert store.puts == 0

    async def test_just_started(self, clock, store):
        """An entry that has just started writes no record yet."""
        entry = Incarnation(clock, store)
        entry.quota.is_history_complete = True
        await entry.serve(1.5)
        assert store.puts == 0
        await entry.serve(1.0)
        assert store.puts > 0

    async def test_others_use(self, store, settled):
        """Use by other entries is recorded too."""
        settled.quota.charge("garden", 300.0)
        await settled.records.check()
        assert b'"garden": 300.0' in store.rows["a"]

    async def test_suspended(self, clock, store, settled):
        """A record's age is right even if the machine was suspended."""
        await settled.serve(0.5)
        clock.now += 7.0
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        (use,) = restarted.quota.accounts["garden"].uses
        assert use.at == pytest.approx(clock.now - 7.1, abs=0.11)

    async def test_two_records(self, clock, store, settled):
        """Of the records of two partitioned entries the higher use counts."""
        await settled.serve(0.5)
        other = Incarnation(clock, store, instance="b")
        other.quota.is_history_complete = True
        clock.now += 3.0
        await other.serve(0.2)
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        assert restarted.quota.totals()["garden"] >= 400.0

    # Guards against use that leaves the window early because of another entry's record.
    async def test_older_record(self, clock, store):
        """A limit used up 4 s before a record counts, whatever an older one shows."""
        now = clock.now + store.CLOCK_OFFSET_S
        newer = LimitRecord(now, {"garden": 800.0}, {"garden": 0.0})
        older = LimitRecord(now - 6.0, {"garden": 100.0}, {"garden": 100.0})
        store.rows = {"a": newer.encode(), "b": older.encode()}
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        sent = await restarted.serve(3.5)
        assert 800.0 + 10 * len(sent) <= ALLOWED

    async def test_malformed(self, store, settled):
        """A malformed record is ignored."""
        store.rows["z"] = b"[]"
        store.rows["y"] = b'{"at_s": 1, "used": {}}'
        store.rows["x"] = b'{"at_s": 6000.5, "used": {"garden": 9.0}, "recent": []}'
        await settled.records.restore()
        assert settled.quota.totals() == {}

    async def test_former_record(self, clock, store):
        """The use in a record of a former build, without halves, counts as recent."""
        at_s = clock.now + store.CLOCK_OFFSET_S - 1.0
        store.rows["a"] = f'{{"at_s": {at_s}, "used": {{"garden": 9.0}}}}'.encode()
        restarted = Incarnation(clock, store)
        await restarted.records.restore()
        (use,) = restarted.quota.accounts["garden"].uses
        assert use.units == 9.0
        assert use.at == pytest.approx(clock.now - 1.0)

    async def test_expired(self, clock, store, settled):
        """An expired record is not applied and is removed."""
        await settled.serve(0.5)
        clock.now += 100.0
        restarted = Incarnation(clock, store, instance="b")
        await restarted.records.restore()
        assert restarted.quota.totals() == {}
        assert store.rows == {}

    # Guards against a call every 0.1 s for as long as the store is away.
    async def test_idle_outage(self, store, settled):
        """Without use, a store that is down is tried again twice a window."""
        store.is_down = True
        await settled.serve(8.0, pause_steps=10_000)
        assert 1 <= store.tries <= 3

    async def test_store_down(self, store, settled):
        """A record that could not be written is written once the store is available."""
        store.is_down = True
        await settled.serve(0.5)
        store.is_down = False
        await settled.serve(0.2)
        assert store.puts > 0
