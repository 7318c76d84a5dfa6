"""Tests of `OfferRound` with real schedulers: tiers across several sidecars.

They guard against inversions: a request is shed while one of a lower tier still
waits at some sidecar. This comes about when refusals expire, or when a slot becomes
free, between the replies of two sidecars.
"""

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
    ResolvedCustomer,
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
DEADLINE_S = 3600.0


class FixedSettings:
    """Settings that do not change."""

    def __init__(self):
        self.view = SettingsView()
        self.view.apply(Subtree(FLEET_PATH, 1, Fleet(tiers={}, pools={"p": POOL})))


def make_scheduler(queue_limit):
    """Return a scheduler with one slot and a bounded queue."""
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
    """A stream between an entry and a sidecar that delivers messages on demand."""

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
    def has_undelivered(self):
        """Whether any message has not been delivered yet."""
        return bool(self.to_entry or self.peer.outbox.messages)

    def deliver_to_sidecar(self):
        """Deliver the entry's next message."""
        message = self.peer.outbox.messages.pop(0)
        if message.WhichOneof("kind") == "offer":
            self.scheduler.receive(message.offer, self.name)
        else:
            self.scheduler.withdraw(message.withdraw.request_id)

    def deliver_to_entry(self):
        """Deliver the sidecar's next message."""
        self.peer.handle(self.to_entry.popleft())


class SmallFleet:
    """Two entries, each with a link to every sidecar, on one event loop."""

    def __init__(self, *, sidecars=3, queue_limit=2):
        self.schedulers = [make_scheduler(queue_limit) for _ in range(sidecars)]
        self.entries = [
            [Link(f"e{entry}s{n}", s) for n, s in enumerate(self.schedulers)]
            for entry in range(2)
        ]
        self.links = [link for links in self.entries for link in links]
        self.numbers = itertools.count()
        self.rounds = {}
        self.tasks = {}
        self.inversions = []

    def submit(self, tier, entry, offers):
        """Start to offer a new request at an entry."""
        resolved = ResolvedCustomer(
            "t", "c", Customer((), "t", ("p",)), Tier(rank=tier)
        )
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
        request.deadline_at = asyncio.get_running_loop().time() + DEADLINE_S
        peers = [link.peer for link in self.entries[entry]]
        offer_round = OfferRound(
            request, Choice(peers, offers), find_reachable=lambda: peers
        )
        self.rounds[request.request_id] = offer_round
        task = asyncio.ensure_future(offer_round.acquire())
        task.add_done_callback(lambda task: self.check_refusal(request, task))
        self.tasks[request.request_id] = task

    def check_refusal(self, request, task):
        """Record an inversion if a lower tier's offer waits at any sidecar."""
        if task.cancelled() or not _refused(task):
            return
        tier = request.resolved.tier.rank
        if any(waiting > tier for waiting in self.waiting_tiers()):
            self.inversions.append((request.request_id, tier, self.waiting_tiers()))

    async def deliver_all(self):
        """Deliver messages until none is left."""
        await asyncio.sleep(0)
        while any(link.has_undelivered for link in self.links):
            for link in self.links:
                while link.peer.outbox.messages:
                    link.deliver_to_sidecar()
                while link.to_entry:
                    link.deliver_to_entry()
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
        """Cancel all tasks."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)


class TestOfferRound:
    """A request is refused only if no lower tier's offer waits at any sidecar."""

    async def test_displaced_request_is_offered_elsewhere(self):
        """A displaced request is queued at another sidecar."""
        fleet = SmallFleet()
        for _ in range(3):
            fleet.submit(2, 0, 1)
            await fleet.deliver_all()
        for _ in range(6):
            fleet.submit(3, 0, 1)
            await fleet.deliver_all()
        for _ in range(3):
            fleet.submit(1, 1, 1)
            await fleet.deliver_all()
        refused = [name for name, task in fleet.tasks.items() if _refused(task)]
        ranks = [fleet.rounds[name].request.resolved.tier.rank for name in refused]
        assert ranks == [3, 3, 3]
        assert sorted(fleet.waiting_tiers()) == [1, 1, 1, 2, 2, 3]
        await fleet.close()

    async def test_offer_is_repeated_after_refusal_expired(self):
        """A sidecar whose refusal has expired gets the offer again."""
        fleet = SmallFleet()
        for _ in range(9):
            fleet.submit(1, 0, 1)
            await fleet.deliver_all()
        fleet.submit(1, 1, 1)
        await asyncio.sleep(0)
        first, second, third = fleet.entries[1]
        first.deliver_to_sidecar()
        first.deliver_to_entry()
        # A queue position becomes free at the first sidecar for a lower tier's offer.
        scheduler = fleet.schedulers[0]
        scheduler.withdraw(scheduler.queue.first().offer.request_id)
        scheduler.floor.until = [0.0] * 16
        scheduler.receive(pb.Offer(request_id="x", tier=3, deadline_ms=10**6), "-")
        name = list(fleet.rounds)[-1]
        offer_round = fleet.rounds[name]
        old = offer_round.refused[first.peer.instance]
        offer_round.refused[first.peer.instance] = old._replace(floor_expires_at=0.0)
        for link in (second, third):
            link.deliver_to_sidecar()
            link.deliver_to_entry()
        await fleet.deliver_all()
        assert not fleet.tasks[name].done()
        assert 3 not in fleet.waiting_tiers()
        await fleet.close()

    async def test_copies_make_room(self):
        """Copies of other requests of the same tier are displaced by a sole offer."""
        fleet = SmallFleet()
        for _ in range(9):
            fleet.submit(1, 0, 3)
            await fleet.deliver_all()
        assert not any(_refused(task) for task in fleet.tasks.values())
        fleet.submit(1, 1, 3)
        await fleet.deliver_all()
        assert sum(_refused(task) for task in fleet.tasks.values()) == 1
        await fleet.close()

    async def test_freed_slot_is_not_granted_to_lower_tier(self):
        """A slot freed between two refusals is not granted to a lower tier."""
        fleet = SmallFleet(sidecars=2, queue_limit=1)
        for _ in range(4):
            fleet.submit(1, 0, 1)
            await fleet.deliver_all()
        fleet.submit(1, 1, 1)
        await asyncio.sleep(0)
        first, second = fleet.entries[1]
        first.deliver_to_sidecar()
        first.deliver_to_entry()
        running = fleet.schedulers[0]
        running.withdraw(next(iter(running.capacity.in_flight.reservations)))
        fleet.submit(3, 0, 1)
        await asyncio.sleep(0)
        fleet.entries[0][0].deliver_to_sidecar()
        second.deliver_to_sidecar()
        second.deliver_to_entry()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not fleet.inversions
        await fleet.close()


