"""Which request gets which place, and when."""

import asyncio
import time

import pytest

from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct.exceptions import NoRoomError

from ._make import SERVICE, make_admitted, make_record, make_request, make_route


class StubFleet:
    """A fleet whose upstreams the test lists."""

    def __init__(self, records):
        self.records = records
        self.on_upstreams = []

    def upstreams(self, service):
        """Return the upstreams of a service."""
        return [record for record in self.records if record.service == service]

    def is_current(self, record):
        """Return whether an upstream takes work."""
        return record in self.records


def make_scheduler(*records, entries=1, instance="edge-1"):
    """Return a scheduler over these upstreams."""
    upstreams = Upstreams(StubFleet(list(records)))
    return Scheduler(
        upstreams,
        data_centre="north",
        instance=instance,
        live_entries=lambda: entries,
    )


class StubGuard:
    """A stream to a guard that notes what it is asked."""

    def __init__(self, record, *, is_connected=True):
        self.record = record
        self.is_connected = is_connected
        self.room = self.running = 0
        self.load_at = time.monotonic()
        self.offered = []

    def offer(self, request, precedence):
        """Note an offer."""
        self.offered.append(request)

    def withdraw(self, request):
        """Note nothing."""


@pytest.fixture
def scheduler():
    """Return a scheduler over one upstream with three places."""
    return make_scheduler(make_record(slots=2))


async def fill(scheduler, count):
    """Take so many places."""
    return [await scheduler.acquire(make_admitted()) for _ in range(count)]


class TestPlaces:
    """Places at upstreams without a guard."""

    async def test_share(self):
        """An upstream's slots are shared by the entries, with some to spare."""
        record = make_record(slots=8)
        scheduler = make_scheduler(record, entries=4)
        assert scheduler.slot_limit(scheduler.upstreams.get(record)) == 3

    async def test_one_at_least(self):
        """However many entries there are, each has a place, and one alone."""
        for number in range(50):
            scheduler = make_scheduler(
                make_record(slots=2), entries=50, instance=f"edge-{number}"
            )
            place = await scheduler.acquire(make_admitted())
            second = asyncio.create_task(scheduler.acquire(make_admitted()))
            await asyncio.sleep(0)
            assert place.upstream.running == 1
            assert not second.done()
            second.cancel()

    async def test_few_upstreams(self):
        """Entries that outnumber a small service's places use all of it."""
        records = [make_record(f"i-{number}", slots=6) for number in range(3)]
        for number in range(29):
            scheduler = make_scheduler(*records, entries=29, instance=f"edge-{number}")
            places = await fill(scheduler, 3)
            assert len({place.upstream.instance for place in places}) == 3

    async def test_many_entries(self):
        """Entries that lost the guards of a large pool do not overfill it together."""
        records = [make_record(f"i-{number}", slots=8) for number in range(27)]
        held = dict.fromkeys((record.instance for record in records), 0)
        for number in range(29):
            scheduler = make_scheduler(*records, entries=29, instance=f"edge-{number}")
            for upstream in scheduler.upstreams.of_service(SERVICE):
                held[upstream.instance] += scheduler.slot_limit(upstream)
        assert sum(held.values()) <= 27 * 8 * 1.7
        assert max(held.values()) <= 20
        assert min(held.values()) >= 4

    async def test_guard_not_yet_reached(self):
        """An engine that has just come is left alone until its guard may answer."""
        record = make_record("i-1")
        scheduler = make_scheduler(record)
        opening = StubGuard(record, is_connected=False)
        scheduler.guard_of = lambda _: opening
        waits = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        assert not waits.done()
        assert opening.offered == []
        scheduler.guard_of = lambda _: None
        scheduler.on_guard_lost(opening)
        assert (await waits).upstream.instance == "i-1"

    async def test_no_more(self, scheduler):
        """A request waits while every place is taken, and gets one that is freed."""
        places = await fill(scheduler, 3)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        assert not waiting.done()
        scheduler.release(places[0])
        assert (await waiting).upstream is places[0].upstream

    async def test_another_upstream(self):
        """A request does not go back to an upstream that it tried."""
        scheduler = make_scheduler(make_record("i-1"), make_record("i-2"))
        place = await scheduler.acquire(make_admitted(), excluded=frozenset({"i-1"}))
        assert place.upstream.instance == "i-2"

    async def test_the_only_upstream(self):
        """With nothing else there, it goes back to the one that it tried."""
        scheduler = make_scheduler(make_record("i-1"))
        place = await scheduler.acquire(make_admitted(), excluded=frozenset({"i-1"}))
        assert place.upstream.instance == "i-1"


