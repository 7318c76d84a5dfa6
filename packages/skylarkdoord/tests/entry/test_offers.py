"""Rounds of offers, against real schedulers: tiers over several sidecars."""

import asyncio
import itertools
import time
from collections import deque
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from multidict import CIMultiDict

from skylarkdoor.clients import InstanceRecord
from skylarkdoor.settings import (
    FLEET_PATH,
    Customer,
    Fleet,
    Listen,
    PlatformAddresses,
    Pool,
    ProcessSettings,
    Resolved,
    SettingsView,
    Subtree,
    Tier,
    Upstream,
)
from skylarkdoor.wire import pb
from skylarkdoord.common import SettingsService
from skylarkdoord.entry._offers import OfferRound
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._policies import Choice
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.exceptions import RefusedError
from skylarkdoord.sidecar import Scheduler

URL = "http://127.0.0.1:1"
POOL = Pool(kind="model", models=("m",), max_running=1)
FAR_S = 3600.0


class FixedSettings:
    """Settings that do not change."""

    def __init__(self):
        self.view = SettingsView()
        self.view.apply(Subtree(FLEET_PATH, 1, Fleet(tiers={}, pools={"p": POOL})))


def make_scheduler(queue_limit):
    """Return a scheduler with room for one request and some offers."""
    settings_ = ProcessSettings(
        instance="sidecar",
        data_centre="teika",
        listen=Listen(internal="127.0.0.1:1", rpc="127.0.0.1:2"),
        platform=PlatformAddresses((URL,), URL, URL, URL),
        upstream=Upstream(URL, "p"),
    )
    scheduler = Scheduler(settings_)
    scheduler.settings_service = FixedSettings()
    scheduler.apply_settings()
    scheduler.queue.limit = queue_limit
    scheduler.set_upstream(True)
    return scheduler


class Link:
    """A stream between an entry and a sidecar; each message waits to be carried."""

    def __init__(self, name, scheduler):
        self.scheduler = scheduler
        self.name = name
        record = InstanceRecord(
            instance=name,
            role="sidecar",
            data_centre="teika",
            pool="p",
            state="live",
            http="127.0.0.1:1",
            rpc="127.0.0.1:1",
        )
        self.peer = SidecarPeer(record, pb.EntryHello(), SettingsService())
        self.peer.connected = True
        self.to_entry = deque()
        scheduler.connect(name, self.to_entry.append)

    @property
    def waits(self):
        """Whether a message is under way."""
        return bool(self.to_entry or self.peer.outbox.messages)

    def carry_offer(self):
        """Carry the entry's next message."""
        message = self.peer.outbox.messages.pop(0)
        if message.WhichOneof("kind") == "offer":
            self.scheduler.receive(message.offer, self.name)
        else:
            self.scheduler.withdraw(message.withdraw.request_id)

    def carry_answer(self):
        """Carry the sidecar's next message."""
        self.peer.handle(self.to_entry.popleft())


