"""Loads in which customers ask for more than the slots that there are.

Time is simulated. Each class is one load, which it names.
"""

import itertools
import random

import pytest

from skylarkdoord.direct.shares import _customer_shares
from skylarkdoord.direct.shares._customer_shares import INTERVAL_S, CustomerShares
from skylarkdoord.direct.shares._guard_queue import OVERCOMMIT_SHARE

from ._make import Clock
from ._share_simulation import Arrival, Simulation, poisson

DURATION_S = 30.0
HOLD_S = 0.2
ENTRIES = 4
GUARDS = 3
SLOTS = 8
# Requests a second that the engines can serve.
CAPACITY = GUARDS * SLOTS / HOLD_S
SMALL = [f"small-{number}" for number in range(5)]
# Share of a small customer's requests that are served within its target.
SMALL_SHARE = 0.9
# Slots of all guards with the surplus that they grant while requests wait.
GRANTED_SLOTS = GUARDS * (SLOTS + round(OVERCOMMIT_SHARE * SLOTS))
# Share of their time that is used while customers ask for more than there is.
USED_SHARE = 0.97


def load(rng, customer, rate, *, entries=range(ENTRIES), spread=0.5, **changes):
    """Return requests of a customer, spread over the entries."""
    return [
        Arrival(
            at,
            HOLD_S * rng.lognormvariate(-spread * spread / 2, spread),
            entry=rng.choice(entries),
            customer=customer,
            **changes,
        )
        for at in poisson(rng, rate, 0.0, DURATION_S)
    ]


def small_loads(rng):
    """Return the requests of the small customers, each within its share."""
    return [load(rng, name, 0.05 * CAPACITY) for name in SMALL]


def new_simulation(*, is_fair=True):
    """Return a simulation without requests."""
    return Simulation(entries=ENTRIES, guards=GUARDS, slots=SLOTS, is_fair=is_fair)


def simulate(*loads, simulation=None, faults=()):
    """Return a simulation that has played the loads."""
    simulation = simulation or new_simulation()
    return simulation.run(sorted(itertools.chain(*loads)), faults)


def served(simulation, customer, since_s=0.0):
    """Return the share of a customer's requests that were served."""
    return simulation.share(lambda a: a.customer == customer and a.at >= since_s)


def slot_time_s(simulation, customer=None):
    """Return the slot time of the served requests, of one customer or of all."""
    return sum(
        simulation.arrivals[number].hold_s
        for number in simulation.served
        if customer in (None, simulation.arrivals[number].customer)
    )


def assert_small_are_served(simulation, since_s=0.0):
    """Check that each small customer is served within its target."""
    for name in SMALL:
        assert served(simulation, name, since_s) >= SMALL_SHARE


class TestFloodAtOneEntry:
    """One customer asks one entry for three times what all engines can do."""

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_small_customers(self, seed):
        """Small customers are served within their targets, and no slot is idle."""
        rng = random.Random(seed)
        simulation = simulate(
            load(rng, "flood", 3.0 * CAPACITY, entries=[0]), *small_loads(rng)
        )
        assert_small_are_served(simulation)
        assert slot_time_s(simulation) >= USED_SHARE * GRANTED_SLOTS * DURATION_S

    def test_without(self):
        """Without shares, small customers are not served within their targets."""
        rng = random.Random(1)
        simulation = simulate(
            load(rng, "flood", 3.0 * CAPACITY),
            *small_loads(rng),
            simulation=new_simulation(is_fair=False),
        )
        assert max(served(simulation, name) for name in SMALL) < 0.6


class TestFloodAtAllEntries:
    """One customer asks all entries for three times what all engines can do."""

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_small_customers(self, seed):
        """Small customers are served within their targets, and no slot is idle."""
        rng = random.Random(seed)
        simulation = simulate(load(rng, "flood", 3.0 * CAPACITY), *small_loads(rng))
        assert_small_are_served(simulation)
        assert slot_time_s(simulation) >= USED_SHARE * GRANTED_SLOTS * DURATION_S


