"""Assignment of upstream slots to waiting requests."""

import asyncio
import time

import pytest

from skylarkdoord.direct import _upstreams
from skylarkdoord.direct._adapter import UpstreamHead
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._upstream_limits import UpstreamLimits
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct.exceptions import NoFreeSlotError, VersionGoneError
from skylarkdoord.direct.rollouts import Versions
from skylarkdoord.direct.shares._data_centres import LeaveCosts

from ._make import SERVICE, make_admitted, make_record, make_request, make_route

V1 = Versions(only="v1")

pytestmark = pytest.mark.usefixtures("virtual_time")


class StubFleet:
    """A fleet with the upstreams that the test gives."""

    def __init__(self, records):
        self.records = records
        self.on_upstreams = []

    def upstreams(self, service):
        """Return the upstreams of a service."""
        return [record for record in self.records if record.service == service]

    def is_current(self, record):
        """Return whether an upstream is listed."""
        return record in self.records


def make_scheduler(*records, entries=1, instance="edge-1", **options):
    """Return a scheduler over these upstreams."""
    upstreams = Upstreams(StubFleet(list(records)), clock=time.monotonic)
    return Scheduler(
        upstreams,
        data_centre="north",
        instance=instance,
        live_entries=lambda: entries,
        limits=UpstreamLimits(instance, clock=time.monotonic),
        **options,
    )


class StubGuard:
    """A stream to a guard that records the offers made to it."""

    def __init__(self, record, *, is_connected=True):
        self.record = record
        self.is_connected = is_connected
        self.room = self.running = 0
        self.tokens_per_s = 0.0
        self.load_at = time.monotonic()
        self.offers_since_report = 0
        self.offered = []

    def offer(self, request, precedence, demand):
        """Record an offer."""
        self.offered.append(request)

    def ahead(self, tier):
        """Return that no request waits at the guard."""
        return 0

    def withdraw(self, request):
        """Ignore the withdrawal."""


@pytest.fixture
def scheduler():
    """Return a scheduler over one upstream, of which this entry may use three slots."""
    return make_scheduler(make_record(slots=2))


async def fill(scheduler, count):
    """Acquire `count` slots."""
    return [await scheduler.acquire(make_admitted()) for _ in range(count)]


class TestTime:
    """The time in which these tests run."""

    # Guards against a stall of the machine that a queue timeout takes for waiting.
    async def test_stall(self):
        """A stall takes no time, and waiting takes exactly its time."""
        began = time.monotonic()
        time.sleep(0.02)
        assert time.monotonic() == began
        await asyncio.sleep(0.5)
        assert time.monotonic() - began == pytest.approx(0.5)


