"""Requests that leave their data centre, simulated without a network.

Each class is one load. Time is simulated: requests arrive at the entries of a data
centre, are offered to guards, hold a slot and end.
"""

import heapq
import itertools
import random

import pytest

from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.shares._data_centres import (
    LeaveCosts,
    LeavePolicy,
    gap,
    moved_bytes,
)
from skylarkdoord.direct.shares._guard_queue import SlotQueue

from ._make import make_record, make_request

COSTS = LeaveCosts(distance_s=0.01, wait_per_mb_s=2.0)
GUARDS = 4
SLOTS = 4
ENTRIES = 6
HOLD_S = 0.3
REPORT_S = 0.3
QUEUE_TIMEOUT_S = 0.4
MAX_OFFERS = 6
DURATION_S = 30.0
# Requests a second that the guards of one data centre can serve.
CAPACITY = GUARDS * SLOTS / HOLD_S


class Guard:
    """A guard of one upstream and its latest report."""

    def __init__(self, world, data_centre, number):
        self.record = make_record(f"{data_centre}-{number}", data_centre=data_centre)
        self.queue = SlotQueue(world.on_grant(self), clock=lambda: world.now)
        self.queue.resize(SLOTS)
        self.reported_room = SLOTS
        self.waiting = []
        self.load_at = 0.0
        self.is_alive = True

    def report(self, now):
        """Publish the present load."""
        counts = self.queue.counts()
        self.reported_room = max(0, counts.slots - counts.running)
        self.waiting = [offer.precedence.tier for offer in self.queue.waiting.values()]
        self.load_at = now


class View:
    """What one entry knows of a guard."""

    def __init__(self, guard):
        self.guard = guard
        self.record = guard.record
        self.seen_at = 0.0
        self.offers = 0

    @property
    def load_at(self):
        """Time of the guard's latest report."""
        return self.guard.load_at

    @property
    def offers_since_report(self):
        """Number of offers since that report."""
        if self.seen_at != self.guard.load_at:
            self.seen_at, self.offers = self.guard.load_at, 0
        return self.offers

    @property
    def room(self):
        """Estimated number of free slots."""
        return self.guard.reported_room - self.offers_since_report

    def ahead(self, tier):
        """Return how many requests of the tier or a more important one wait there."""
        return sum(waiting <= tier for waiting in self.guard.waiting)

    def offer(self, request):
        """Offer a request to the guard."""
        self.offers = self.offers_since_report + 1
        request.offered.append(self.guard)
        self.guard.queue.offer("s", str(request.number), Precedence(request.tier))


class Request:
    """A simulated request."""

    def __init__(self, number, home, tier, at):
        self.number, self.home, self.tier, self.at = number, home, tier, at
        self.offered = []
        self.granted = None


class Entry:
    """An entry of one data centre."""

    def __init__(self, world, data_centre):
        self.views = [View(guard) for guard in world.guards]
        self.data_centre = data_centre
        self.policy = LeavePolicy(
            data_centre,
            world.costs,
            entries=lambda: len(world.entries),
            clock=lambda: world.now,
            draw=world.random.random,
        )

    def home(self):
        """Return the guards in this data centre that live; all if there are none."""
        alive = [view for view in self.views if view.guard.is_alive]
        return [view for view in alive if self.policy.is_home(view.record)] or alive