class Fleetlet:
    """Two entries with a link each to some sidecars, on one event loop."""

    def __init__(self, *, sidecars=3, queue_limit=2):
        self.schedulers = [make_scheduler(queue_limit) for _ in range(sidecars)]
        self.entries = [
            [Link(f"e{entry}s{n}", s) for n, s in enumerate(self.schedulers)]
            for entry in range(2)
        ]
        self.links = [link for links in self.entries for link in links]
        self.numbers = itertools.count()
        self.rounds = {}
        self.waits = {}
        self.inversions = []

    def submit(self, tier, entry, offers):
        """Begin a request at an entry."""
        resolved = Resolved("t", "c", Customer((), "t", ("p",)), Tier(rank=tier))
        request = EntryRequest(
            request_id=f"r{next(self.numbers)}",
            resolved=resolved,
            pool_name="p",
            pool=POOL,
            method="POST",
            path="/",
            headers=CIMultiDict(),
            body=b"",
            model="m",
        )
        request.deadline_at = asyncio.get_running_loop().time() + FAR_S
        peers = [link.peer for link in self.entries[entry]]
        round_ = OfferRound(request, Choice(peers, offers), reach=lambda: peers)
        self.rounds[request.request_id] = round_
        wait = asyncio.ensure_future(round_.take())
        wait.add_done_callback(lambda wait: self.check_refusal(request, wait))
        self.waits[request.request_id] = wait

    def check_refusal(self, request, wait):
        """Note a request that was shed while a lower tier's waits anywhere."""
        if wait.cancelled() or not _refused(wait):
            return
        tier = request.resolved.tier.rank
        if any(waiting > tier for waiting in self.waiting_tiers()):
            self.inversions.append((request.request_id, tier, self.waiting_tiers()))

    async def settle(self):
        """Carry every message that is under way."""
        await asyncio.sleep(0)
        while any(link.waits for link in self.links):
            for link in self.links:
                while link.peer.outbox.messages:
                    link.carry_offer()
                while link.to_entry:
                    link.carry_answer()
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def waiting_tiers(self):
        """Return the tiers of the offers that wait at any sidecar."""
        return [
            item.offer.tier
            for scheduler in self.schedulers
            for item in scheduler.queue.all()
        ]

    async def close(self):
        """End what still waits."""
        for wait in self.waits.values():
            wait.cancel()
        await asyncio.gather(*self.waits.values(), return_exceptions=True)


class TestOfferRound:
    """A final refusal is told only when no lower tier's offer waits in reach."""

    async def test_displaced_is_tried_elsewhere(self):
        """A displaced request finds its place at another sidecar."""
        fleet = Fleetlet()
        for _ in range(3):
            fleet.submit(2, 0, 1)
            await fleet.settle()
        for _ in range(6):
            fleet.submit(3, 0, 1)
            await fleet.settle()
        for _ in range(3):
            fleet.submit(1, 1, 1)
            await fleet.settle()
        refused = [name for name, wait in fleet.waits.items() if _refused(wait)]
        ranks = [fleet.rounds[name].request.resolved.tier.rank for name in refused]
        assert ranks == [3, 3, 3]
        assert sorted(fleet.waiting_tiers()) == [1, 1, 1, 2, 2, 3]
        await fleet.close()

    async def test_old_refusal_is_asked_again(self):
        """A sidecar whose refusal has become old gets the offer again."""
        fleet = Fleetlet()
        for _ in range(9):
            fleet.submit(1, 0, 1)
            await fleet.settle()
        fleet.submit(1, 1, 1)
        await asyncio.sleep(0)
        first, second, third = fleet.entries[1]
        first.carry_offer()
        first.carry_answer()
        # The first sidecar gets a place and gives it to a lower tier.
        scheduler = fleet.schedulers[0]
        scheduler.withdraw(scheduler.queue.first().offer.request_id)
        scheduler.floor.until = [0.0] * 16
        scheduler.receive(pb.Offer(request_id="x", tier=3, deadline_ms=10**6), "-")
        name = list(fleet.rounds)[-1]
        round_ = fleet.rounds[name]
        old = round_.refused[first.peer.instance]
        round_.refused[first.peer.instance] = old._replace(holds_until=0.0)
        for link in (second, third):
            link.carry_offer()
            link.carry_answer()
        await fleet.settle()
        assert not fleet.waits[name].done()
        assert 3 not in fleet.waiting_tiers()
        await fleet.close()

    async def test_second_places_make_room(self):
        """A request has a place while others of its tier have two."""
        fleet = Fleetlet()
        for _ in range(9):
            fleet.submit(1, 0, 3)
            await fleet.settle()
        assert not any(_refused(wait) for wait in fleet.waits.values())
        fleet.submit(1, 1, 3)
        await fleet.settle()
        assert sum(_refused(wait) for wait in fleet.waits.values()) == 1
        await fleet.close()

    async def test_refusal_stays_true_until_the_last(self):
        """A place that comes free meanwhile is not given to a lower tier."""
        fleet = Fleetlet(sidecars=2, queue_limit=1)
        for _ in range(4):
            fleet.submit(1, 0, 1)
            await fleet.settle()
        fleet.submit(1, 1, 1)
        await asyncio.sleep(0)
        first, second = fleet.entries[1]
        first.carry_offer()
        first.carry_answer()
        busy = fleet.schedulers[0]
        busy.withdraw(next(iter(busy.capacity.flights.reserved)))
        fleet.submit(3, 0, 1)
        await asyncio.sleep(0)
        fleet.entries[0][0].carry_offer()
        second.carry_offer()
        second.carry_answer()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not fleet.inversions
        await fleet.close()