class TestSlots:
    """Slots of upstreams without a guard."""

    async def test_share(self):
        """The entries share an upstream's slots, with overcommitment."""
        record = make_record(slots=8)
        scheduler = make_scheduler(record, entries=4)
        assert scheduler.choice.slot_limit(scheduler.upstreams.get(record)) == 3

    async def test_at_least_one_slot(self):
        """Each of many entries may use exactly one slot of a single upstream."""
        for number in range(50):
            scheduler = make_scheduler(
                make_record(slots=2), entries=50, instance=f"edge-{number}"
            )
            slot = await scheduler.acquire(make_admitted())
            second = asyncio.create_task(scheduler.acquire(make_admitted()))
            await asyncio.sleep(0)
            assert slot.upstream.running == 1
            assert not second.done()
            second.cancel()

    async def test_few_upstreams(self):
        """Each of many entries may use every upstream of a small service."""
        records = [make_record(f"i-{number}", slots=6) for number in range(3)]
        for number in range(29):
            scheduler = make_scheduler(*records, entries=29, instance=f"edge-{number}")
            slots = await fill(scheduler, 3)
            assert len({slot.upstream.instance for slot in slots}) == 3

    async def test_many_entries(self):
        """Many entries that lost the guards of a large service do not overload it."""
        records = [make_record(f"i-{number}", slots=8) for number in range(27)]
        totals = dict.fromkeys((record.instance for record in records), 0)
        for number in range(29):
            scheduler = make_scheduler(*records, entries=29, instance=f"edge-{number}")
            for upstream in scheduler.upstreams.of_service(SERVICE):
                totals[upstream.instance] += scheduler.choice.slot_limit(upstream)
        assert sum(totals.values()) <= 27 * 8 * 1.7
        assert max(totals.values()) <= 20
        assert min(totals.values()) >= 4

    async def test_guard_connecting(self):
        """A new engine is not used before the connection attempt to its guard ends."""
        record = make_record("i-1")
        scheduler = make_scheduler(record)
        opening = StubGuard(record, is_connected=False)
        scheduler.choice.guard_link_of = lambda _: opening
        waiting = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        assert not waiting.done()
        assert opening.offered == []
        scheduler.choice.guard_link_of = lambda _: None
        scheduler.on_guard_lost(opening)
        assert (await waiting).upstream.instance == "i-1"

    async def test_all_slots_in_use(self, scheduler):
        """A request waits while all slots are in use and gets the next free one."""
        slots = await fill(scheduler, 3)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        assert not waiting.done()
        scheduler.release(slots[0])
        assert (await waiting).upstream is slots[0].upstream

    async def test_excluded_upstream(self):
        """An excluded upstream is avoided if there is another one."""
        scheduler = make_scheduler(make_record("i-1"), make_record("i-2"))
        slot = await scheduler.acquire(make_admitted(), excluded=frozenset({"i-1"}))
        assert slot.upstream.instance == "i-2"

    async def test_excluded_only_upstream(self):
        """An excluded upstream is used if there is no other one."""
        scheduler = make_scheduler(make_record("i-1"))
        slot = await scheduler.acquire(make_admitted(), excluded=frozenset({"i-1"}))
        assert slot.upstream.instance == "i-1"


class TestOrder:
    """Order in which waiting requests are served."""

    async def order(self, scheduler, *requests):
        """Queue the requests in this order and return the order of their service."""
        slots = await fill(scheduler, 3)
        served = []

        async def serve(name, admitted):
            slot = await scheduler.acquire(admitted)
            served.append(name)
            await asyncio.sleep(0)
            scheduler.release(slot)

        tasks = []
        for name, admitted in requests:
            tasks.append(asyncio.create_task(serve(name, admitted)))
            await asyncio.sleep(0)
        scheduler.release(slots[0])
        await asyncio.gather(*tasks)
        return served

    async def test_tiers(self, scheduler):
        """The more important tier is served first, regardless of arrival."""
        served = await self.order(
            scheduler, ("low", make_admitted(rank=2)), ("high", make_admitted(rank=0))
        )
        assert served == ["high", "low"]

    async def test_late(self, scheduler):
        """Within a tier, requests that can meet their latency target go first."""
        received = time.monotonic() - 1.0
        late = make_request(received=received, deadline=received + 6.0)
        served = await self.order(
            scheduler,
            ("late", make_admitted(late)),
            ("timely", make_admitted()),
        )
        assert served == ["timely", "late"]

    async def test_late_in_higher_tier(self, scheduler):
        """A late request goes before a request of a less important tier."""
        received = time.monotonic() - 1.0
        late = make_request(received=received, deadline=received + 6.0)
        served = await self.order(
            scheduler,
            ("low", make_admitted(rank=1)),
            ("late", make_admitted(late, rank=0)),
        )
        assert served == ["late", "low"]


