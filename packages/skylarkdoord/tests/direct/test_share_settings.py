"""What entries and guards do with the settings section `shares`, and without it."""

import asyncio
import math
import subprocess
import sys
from types import SimpleNamespace

import pytest

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.wire import pb
from skylarkdoord.direct import FleetConfig
from skylarkdoord.direct._guard import Guard, _EntryStream
from skylarkdoord.direct._guard_link import GuardLink
from skylarkdoord.direct._held_log import HeldLog
from skylarkdoord.direct._metrics import HELD_CUSTOMERS
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._pace import Pace
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._settings import ShareSettings, load_direct
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct.exceptions import NoFreeSlotError
from skylarkdoord.direct.shares._customer_shares import HeldCustomer
from skylarkdoord.direct.shares._fair_order import FairOrder
from skylarkdoord.direct.shares._length_order import LengthOrder
from skylarkdoord.direct.shares._queue_order import NO_DEMAND, Demand

from ._make import (
    make_admitted,
    make_customer,
    make_record,
    make_request,
    make_route,
    make_settings,
)


class StubRouting:
    """A routing table with customers."""

    config = FleetConfig(1, (), {}, (make_customer(), make_customer(name="field")))


class StubFleet:
    """A fleet of one upstream with two slots."""

    routing = StubRouting()

    def __init__(self):
        self.on_upstreams = []
        self.record = make_record(slots=2)

    def upstreams(self, service):
        """Return the upstream."""
        return [self.record]

    def is_current(self, record):
        """Return whether an upstream is listed."""
        return True


def make_scheduler(shares):
    """Return a scheduler with these settings."""
    return Scheduler(Upstreams(StubFleet()), data_centre="north", shares=shares)


def make_guard(shares):
    """Return a guard with these settings."""
    return Guard(make_settings("guard-1")._replace(shares=shares))


class TestAbsent:
    """Without the section, everything is as before."""

    @pytest.mark.parametrize("shares", [None, ShareSettings(min_tier_ratio=0.0)])
    async def test_order(self, shares):
        """Requests get slots by precedence and age, whoever sends them."""
        scheduler = make_scheduler(shares)
        slots = [await scheduler.acquire(make_admitted()) for _ in range(3)]
        served = []

        async def serve(name):
            admitted = make_admitted(customer=make_customer(name=name))
            slot = await scheduler.acquire(admitted)
            served.append(name)
            scheduler.release(slot)

        tasks = []
        for name in ("garden", "garden", "field"):
            tasks.append(asyncio.create_task(serve(name)))
            await asyncio.sleep(0)
        scheduler.release(slots[0])
        await asyncio.gather(*tasks)
        assert served == ["garden", "garden", "field"]

    async def test_entry(self):
        """An entry states no demand and promotes nothing."""
        scheduler = make_scheduler(None)
        assert scheduler.new_waiters.promotions is None
        admitted = make_admitted(customer=make_customer())
        assert scheduler.new_waiters.demand(admitted) == NO_DEMAND
        assert isinstance(scheduler.queue("engines"), LengthOrder)
        assert scheduler.queue_state("engines").new_shares is None

    async def test_refusal(self):
        """A request is refused at once after those of another customer timed out."""
        scheduler = make_scheduler(None)
        for _ in range(3):
            await scheduler.acquire(make_admitted())
        quick = make_route(target_latency_s=0.2)
        with pytest.raises(NoFreeSlotError):
            await scheduler.acquire(make_admitted(route=quick))
        first = asyncio.create_task(scheduler.acquire(make_admitted()))
        await asyncio.sleep(0)
        with pytest.raises(NoFreeSlotError, match="queue is overloaded"):
            await scheduler.acquire(make_admitted(customer=make_customer()))
        first.cancel()

    async def test_message(self):
        """An offer is the same message, byte for byte."""
        link = GuardLink(make_settings("a"), make_record(), None, Pace(lambda: 1.0))
        link.offer("r", Precedence(1, is_late=True), NO_DEMAND)
        sent = await link.link.outbox.take_pending(timeout_s=1.0)
        offer = pb.Offer(request_id="r", tier=1, late=True)
        assert sent == [pb.EntryMessage(offer=offer)]

    def test_guard_imports(self):
        """A guard does not load aiohttp, which would increase its memory by half."""
        code = "import sys, skylarkdoord.direct.guard; print('aiohttp' in sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True, text=True
        )
        assert done.stdout.strip() == "False"

    async def test_guard(self):
        """A guard serves by length and age."""
        assert isinstance(make_guard(None).queue.order, LengthOrder)