class TestTwoFloods:
    """Two customers flood, one at all entries and one at a single entry."""

    def floods(self, rng, weight=1.0, spread=0.5, factor=1):
        """Return both floods; one may have a weight, and longer requests."""
        second = load(
            rng, "two", 2.0 * CAPACITY, entries=[0], weight=weight, spread=spread
        )
        second = [a._replace(hold_s=factor * a.hold_s) for a in second]
        return load(rng, "one", 2.0 * CAPACITY), second

    # The waiting times, and so the refusals, of a flood at a single entry differ a
    # little from those of a flood at all entries.
    @pytest.mark.parametrize("seed", range(1, 4))
    def test_same(self, seed):
        """Both get the same slot time, and small customers get theirs."""
        rng = random.Random(seed)
        simulation = simulate(*self.floods(rng), *small_loads(rng))
        one, two = (slot_time_s(simulation, name) for name in ("one", "two"))
        assert one == pytest.approx(two, rel=0.1)
        assert_small_are_served(simulation)

    def test_by_weight(self):
        """A customer of three times the weight gets three times the slot time."""
        rng = random.Random(4)
        simulation = simulate(*self.floods(rng, weight=3.0))
        one, two = (slot_time_s(simulation, name) for name in ("one", "two"))
        assert two == pytest.approx(3.0 * one, rel=0.15)

    def test_by_slot_time(self):
        """A customer whose requests run four times as long gets the same slot time."""
        rng = random.Random(5)
        simulation = simulate(*self.floods(rng, factor=4))
        one, two = (slot_time_s(simulation, name) for name in ("one", "two"))
        assert one == pytest.approx(two, rel=0.15)


class TestSlowEngines:
    """Engines run 0.6 s at a fifth of their speed while a customer floods."""

    def test_small_customers(self):
        """Small customers are served within their targets outside the slow times."""
        rng = random.Random(6)
        simulation = new_simulation()

        def set_slowdown(factor):
            simulation.slowdown = factor

        starts = [5.0, 12.0, 20.0]
        faults = [(start, lambda: set_slowdown(5.0)) for start in starts]
        faults += [(start + 0.6, lambda: set_slowdown(1.0)) for start in starts]
        simulate(
            load(rng, "flood", 3.0 * CAPACITY),
            *small_loads(rng),
            simulation=simulation,
            faults=faults,
        )

        # Requests that began in a slow time hold their slots for up to a second more.
        def is_outside(arrival):
            return not any(start <= arrival.at < start + 2.0 for start in starts)

        for name in SMALL:
            share = simulation.share(
                lambda a, name=name: a.customer == name and is_outside(a)
            )
            assert share >= SMALL_SHARE


class TestHotKey:
    """A hot key: customers' rates fall off steeply, the first asks for most."""

    @pytest.mark.parametrize("seed", range(1, 5))
    def test_customers_below_their_share(self, seed):
        """Each customer that asks for up to 0.7 of its share is served.

        Above that, random bursts exceed what a customer may have waiting, as it saves
        up nothing.
        """
        rng = random.Random(seed)
        rates = [0.6 * CAPACITY / (rank + 1) for rank in range(40)]
        names = [f"customer-{rank}" for rank in range(40)]
        loads = [load(rng, *pair) for pair in zip(names, rates, strict=True)]
        simulation = simulate(*loads)
        # All ask for 2.6 times the capacity. The share is 0.03 of it for each customer
        # that asks for more, which the first twenty do.
        for name in names[28:]:
            assert served(simulation, name) >= SMALL_SHARE
        assert served(simulation, names[0]) < 0.2


class TestImmediateRepeats:
    """The callers of a flood repeat refused requests at once, five times."""

    def test_small_customers(self):
        """Small customers are served within their targets, and no slot is idle."""
        rng = random.Random(7)
        simulation = simulate(
            load(rng, "flood", 1.5 * CAPACITY, repeats=5), *small_loads(rng)
        )
        assert_small_are_served(simulation)
        assert slot_time_s(simulation) >= USED_SHARE * GRANTED_SLOTS * DURATION_S


class TestThirdOfEnginesGone:
    """One of three engines goes with its guard while a customer floods."""

    def test_guard_lost(self):
        """Small customers are served within their targets by the others."""
        rng = random.Random(8)
        simulation = new_simulation()
        simulate(
            load(rng, "flood", 3.0 * CAPACITY),
            *small_loads(rng),
            simulation=simulation,
            faults=[(10.0, lambda: simulation.lose_guard(0))],
        )
        assert_small_are_served(simulation, 10.5)

    def test_guard_restarted(self):
        """A guard that starts anew, without virtual times, shares its slots."""
        rng = random.Random(9)
        simulation = new_simulation()

        def restart():
            simulation.add_guard(0)

        simulate(
            load(rng, "flood", 3.0 * CAPACITY),
            *small_loads(rng),
            simulation=simulation,
            faults=[(10.0, restart)],
        )
        assert_small_are_served(simulation, 10.5)