class TestQueueTimeout:
    """How long requests wait in the queue."""

    async def test_refused_within_latency_target(self, scheduler):
        """A request is refused once it can no longer meet its latency target."""
        await fill(scheduler, 3)
        route = make_route(target_latency_s=0.2)
        admitted = make_admitted(route=route)
        began = time.monotonic()
        with pytest.raises(NoFreeSlotError) as refused:
            await scheduler.acquire(admitted)
        assert time.monotonic() - began < 0.2
        assert 0 < refused.value.retry_after_s <= admitted.remaining_s() / 3

    async def test_overload(self, scheduler):
        """After a queue timeout, a request behind another one is refused at once."""
        await fill(scheduler, 3)
        quick = make_route(target_latency_s=0.2)
        with pytest.raises(NoFreeSlotError):
            await scheduler.acquire(make_admitted(route=quick))
        first = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        began = time.monotonic()
        with pytest.raises(NoFreeSlotError):
            await scheduler.acquire(make_admitted())
        assert time.monotonic() - began < 0.05
        assert not first.done()
        first.cancel()

    async def test_late_if_sent_now(self, scheduler):
        """A request that is late even if sent now has the timeout of a late one."""
        scheduler.upstreams.first_byte_averages_s[SERVICE] = 0.5
        request = make_request()
        admitted = make_admitted(request, make_route(target_latency_s=0.5))
        timeouts = scheduler.new_waiters.timeouts
        assert timeouts.is_late(admitted, request.received)
        assert timeouts.timeout_s(admitted, request.received) > 1.0

    async def test_late_timeout_is_limited(self, scheduler):
        """A late request has a short timeout, however far its deadline is."""
        received = time.monotonic() - 1.0
        request = make_request(received=received, deadline=received + 60.0)
        admitted = make_admitted(request, make_route(timeout_s=60.0))
        timeouts = scheduler.new_waiters.timeouts
        assert timeouts.timeout_s(admitted, time.monotonic()) <= 2.5

    async def test_overload_of_lower_tier(self, scheduler):
        """Overload in a less important tier does not refuse a more important one."""
        await fill(scheduler, 3)
        quick = make_route(target_latency_s=0.2)
        with pytest.raises(NoFreeSlotError):
            await scheduler.acquire(make_admitted(route=quick, rank=2))
        low = asyncio.create_task(scheduler.acquire(make_admitted(rank=2)))
        await asyncio.sleep(0)
        high = asyncio.create_task(scheduler.acquire(make_admitted(rank=0)))
        await asyncio.sleep(0.05)
        assert not high.done()
        low.cancel()
        high.cancel()

    async def test_caller_disconnects(self, scheduler):
        """A request whose caller disconnected gets no slot."""
        slots = await fill(scheduler, 3)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        scheduler.release(slots[0])
        assert slots[0].upstream.running == 2

    async def test_caller_disconnects_as_slot_is_granted(self, scheduler):
        """A slot granted just as the caller disconnects is freed again."""
        slots = await fill(scheduler, 3)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        scheduler.release(slots[0])
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert slots[0].upstream.running == 2
        await scheduler.acquire(make_admitted())