class World:
    """Data centres with entries and guards.

    Args:
        rates: Function from a data centre and the time to requests a second.
        costs: Costs of leaving.
        names: Names of the data centres.
        tiers: Tiers of the requests, drawn with equal probability.
        seed: Seed of the random numbers.
    """

    def __init__(
        self, rates, costs=COSTS, names=("north", "south"), tiers=(1,), seed=7
    ):
        self.rates, self.costs, self.names, self.tiers = rates, costs, names, tiers
        self.random = random.Random(seed)
        self.now = 0.0
        self.order = itertools.count()
        self.events = []
        self.requests = {}
        self.guards = [
            Guard(self, name, number) for name in names for number in range(GUARDS)
        ]
        self.entries = [Entry(self, name) for name in names for _ in range(ENTRIES)]

    def on_grant(self, guard):
        """Return the callback for the grants of a guard."""

        def grant(_, name):
            request = self.requests[int(name)]
            if request.granted is not None or request.number < 0:
                guard.queue.withdraw("s", name)
                return
            request.granted = guard
            for other in request.offered:
                if other is not guard:
                    other.queue.withdraw("s", name)
            hold_s = self.random.expovariate(1 / HOLD_S)
            self.call_later(hold_s, guard.queue.withdraw, "s", name)

        return grant

    def call_later(self, delay_s, callback, *args):
        """Call a function at a later simulated time."""
        event = (self.now + delay_s, next(self.order), callback, args)
        heapq.heappush(self.events, event)

    def arrive(self, name):
        """Let a request arrive at an entry and schedule the next arrival."""
        self.call_later(
            self.random.expovariate(max(1e-9, self.rates(name, self.now))),
            self.arrive,
            name,
        )
        if self.now > DURATION_S:
            return
        number = len(self.requests)
        request = Request(number, name, self.random.choice(self.tiers), self.now)
        self.requests[number] = request
        entries = [entry for entry in self.entries if entry.data_centre == name]
        entry = self.random.choice(entries)
        self.offer_at_home(request, entry)
        if self.costs is not None:
            patience_s = entry.policy.patience_s(make_request())
            self.call_later(patience_s, self.offer_elsewhere, request, entry)
        self.call_later(QUEUE_TIMEOUT_S, self.time_out, request)

    def offer_at_home(self, request, entry):
        """Offer a request to guards at home, those with room first."""
        home = entry.home()
        self.random.shuffle(home)
        home.sort(key=lambda view: view.room <= 0)
        for view in home[:MAX_OFFERS]:
            if request.granted is None:
                view.offer(request)

    def offer_elsewhere(self, request, entry):
        """Offer a request that waited long enough elsewhere, again at each report."""
        if request.granted is not None or self.now - request.at > QUEUE_TIMEOUT_S:
            return
        home = entry.home()
        for view in entry.views:
            if view in home or not view.guard.is_alive or request.granted is not None:
                continue
            if view.guard not in request.offered and entry.policy.may_offer(
                view, request.tier, home
            ):
                view.offer(request)
        self.call_later(REPORT_S / 4, self.offer_elsewhere, request, entry)

    def time_out(self, request):
        """Withdraw a request that got no slot."""
        if request.granted is None:
            for guard in request.offered:
                guard.queue.withdraw("s", str(request.number))
            request.offered.clear()

    def report(self, guard):
        """Publish a guard's load and schedule the next report."""
        if guard.is_alive:
            guard.report(self.now)
        self.call_later(REPORT_S, self.report, guard)

    def play(self):
        """Play the load and return this world."""
        for name in self.names:
            self.arrive(name)
        for guard in self.guards:
            self.call_later(self.random.uniform(0, REPORT_S), self.report, guard)
        while self.events and self.now < DURATION_S + 1.0:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        return self

    def of(self, home):
        """Return the requests of a data centre."""
        return [request for request in self.requests.values() if request.home == home]

    def left_share(self, home):
        """Return the share of a data centre's served requests that left it."""
        served = [request for request in self.of(home) if request.granted]
        left = [r for r in served if r.granted.record.data_centre != home]
        return len(left) / len(served)

    def served_share(self, home):
        """Return the share of a data centre's requests that were served."""
        requests = self.of(home)
        return sum(request.granted is not None for request in requests) / len(requests)


def constant(**loads):
    """Return rates that are a constant multiple of the capacity."""
    return lambda name, now: loads[name] * CAPACITY


def mean_served(worlds):
    """Return the mean share of the requests that were served."""
    shares = [world.served_share(name) for world in worlds for name in world.names]
    return sum(shares) / len(shares)


class TestHalfLoad:
    """Both data centres are half full: nearly nothing leaves."""

    def test_left(self):
        """At most a tenth leaves, and all are served."""
        world = World(constant(north=0.5, south=0.5)).play()
        assert world.left_share("north") <= 0.1
        assert world.served_share("north") >= 0.99

    def test_without_costs(self):
        """Without costs of leaving, every data centre is at home."""
        world = World(constant(north=0.5, south=0.5), costs=None).play()
        assert world.left_share("north") >= 0.3


class TestOneOverloaded:
    """One data centre gets more than it can serve while the other has room."""

    def test_served(self):
        """At 1.6 times its capacity all are served, in part elsewhere."""
        world = World(constant(north=1.6, south=0.1)).play()
        assert world.served_share("north") >= 0.97
        assert world.served_share("south") >= 0.99
        assert 0.25 <= world.left_share("north") <= 0.6