class TestEntryLost:
    """An entry is lost while a customer floods at all entries."""

    def test_other_entries(self):
        """Small customers are served within their targets at the other entries."""
        rng = random.Random(10)
        simulation = new_simulation()
        simulate(
            load(rng, "flood", 3.0 * CAPACITY),
            *small_loads(rng),
            simulation=simulation,
            faults=[(10.0, lambda: simulation.lose_entry(0))],
        )
        for name in SMALL:
            share = simulation.share(
                lambda a, name=name: a.customer == name and a.entry > 0 and a.at > 10.0
            )
            assert share >= SMALL_SHARE


class TestStaleReports:
    """The engines' reports, which correct the count of used slots, are 2 s old."""

    def test_small_customers(self):
        """Small customers are served within their targets."""
        rng = random.Random(11)
        simulation = new_simulation()
        faults = []
        for at in range(2, int(DURATION_S)):
            # Two requests without a grant, at every other time, seen 2 s later.
            correction = 2 * (at // 3 % 2)
            faults += [
                (
                    float(at),
                    lambda c=correction: simulation.guards[0].set_correction(c),
                )
            ]
        simulate(
            load(rng, "flood", 3.0 * CAPACITY),
            *small_loads(rng),
            simulation=simulation,
            faults=faults,
        )
        assert_small_are_served(simulation)


class TestClockStandsStill:
    """The clock of entries and guards stands still from 10 s on."""

    def test_small_customers(self):
        """Small customers are served within their targets: turns still pass on."""
        rng = random.Random(12)
        simulation = new_simulation()
        simulation.clock = lambda: min(simulation.now, 10.0)
        simulate(
            load(rng, "flood", 3.0 * CAPACITY),
            *small_loads(rng),
            simulation=simulation,
        )
        assert_small_are_served(simulation, 10.0)


class TestEnoughForAll:
    """The slots suffice for what all customers ask for."""

    def test_served(self):
        """All are served, whatever their shares."""
        rng = random.Random(13)
        simulation = simulate(load(rng, "large", 0.5 * CAPACITY), *small_loads(rng)[:2])
        assert simulation.share(lambda _: True) > 0.99


class TestCustomerShares:
    """`CustomerShares`."""

    @pytest.fixture
    def clock(self):
        """Return a clock that the test sets."""
        return Clock()

    @pytest.fixture
    def shares(self, clock):
        """Return shares of a customer with nine slots and one with one slot."""
        shares = CustomerShares(clock=clock)
        for number in range(10):
            shares.on_granted(number, "many" if number else "one", 1.0)
        return shares

    def test_had_share(self, shares):
        """Only the customer with more than its part has had its share."""
        assert shares.has_had_share("many")
        assert not shares.has_had_share("one")
        assert not shares.has_had_share("new")

    def test_slot_time(self, shares, clock):
        """Slot time counts, not the number of slots."""
        clock.now += 0.1
        for number in range(1, 10):
            shares.on_released(number)
        clock.now += 2.0
        shares.on_released(0)
        assert shares.has_had_share("one")
        assert not shares.has_had_share("many")

    def test_weight(self, clock):
        """A customer of ten times the weight may use more."""
        shares = CustomerShares(clock=clock)
        for number in range(10):
            name, weight = ("many", 10.0) if number else ("one", 1.0)
            shares.on_granted(number, name, weight)
        assert not shares.has_had_share("many")
        assert shares.has_had_share("one")

    def test_old_use(self, shares, clock):
        """The use of slots is forgotten after two intervals."""
        clock.now += 2 * INTERVAL_S
        assert not shares.has_had_share("many")

    def test_held(self, clock):
        """Customers with refused requests are reported at the end of an interval."""
        reports = []
        shares = CustomerShares(
            clock=clock, on_held=lambda held, former: reports.append((held, former))
        )
        for _ in range(3):
            for _ in range(4):
                shares.on_wait("many", 1.0)
                shares.on_refused("many", 1.0)
            shares.on_wait("one", 1.0)
            clock.now += INTERVAL_S
        shares.on_wait("one", 1.0)
        held, former = reports[-1]
        assert list(held) == list(former) == ["many"]
        assert (held["many"].asked, held["many"].refused) == (4, 4)
        assert clock.now - held["many"].since == 3 * INTERVAL_S

    def test_bounded(self, clock, monkeypatch):
        """State is bounded; customers beyond it have not had their share."""
        monkeypatch.setattr(_customer_shares, "MAX_CUSTOMERS", 10)
        shares = CustomerShares(clock=clock)
        for number in range(20):
            shares.on_granted(number, f"customer-{number}", 1.0)
        assert len(shares.current.customers) == 10
        assert not shares.has_had_share("customer-19")