class TestUpstreamChoice:
    """Choice of the upstream."""

    async def test_least_busy(self):
        """Requests spread evenly over equal upstreams."""
        scheduler = make_scheduler(make_record("i-1"), make_record("i-2"))
        slots = await fill(scheduler, 4)
        assert sorted(slot.upstream.instance for slot in slots) == [
            "i-1",
            "i-1",
            "i-2",
            "i-2",
        ]

    async def test_slow(self):
        """An upstream that answers slowly gets fewer requests."""
        scheduler = make_scheduler(
            make_record("slow", slots=8), make_record("fast", slots=8)
        )
        slow, fast = scheduler.upstreams.of_service(SERVICE)
        slow.latency_ratio, fast.latency_ratio = 2.0, 0.6
        slots = await fill(scheduler, 8)
        taken = [slot.upstream.instance for slot in slots]
        assert taken.count("fast") >= 2 * taken.count("slow")

    async def test_failed(self):
        """An upstream that failed is paused; the last one is used nevertheless."""
        scheduler = make_scheduler(make_record("i-1"), make_record("i-2"))
        one, two = scheduler.upstreams.of_service(SERVICE)
        scheduler.upstreams.on_failure(one, "reset")
        slots = await fill(scheduler, 2)
        assert {slot.upstream.instance for slot in slots} == {"i-2"}
        scheduler.upstreams.on_failure(two, "reset")
        (slot,) = await fill(scheduler, 1)
        assert slot.upstream.instance in {"i-1", "i-2"}

    async def test_other_incarnation_at_address(self):
        """An upstream with an outdated address is not used until its record changes.

        Another incarnation answered at the address.
        """
        old, new = make_record("i-1"), make_record("i-2")
        scheduler = make_scheduler(old, new)
        upstreams = scheduler.upstreams
        now = time.monotonic()
        upstreams.clock = lambda: now
        upstreams.on_moved(upstreams.get(old))
        now += 60.0
        slots = await fill(scheduler, 3)
        assert {slot.upstream.instance for slot in slots} == {"i-2"}
        upstreams.fleet.records[0] = old._replace(address="10.0.0.9:80")
        (slot,) = await fill(scheduler, 1)
        assert slot.upstream.instance == "i-1"

    async def test_long_request(self):
        """A timeout does not pause an upstream that answered others meanwhile."""
        scheduler = make_scheduler(make_record("i-1"), make_record("i-2"))
        upstreams = scheduler.upstreams
        now = 100.0
        upstreams.clock = lambda: now
        one, two = upstreams.of_service(SERVICE)
        now = 101.0
        upstreams.on_success(one)
        now = 102.0
        upstreams.on_timeout(one, "timeout", since=100.5)
        upstreams.on_timeout(two, "timeout", since=100.5)
        assert not one.is_paused(now)
        assert two.is_paused(now)

    async def test_partly_silent(self):
        """An upstream that answers only half of its requests costs more than others."""
        scheduler = make_scheduler(
            *(make_record(name, slots=8) for name in ("silent", "b", "c", "d"))
        )
        upstreams = scheduler.upstreams
        silent, *healthy = upstreams.of_service(SERVICE)
        for _ in range(20):
            for upstream in (silent, *healthy):
                upstreams.on_answer(upstream, is_error=False)
                upstreams.on_success(upstream)
            upstreams.on_timeout(silent, "timeout", since=silent.answered_at)
        assert not silent.is_paused(silent.answered_at)
        assert scheduler.choice.cost(silent, 0) > scheduler.choice.cost(healthy[0], 7)