class TestBothOverloaded:
    """Two full data centres: neither gains by an exchange."""

    def test_left(self):
        """Little is exchanged, and as much is served as without costs."""
        load = constant(north=1.5, south=1.5)
        priced = [World(load, seed=seed).play() for seed in range(3)]
        free = [World(load, costs=None, seed=seed).play() for seed in range(3)]
        assert max(world.left_share("north") for world in priced) <= 0.1
        assert mean_served(priced) >= mean_served(free) - 0.03

    def test_important_tier(self):
        """A more important request leaves where only less important ones wait.

        Otherwise one data centre would shed it while the other serves a lower tier.
        """

        def rates(name, now):
            return (2.5 if name == "north" else 1.5) * CAPACITY

        world = World(rates, tiers=(0, 1, 1)).play()
        shares = {
            tier: [r.granted is not None for r in world.of("north") if r.tier == tier]
            for tier in (0, 1)
        }
        assert sum(shares[0]) / len(shares[0]) >= 0.95
        assert sum(shares[1]) / len(shares[1]) < 0.8


class TestWavesOutOfPhase:
    """Demand swings in the data centres by turns, and each is full at times."""

    def test_served(self):
        """What one can't serve goes to the other; the rest stays."""

        def rates(name, now):
            is_high = (int(now) // 5) % 2 == (name == "north")
            return (1.4 if is_high else 0.4) * CAPACITY

        world = World(rates).play()
        assert world.served_share("north") >= 0.95
        assert world.left_share("north") <= 0.35


class TestEnginesLost:
    """All upstreams of a data centre are lost."""

    def test_served(self):
        """Its requests are served elsewhere at once."""
        world = World(constant(north=0.4, south=0.4))
        for guard in world.guards:
            guard.is_alive = guard.record.data_centre != "north"
        world.play()
        assert world.served_share("north") >= 0.97


class TestStaleReports:
    """Reports from elsewhere are old, or claim room that is gone."""

    def test_old_report(self):
        """A report older than 5 s says nothing about free slots."""
        world = World(constant(north=1.0, south=1.0))
        entry = world.entries[0]
        remote = next(view for view in entry.views if view.record.data_centre != "n")
        world.now = 5.1
        assert not entry.policy.may_offer(remote, 1, entry.home())

    def test_clock_stands_still(self):
        """While the clock stands still, a report allows no more than its share."""
        world = World(constant(north=1.0, south=1.0))
        entry = world.entries[0]
        remote = next(view for view in entry.views if view.record.data_centre != "n")
        offers = 0
        for _ in range(1000):
            if entry.policy.may_offer(remote, 1, entry.home()):
                remote.offers = remote.offers_since_report + 1
                offers += 1
        assert 1 <= offers <= SLOTS


class TestManyEntries:
    """Many entries see the same free slot."""

    def test_rush(self):
        """They make about two offers for it together, not one each."""
        world = World(constant(north=1.0, south=1.0))
        world.entries = [Entry(world, "north") for _ in range(200)]
        for guard in world.guards:
            guard.reported_room = 1
        offers = sum(
            entry.policy.may_offer(entry.views[-1], 1, entry.home())
            for entry in world.entries
        )
        assert 0 < offers <= 8


class TestCosts:
    """What a request's size adds to the wait before it leaves."""

    def test_bytes(self):
        """The body and the expected answer count."""
        request = make_request(body=b"x" * 1000, expected_tokens=50, max_tokens=500)
        assert moved_bytes(request) == 1000 + 50 * 12

    @pytest.mark.parametrize(("size", "wait_s"), [(0, 0.01), (500_000, 1.01)])
    def test_patience(self, size, wait_s):
        """A large request waits longer at home than a small one."""
        policy = LeavePolicy("north", COSTS, entries=lambda: 1, clock=lambda: 0.0)
        request = make_request(body=b"x" * size, max_tokens=0)
        assert policy.patience_s(request) == pytest.approx(wait_s)

    def test_gap(self):
        """A queue elsewhere has to be shorter than half of those at home."""
        world = World(constant(north=1.0, south=1.0))
        entry = world.entries[0]
        for guard in world.guards:
            guard.reported_room = 0
            guard.waiting = [1] * (4 if guard.record.data_centre == "north" else 3)
        assert gap(entry.views[-1], 1, entry.home()) < 0
        entry.views[-1].guard.waiting = [1]
        assert gap(entry.views[-1], 1, entry.home()) == 1