def _refused(wait):
    return wait.done() and isinstance(wait.exception(), RefusedError)


class TierMachine(RuleBasedStateMachine):
    """Requests of any tier at two entries, messages in any order between them.

    The entries' and the sidecars' own invariants are fatal here too, so a broken
    one ends the run. Time passes by a rule alone: a promise to let no lower tier
    in runs out at the same step in each replay, however busy the machine is.
    """

    def __init__(self):
        super().__init__()
        self.now = time.monotonic()
        self.clock = mock.patch("time.monotonic", lambda: self.now)
        self.clock.start()
        self.loop = asyncio.new_event_loop()
        self.fleet = self.call(lambda: Fleetlet(sidecars=2, queue_limit=1))

    def call(self, work):
        """Run something on the loop and let it take its turns."""

        async def run():
            result = work()
            for _ in range(4):
                await asyncio.sleep(0)
            return result

        return self.loop.run_until_complete(run())

    @initialize(tiers=st.lists(st.integers(0, 3), min_size=4, max_size=4))
    def fill(self, tiers):
        """Every sidecar runs a request and has its queue full."""
        for tier in tiers:
            self.call(lambda tier=tier: self.fleet.submit(tier, 0, 1))
            self.settle()

    @rule(tier=st.integers(0, 3), entry=st.integers(0, 1), offers=st.integers(1, 3))
    def submit(self, tier, entry, offers):
        """A request comes."""
        self.call(lambda: self.fleet.submit(tier, entry, offers))

    @precondition(lambda self: any(x.peer.outbox.messages for x in self.fleet.links))
    @rule(data=st.data())
    def carry_offer(self, data):
        """One stream carries a message towards a sidecar."""
        ready = [x for x in self.fleet.links if x.peer.outbox.messages]
        link = ready[data.draw(st.integers(0, len(ready) - 1))]
        self.call(link.carry_offer)

    @precondition(lambda self: any(x.to_entry for x in self.fleet.links))
    @rule(data=st.data())
    def carry_answer(self, data):
        """One stream carries a message towards an entry."""
        ready = [x for x in self.fleet.links if x.to_entry]
        link = ready[data.draw(st.integers(0, len(ready) - 1))]
        self.call(link.carry_answer)

    @precondition(
        lambda self: any(x.capacity.flights.reserved for x in self.fleet.schedulers)
    )
    @rule(data=st.data())
    def finish(self, data):
        """A granted request gives its room back."""
        busy = [x for x in self.fleet.schedulers if x.capacity.flights.reserved]
        scheduler = busy[data.draw(st.integers(0, len(busy) - 1))]
        name = next(iter(scheduler.capacity.flights.reserved))
        self.call(lambda: scheduler.withdraw(name))

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0]))
    def pass_time(self, seconds):
        """Promises run out, and so do grants that no call has used."""
        self.now += seconds

    def settle(self):
        """Everything under way arrives."""
        self.loop.run_until_complete(self.fleet.settle())

    @invariant()
    def no_inversion(self):
        """Nothing is shed while a lower tier's offer waits at any sidecar."""
        assert not self.fleet.inversions

    @invariant()
    def every_request_has_a_state(self):
        """A request is answered, or some message or sidecar has it."""
        for name, wait in self.fleet.waits.items():
            assert wait.done() or self.fleet.rounds[name].pending

    def teardown(self):
        """End what is left."""
        self.loop.run_until_complete(self.fleet.close())
        self.loop.close()
        self.clock.stop()


TestTierMachine = TierMachine.TestCase
TestTierMachine.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)