class TestPresent:
    """With the section."""

    async def test_demand(self):
        """An entry states the customer, its weight and the tokens."""
        scheduler = make_scheduler(ShareSettings(customers=True))
        admitted = make_admitted(make_request(), customer=make_customer())
        assert scheduler.new_waiters.demand(admitted) == Demand("garden", 1.0, 80, 20)

    async def test_starved_tier(self):
        """A request of a starved tier is queued as one of the most important tier."""
        scheduler = make_scheduler(ShareSettings())
        shares = scheduler.new_waiters.promotions.shares("engines")
        for _ in range(10):
            shares.record(0, is_served=True, is_promoted=False)
            shares.record(2, is_served=False, is_promoted=False)
        for _ in range(3):
            await scheduler.acquire(make_admitted(rank=0))
        waiting = asyncio.create_task(scheduler.acquire(make_admitted(rank=2)))
        await asyncio.sleep(0)
        (waiter,) = scheduler.waiters.values()
        assert waiter.precedence == Precedence(0)
        assert shares.promoted[2] == 1
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert shares.promoted[2] == 0
        assert shares.tiers[2].ended == 11

    def test_held_customers(self):
        """Operators see how many customers are held, and which ones."""
        logged = []
        log = HeldLog("engines", 1)
        log.log = SimpleNamespace(event=lambda event, **fields: logged.append(fields))
        held = {
            name: HeldCustomer(name, 10, refused, 0.5, 0.0)
            for refused, name in enumerate("abcdefghijkl", 1)
        }
        log.on_interval(held, {"z": held["a"]})
        assert HELD_CUSTOMERS.labels("engines", "1")._value.get() == len(held)
        assert [fields["customer"] for fields in logged] == [*"lkjihgfedc", "z"]

    async def test_many_tokens(self):
        """An offer can be sent whatever number of tokens a caller states."""
        scheduler = make_scheduler(ShareSettings())
        request = make_request(prompt_tokens=10**30, max_tokens=10**30)
        demand = scheduler.new_waiters.demand(make_admitted(request))
        offer = pb.Offer(
            prompt_tokens=demand.prompt_tokens, max_tokens=demand.max_tokens
        )
        assert offer.prompt_tokens == offer.max_tokens == 2**32 - 1

    async def test_only_tiers(self):
        """Without shares of customers, an entry states only the tokens."""
        scheduler = make_scheduler(ShareSettings())
        admitted = make_admitted(make_request(), customer=make_customer())
        assert scheduler.new_waiters.demand(admitted) == Demand("", 0.0, 80, 20)

    async def test_own_queue(self):
        """Customers take turns at an upstream without a guard."""
        scheduler = make_scheduler(ShareSettings(customers=True))
        slots = [await scheduler.acquire(make_admitted()) for _ in range(3)]
        served = []

        async def serve(name):
            admitted = make_admitted(customer=make_customer(name=name))
            slot = await scheduler.acquire(admitted)
            served.append(name)
            await asyncio.sleep(0.01)
            scheduler.release(slot)

        tasks = []
        for name in ("garden", "garden", "garden", "field"):
            tasks.append(asyncio.create_task(serve(name)))
            await asyncio.sleep(0)
        scheduler.release(slots[0])
        await asyncio.gather(*tasks)
        assert served[:2] == ["garden", "field"]
        assert not scheduler.queue("engines").lanes

    async def test_not_refused_for_others(self):
        """A request is not refused because those of another customer timed out."""
        scheduler = make_scheduler(ShareSettings(customers=True))
        flood, small = make_customer(), make_customer(name="field")
        for _ in range(3):
            await scheduler.acquire(make_admitted(customer=flood))
        quick = make_route(target_latency_s=0.2)
        with pytest.raises(NoFreeSlotError):
            await scheduler.acquire(make_admitted(route=quick, customer=flood))
        first = asyncio.create_task(scheduler.acquire(make_admitted(customer=flood)))
        await asyncio.sleep(0)
        with pytest.raises(NoFreeSlotError, match="queue is overloaded"):
            await scheduler.acquire(make_admitted(customer=flood))
        waiting = asyncio.create_task(scheduler.acquire(make_admitted(customer=small)))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        waiting.cancel()
        first.cancel()

    async def test_guard(self):
        """A guard serves customers in turn."""
        assert isinstance(
            make_guard(ShareSettings(customers=True)).queue.order, FairOrder
        )

    @pytest.mark.parametrize("weight", [-1.0, math.inf, math.nan])
    async def test_bad_weight(self, weight):
        """A guard takes an offer with a bad weight as one without a weight."""
        guard = make_guard(ShareSettings(customers=True))
        stream = _EntryStream(guard, "s", None)
        offer = pb.Offer(request_id="r", customer="a", weight=weight, max_tokens=5)
        assert guard.demand(offer, stream) == Demand("a", 0.0, 0, 5)
        assert stream.is_weight_rejected

    @pytest.mark.parametrize(
        ("section", "path"),
        [
            ('{"customers": 1}', "shares.customers"),
            ('{"min_tier_ratio": -0.1}', "shares.min_tier_ratio"),
            ('{"min_tier_ratio": 1.5}', "shares.min_tier_ratio"),
            ('{"min_ratio": 0.3}', "shares"),
            ("[]", "shares"),
        ],
    )
    def test_malformed(self, tmp_path, section, path):
        """A malformed section is refused with its path."""
        file = tmp_path / "entry.json"
        file.write_text(
            '{"instance": "a", "data_centre": "n", "adapter": "x",'
            ' "store": "127.0.0.1:1", "guard_port": 1,'
            ' "listen": {"peers": "127.0.0.1:2", "metrics": "127.0.0.1:3"},'
            f' "shares": {section}}}'
        )
        with pytest.raises(SettingsError, match=path):
            load_direct(file)