class TestNamedLimits:
    """Upstreams that named limits on their requests."""

    @pytest.fixture
    def scheduler(self):
        """Return a scheduler over a limited upstream and another one."""
        self.limited = make_record("i-1", slots=8)
        self.free = make_record("i-2", slots=8)
        scheduler = make_scheduler(self.limited, self.free)
        self.name_limit(scheduler, self.limited, 5.0)
        return scheduler

    @staticmethod
    def name_limit(scheduler, record, limit):
        """Let an upstream name a limit."""
        head = UpstreamHead("r1", False, False, True, False, limit)
        scheduler.limits.on_head(record, head)

    # Guards against requests that are held for an upstream's next token although
    # another one could run them.
    async def test_others_at_once(self, scheduler):
        """Requests go to the other upstream without delay."""
        slots = await fill(scheduler, 6)
        assert {slot.upstream.instance for slot in slots} == {"i-2"}

    # Guards against an upstream in need that gets nothing at all.
    async def test_waits_for_room(self, scheduler):
        """If all upstreams are limited, requests wait for their limits."""
        self.name_limit(scheduler, self.free, 5.0)
        slots = await fill(scheduler, 3)
        # After 0.2 s either upstream may run one, and after 0.4 s another one.
        assert [slot.waited_s for slot in slots] == pytest.approx([0.2, 0.0, 0.2])

    async def test_refused(self, scheduler):
        """A request for which no limit has room in time is refused as not run."""
        for record in (self.limited, self.free):
            self.name_limit(scheduler, record, 0.0)
        route = make_route(target_latency_s=0.2)
        with pytest.raises(NoFreeSlotError) as refusal:
            await scheduler.acquire(make_admitted(route=route))
        assert refusal.value.retry_after_s > 0.0
        assert not scheduler.waiters

    # Guards against requests that wait for a limit, and past the end of a short pause,
    # although another upstream may well run them.
    async def test_paused(self, scheduler):
        """A paused upstream is used while the only other one is at its limit."""
        self.name_limit(scheduler, self.limited, 0.01)
        scheduler.upstreams.on_failure(scheduler.upstreams.get(self.free), "lost")
        slot = await scheduler.acquire(make_admitted())
        assert slot.upstream.instance == "i-2"
        assert slot.waited_s < _upstreams.INITIAL_PAUSE_S

    async def test_guard(self, scheduler):
        """An offer to a guard takes up room until it is withdrawn."""
        scheduler.upstreams.fleet.records.remove(self.free)
        guard = StubGuard(self.limited)
        scheduler.choice.guard_link_of = lambda record: guard
        first = asyncio.create_task(scheduler.acquire(make_admitted()))
        while not guard.offered:
            await asyncio.sleep(0.01)
        assert not scheduler.limits.has_room(self.limited)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        assert scheduler.limits.has_room(self.limited)


class TestUnlikeEngines:
    """Guarded engines of which one is too slow for long answers."""

    @pytest.mark.parametrize(
        ("tokens", "offered"), [(0, 2), (100, 2), (1000, 1), (100_000, 1)]
    )
    async def test_fast_enough(self, tokens, offered):
        """A long answer is offered only to the faster engine."""
        records = [make_record("i-fast"), make_record("i-slow")]
        scheduler = make_scheduler(*records)
        guards = {record.instance: StubGuard(record) for record in records}
        guards["i-fast"].tokens_per_s = 250.0
        guards["i-slow"].tokens_per_s = 80.0
        scheduler.choice.guard_link_of = lambda record: guards[record.instance]
        request = make_request(expected_tokens=tokens, max_tokens=200_000)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted(request)))
        await asyncio.sleep(0)
        assert guards["i-fast"].offered
        assert sum(bool(guard.offered) for guard in guards.values()) == offered
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)