def _refused(task):
    return task.done() and isinstance(task.exception(), RefusedError)


class TierMachine(RuleBasedStateMachine):
    """Submits requests of any tier at two entries and delivers messages in any order.

    A violation of the entries' or sidecars' own invariants also fails the run. Time
    is simulated and advances only by a rule, so that a refusal expires at the same
    step in each replay, however busy the machine is.
    """

    def __init__(self):
        super().__init__()
        self.now = time.monotonic()
        self.clock = mock.patch("time.monotonic", lambda: self.now)
        self.clock.start()
        self.loop = asyncio.new_event_loop()
        self.fleet = self.call(lambda: SmallFleet(sidecars=2, queue_limit=1))

    def call(self, work):
        """Call a function on the loop, then let its tasks run for a few iterations."""

        async def run():
            result = work()
            for _ in range(4):
                await asyncio.sleep(0)
            return result

        return self.loop.run_until_complete(run())

    @initialize(tiers=st.lists(st.integers(0, 3), min_size=4, max_size=4))
    def fill(self, tiers):
        """Occupy the slot and the queue of every sidecar."""
        for tier in tiers:
            self.call(lambda tier=tier: self.fleet.submit(tier, 0, 1))
            self.deliver_all()

    @rule(tier=st.integers(0, 3), entry=st.integers(0, 1), offers=st.integers(1, 3))
    def submit(self, tier, entry, offers):
        """Submit a request."""
        self.call(lambda: self.fleet.submit(tier, entry, offers))

    @precondition(lambda self: any(x.peer.outbox.messages for x in self.fleet.links))
    @rule(data=st.data())
    def deliver_to_sidecar(self, data):
        """Deliver the next message to a sidecar on one link."""
        ready = [x for x in self.fleet.links if x.peer.outbox.messages]
        link = ready[data.draw(st.integers(0, len(ready) - 1))]
        self.call(link.deliver_to_sidecar)

    @precondition(lambda self: any(x.to_entry for x in self.fleet.links))
    @rule(data=st.data())
    def deliver_to_entry(self, data):
        """Deliver the next message to an entry on one link."""
        ready = [x for x in self.fleet.links if x.to_entry]
        link = ready[data.draw(st.integers(0, len(ready) - 1))]
        self.call(link.deliver_to_entry)

    @precondition(
        lambda self: any(
            x.capacity.in_flight.reservations for x in self.fleet.schedulers
        )
    )
    @rule(data=st.data())
    def finish(self, data):
        """Release the slot of a granted request."""
        running = [
            x for x in self.fleet.schedulers if x.capacity.in_flight.reservations
        ]
        scheduler = running[data.draw(st.integers(0, len(running) - 1))]
        name = next(iter(scheduler.capacity.in_flight.reservations))
        self.call(lambda: scheduler.withdraw(name))

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0]))
    def pass_time(self, seconds):
        """Advance the clock, so that refusals and unused grants may expire."""
        self.now += seconds

    def deliver_all(self):
        """Deliver messages until none is left."""
        self.loop.run_until_complete(self.fleet.deliver_all())

    @invariant()
    def no_inversion(self):
        """No request is shed while a lower tier's offer waits at any sidecar."""
        assert not self.fleet.inversions

    @invariant()
    def every_request_has_a_state(self):
        """Every request is granted, refused or has a pending offer."""
        for name, task in self.fleet.tasks.items():
            assert task.done() or self.fleet.rounds[name].pending

    def teardown(self):
        """Cancel all tasks and restore the clock."""
        self.loop.run_until_complete(self.fleet.close())
        self.loop.close()
        self.clock.stop()


TestTierMachine = TierMachine.TestCase
TestTierMachine.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)