class TestOrder:
    """Who is served first."""

    async def order(self, scheduler, *requests):
        """Let the requests wait in this order; return that of their service."""
        places = await fill(scheduler, 3)
        served = []

        async def serve(name, admitted):
            place = await scheduler.acquire(admitted)
            served.append(name)
            await asyncio.sleep(0)
            scheduler.release(place)

        tasks = []
        for name, admitted in requests:
            tasks.append(asyncio.create_task(serve(name, admitted)))
            await asyncio.sleep(0)
        scheduler.release(places[0])
        await asyncio.gather(*tasks)
        return served

    async def test_tiers(self, scheduler):
        """The more important tier is served first, whenever it came."""
        served = await self.order(
            scheduler, ("low", make_admitted(rank=2)), ("high", make_admitted(rank=0))
        )
        assert served == ["high", "low"]

    async def test_late(self, scheduler):
        """Within a tier, what can still be on time goes before what cannot."""
        received = time.monotonic() - 1.0
        late = make_request(received=received, deadline=received + 6.0)
        served = await self.order(
            scheduler,
            ("late", make_admitted(late)),
            ("in time", make_admitted()),
        )
        assert served == ["in time", "late"]

    async def test_late_but_important(self, scheduler):
        """A late request still goes before one of a lower tier."""
        received = time.monotonic() - 1.0
        late = make_request(received=received, deadline=received + 6.0)
        served = await self.order(
            scheduler,
            ("low", make_admitted(rank=1)),
            ("late", make_admitted(late, rank=0)),
        )
        assert served == ["late", "low"]


class TestPatience:
    """How long requests wait."""

    async def test_refused_in_time(self, scheduler):
        """A request that finds no place while it can be on time is refused."""
        await fill(scheduler, 3)
        route = make_route(target_latency_s=0.2)
        admitted = make_admitted(route=route)
        began = time.monotonic()
        with pytest.raises(NoRoomError) as refused:
            await scheduler.acquire(admitted)
        assert time.monotonic() - began < 0.2
        assert 0 < refused.value.retry_after_s <= admitted.remaining_s() / 3

    async def test_rush(self, scheduler):
        """Where others just waited in vain and some still wait, it is told at once."""
        await fill(scheduler, 3)
        quick = make_route(target_latency_s=0.2)
        with pytest.raises(NoRoomError):
            await scheduler.acquire(make_admitted(route=quick))
        first = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        began = time.monotonic()
        with pytest.raises(NoRoomError):
            await scheduler.acquire(make_admitted())
        assert time.monotonic() - began < 0.05
        assert not first.done()
        first.cancel()

    async def test_too_late_already(self, scheduler):
        """What can't be on time even if sent now waits as a late one does."""
        scheduler.upstreams.first_s[SERVICE] = 0.5
        request = make_request()
        admitted = make_admitted(request, make_route(target_latency_s=0.5))
        assert scheduler.is_late(admitted, request.received)
        assert scheduler.queue_timeout_s(admitted, request.received) > 1.0

    async def test_late_is_bounded(self, scheduler):
        """However much time a late request has left, it does not wait for long."""
        received = time.monotonic() - 1.0
        request = make_request(received=received, deadline=received + 60.0)
        admitted = make_admitted(request, make_route(timeout_s=60.0))
        assert scheduler.queue_timeout_s(admitted, time.monotonic()) <= 2.5

    async def test_rush_of_lower_tier(self, scheduler):
        """A rush in a lower tier does not turn away a higher one."""
        await fill(scheduler, 3)
        quick = make_route(target_latency_s=0.2)
        with pytest.raises(NoRoomError):
            await scheduler.acquire(make_admitted(route=quick, rank=2))
        low = asyncio.create_task(scheduler.acquire(make_admitted(rank=2)))
        await asyncio.sleep(0)
        high = asyncio.create_task(scheduler.acquire(make_admitted(rank=0)))
        await asyncio.sleep(0.05)
        assert not high.done()
        low.cancel()
        high.cancel()

    async def test_caller_leaves(self, scheduler):
        """A request whose caller left takes no place."""
        places = await fill(scheduler, 3)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        scheduler.release(places[0])
        assert places[0].upstream.running == 2

    async def test_caller_leaves_as_a_place_comes(self, scheduler):
        """A place that comes just as the caller leaves is given to the next."""
        places = await fill(scheduler, 3)
        waiting = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        scheduler.release(places[0])
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert places[0].upstream.running == 2
        await scheduler.acquire(make_admitted())