class TestVersions:
    """Requests that only upstreams of one version may take."""

    @pytest.fixture
    def scheduler(self):
        """Return a scheduler over an upstream of each of two versions."""
        return make_scheduler(
            make_record("old", slots=2, version="v1"),
            make_record("new", slots=8, version="v2"),
        )

    async def test_waits(self, scheduler):
        """It waits while only the other version has room, and blocks no other."""
        held = []
        while scheduler.choice.unguarded(SERVICE, frozenset(), V1):
            held.append(await scheduler.acquire(make_admitted(), version="v1"))
        waiting = asyncio.create_task(scheduler.acquire(make_admitted(), version="v1"))
        await asyncio.sleep(0)
        behind = await scheduler.acquire(make_admitted())
        assert behind.upstream.instance == "new"
        assert not waiting.done()
        scheduler.release(held[0])
        assert (await waiting).upstream.instance == "old"

    async def test_excluded(self, scheduler):
        """The only upstream of the version is used again rather than another one."""
        slot = await scheduler.acquire(
            make_admitted(), excluded=frozenset({"old"}), version="v1"
        )
        assert slot.upstream.instance == "old"

    # Guards against a stream that begins at a version of which another entry knows
    # nothing, and against other requests that wait for it.
    async def test_unannounced(self, scheduler):
        """Only requests that begin a stream leave a version out that others lack."""
        scheduler.upstreams.may_begin = lambda record: record.version != "v1"
        stream = make_admitted(route=make_route(is_resumable=True))
        for _ in range(3):
            slot = await scheduler.acquire(stream)
            assert slot.upstream.record.version != "v1"
        old = await scheduler.acquire(make_admitted(), versions=V1)
        resumed = await scheduler.acquire(stream, version="v1")
        assert {old.upstream.instance, resumed.upstream.instance} == {"old"}

    # Guards against a stream that its server goes on with after another start.
    @pytest.mark.parametrize("found", ["down", "lost", "restarted"])
    async def test_restarting(self, scheduler, found):
        """An upstream that may have ended takes no stream until it is listed anew."""
        old = next(scheduler.upstreams.listed(SERVICE))
        if found == "down":
            scheduler.upstreams.on_down(old.record)
        elif found == "lost":
            scheduler.upstreams.on_answer_lost(old, "lost")
        else:
            scheduler.upstreams.on_restarted(old.record, old.record.started_ms + 1)
        with pytest.raises(NoFreeSlotError):
            await scheduler.acquire(make_admitted(), version=old.record.version)
        slot = await scheduler.acquire(make_admitted(), versions=V1)
        assert slot.upstream is old

    # Guards against streams that are broken off because their version pauses briefly.
    async def test_wants_none(self, scheduler):
        """It waits while the version's upstreams want nothing for a time."""
        old = next(scheduler.upstreams.listed(SERVICE))
        scheduler.upstreams.pause_as_stated(old, 0.1)
        slot = await scheduler.acquire(make_admitted(), version="v1")
        assert slot.upstream is old

    async def test_leaving(self, scheduler):
        """An upstream of the version that leaves is none for it."""
        next(scheduler.upstreams.listed(SERVICE)).is_leaving = True
        with pytest.raises(VersionGoneError):
            await scheduler.acquire(make_admitted(), version="v1")

    async def test_gone(self, scheduler):
        """If no upstream of the version is left, the request is refused at once."""
        with pytest.raises(VersionGoneError):
            await scheduler.acquire(make_admitted(), version="v0")


class TestServedLate:
    """A burst fills all slots for longer than the latency target allows to wait."""

    async def test_served_late(self):
        """A request that missed its target gets the next slot instead of a refusal."""
        scheduler = make_scheduler(make_record(slots=2), serves_late=True)
        slots = await fill(scheduler, 3)
        quick = make_route(target_latency_s=0.2)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted(route=quick)))
        await asyncio.sleep(0.15)
        assert not waiting.done()
        scheduler.release(slots[0])
        assert (await waiting).upstream is slots[0].upstream

    async def test_behind_others(self):
        """Requests that can still meet their target go before a late one."""
        scheduler = make_scheduler(make_record(slots=2), serves_late=True)
        slots = await fill(scheduler, 3)
        quick = make_route(target_latency_s=0.2)
        late = asyncio.create_task(scheduler.acquire(make_admitted(route=quick)))
        await asyncio.sleep(0.15)
        timely = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        scheduler.release(slots[0])
        await asyncio.sleep(0)
        assert timely.done() and not late.done()
        late.cancel()

    async def test_refused_in_time(self):
        """If no slot becomes free, the request is refused before its deadline."""
        scheduler = make_scheduler(make_record(slots=2), serves_late=True)
        await fill(scheduler, 3)
        now = time.monotonic()
        request = make_request(received=now, deadline=now + 2.0)
        route = make_route(target_latency_s=0.2)
        with pytest.raises(NoFreeSlotError):
            await scheduler.acquire(make_admitted(request, route))
        assert time.monotonic() - now < 1.8

    async def test_former_grant_returned(self):
        """A grant that was on its way when the request became late is returned."""
        record = make_record("i-1")
        scheduler = make_scheduler(record, serves_late=True)
        guard = StubGuard(record)
        scheduler.choice.guard_link_of = lambda _: guard
        quick = make_route(target_latency_s=0.2)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted(route=quick)))
        await asyncio.sleep(0.15)
        first, second = guard.offered
        scheduler.on_grant(guard, first)
        await asyncio.sleep(0)
        assert not waiting.done()
        scheduler.on_grant(guard, second)
        assert (await waiting).request == second

    async def test_without_the_setting(self):
        """Without the setting it is refused when it can't meet its target."""
        scheduler = make_scheduler(make_record(slots=2))
        await fill(scheduler, 3)
        with pytest.raises(NoFreeSlotError):
            await scheduler.acquire(
                make_admitted(route=make_route(target_latency_s=0.2))
            )


class TestLeaving:
    """Offers to guards in this data centre and elsewhere."""

    def patient(self):
        """Return a request that waits for seconds, also on a busy machine."""
        return make_admitted(route=make_route(target_latency_s=5.0))

    def make(self, costs, *, home_room, other_room):
        """Return a scheduler, a guard in its data centre and one elsewhere."""
        records = [
            make_record("i-home"),
            make_record("i-other", data_centre="south"),
        ]
        scheduler = make_scheduler(*records, leave_costs=costs)
        scheduler.offering.leaving.min_home_guards = 1
        guards = {record.instance: StubGuard(record) for record in records}
        guards["i-home"].room = home_room
        guards["i-other"].room = other_room
        scheduler.choice.guard_link_of = lambda record: guards[record.instance]
        return scheduler, guards["i-home"], guards["i-other"]

    async def test_stays_while_it_is_served(self):
        """A request that is granted a slot at home is not offered elsewhere."""
        scheduler, home, other = self.make(
            LeaveCosts(0.02, 0.0), home_room=1, other_room=5
        )
        waiting = asyncio.create_task(scheduler.acquire(self.patient()))
        await asyncio.sleep(0)
        scheduler.on_grant(home, home.offered[0])
        assert (await waiting).upstream.instance == "i-home"
        await asyncio.sleep(0.03)
        assert not other.offered

    async def test_leaves_after_the_wait(self):
        """One that waited for as long as leaving costs is offered elsewhere."""
        scheduler, home, other = self.make(
            LeaveCosts(0.3, 0.0), home_room=0, other_room=5
        )
        waiting = asyncio.create_task(scheduler.acquire(self.patient()))
        await asyncio.sleep(0)
        assert home.offered and not other.offered
        await asyncio.sleep(0.4)
        assert other.offered
        waiting.cancel()

    async def test_leaves_when_others_report_room(self):
        """One that waits on leaves as soon as a report from elsewhere shows room."""
        scheduler, _, other = self.make(
            LeaveCosts(0.01, 0.0), home_room=0, other_room=0
        )
        waiting = asyncio.create_task(scheduler.acquire(self.patient()))
        await asyncio.sleep(0.02)
        assert not other.offered
        other.room = 5
        scheduler.on_guard_load(other)
        assert other.offered
        waiting.cancel()

    # Guards against slots that stay free elsewhere while a small data centre queues.
    async def test_few_guards_at_home(self):
        """With few guards at home, all are offered the request."""
        scheduler, home, other = self.make(
            LeaveCosts(10.0, 0.0), home_room=0, other_room=0
        )
        scheduler.offering.leaving.min_home_guards = 2
        waiting = asyncio.create_task(scheduler.acquire(self.patient()))
        await asyncio.sleep(0)
        assert home.offered and other.offered
        waiting.cancel()

    async def test_no_guard_at_home(self):
        """Without a guard at home it is offered elsewhere at once."""
        record = make_record("i-other", data_centre="south")
        scheduler = make_scheduler(record, leave_costs=LeaveCosts(10.0, 0.0))
        other = StubGuard(record)
        scheduler.choice.guard_link_of = lambda _: other
        waiting = asyncio.create_task(scheduler.acquire(self.patient()))
        await asyncio.sleep(0)
        assert other.offered
        waiting.cancel()