class TestUpstreams:
    """Which upstream is chosen."""

    async def test_least_busy(self):
        """Requests spread over upstreams alike."""
        scheduler = make_scheduler(make_record("i-1"), make_record("i-2"))
        places = await fill(scheduler, 4)
        assert sorted(place.upstream.instance for place in places) == [
            "i-1",
            "i-1",
            "i-2",
            "i-2",
        ]

    async def test_slow(self):
        """An upstream that answers slowly gets less."""
        scheduler = make_scheduler(
            make_record("slow", slots=8), make_record("fast", slots=8)
        )
        slow, fast = scheduler.upstreams.of_service(SERVICE)
        slow.slowness, fast.slowness = 2.0, 0.6
        places = await fill(scheduler, 8)
        taken = [place.upstream.instance for place in places]
        assert taken.count("fast") >= 2 * taken.count("slow")

    async def test_failed(self):
        """An upstream that failed is spared; the last one is used all the same."""
        scheduler = make_scheduler(make_record("i-1"), make_record("i-2"))
        one, two = scheduler.upstreams.of_service(SERVICE)
        scheduler.upstreams.on_failure(one, "reset")
        places = await fill(scheduler, 2)
        assert {place.upstream.instance for place in places} == {"i-2"}
        scheduler.upstreams.on_failure(two, "reset")
        (place,) = await fill(scheduler, 1)
        assert place.upstream.instance in {"i-1", "i-2"}

    async def test_moved(self):
        """One whose address another life has is out until its record changes."""
        old, new = make_record("i-1"), make_record("i-2")
        scheduler = make_scheduler(old, new)
        upstreams = scheduler.upstreams
        now = time.monotonic()
        upstreams.clock = lambda: now
        upstreams.on_moved(upstreams.get(old))
        now += 60.0
        places = await fill(scheduler, 3)
        assert {place.upstream.instance for place in places} == {"i-2"}
        upstreams.fleet.records[0] = old._replace(address="10.0.0.9:80")
        (place,) = await fill(scheduler, 1)
        assert place.upstream.instance == "i-1"

    async def test_long_request(self):
        """One that answered others meanwhile is not blamed for a long request."""
        scheduler = make_scheduler(make_record("i-1"), make_record("i-2"))
        upstreams = scheduler.upstreams
        now = 100.0
        upstreams.clock = lambda: now
        one, two = upstreams.of_service(SERVICE)
        now = 101.0
        upstreams.on_success(one)
        now = 102.0
        upstreams.on_silence(one, "timeout", since=100.5)
        upstreams.on_silence(two, "timeout", since=100.5)
        assert not one.is_paused(now)
        assert two.is_paused(now)

    async def test_silent_to_some(self):
        """One that is silent to every second request gets less than its peers."""
        scheduler = make_scheduler(
            *(make_record(name, slots=8) for name in ("deaf", "b", "c", "d"))
        )
        upstreams = scheduler.upstreams
        deaf, *well = upstreams.of_service(SERVICE)
        for _ in range(20):
            for upstream in (deaf, *well):
                upstreams.on_answer(upstream, is_error=False)
                upstreams.on_success(upstream)
            upstreams.on_silence(deaf, "timeout", since=deaf.answered_at)
        assert not deaf.is_paused(deaf.answered_at)
        assert scheduler.cost(deaf, 0) > scheduler.cost(well[0], 7)
