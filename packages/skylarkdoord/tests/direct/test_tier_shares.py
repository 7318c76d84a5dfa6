"""Loads in which less important tiers get hardly any slots, in simulated time.

Each class is one load, which it names.
"""

import itertools
import random

import pytest

from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct.shares._tier_shares import TIER_WINDOW_S, TierShares

from ._make import Clock
from ._share_simulation import Arrival, Simulation, poisson

MIN_RATIO = 0.35
# Lowest ratio that callers of a tier are promised.
PROMISED_RATIO = 0.25
DURATION_S = 60.0
HOLD_S = 0.2
ENTRIES = 4
GUARDS = 3
SLOTS = 8
# Requests a second that the engines can serve.
CAPACITY = GUARDS * SLOTS / HOLD_S


def load(rng, tier, rate, *, start_s=0.0, end_s=DURATION_S, spread=0.0):
    """Return requests of a tier, spread over the entries."""
    return [
        Arrival(
            at,
            HOLD_S * rng.lognormvariate(0.0, spread),
            tier,
            rng.randrange(ENTRIES),
            is_long=rng.random() < 0.1,
        )
        for at in poisson(rng, rate, start_s, end_s)
    ]


def simulate(*loads, faults=(), min_tier_ratio=MIN_RATIO, simulation=None):
    """Return a simulation that has played the loads."""
    simulation = simulation or Simulation(
        entries=ENTRIES, guards=GUARDS, slots=SLOTS, min_tier_ratio=min_tier_ratio
    )
    return simulation.run(sorted(itertools.chain(*loads)), faults)


def ratio(simulation, tier, since_s=0.0, until_s=DURATION_S):
    """Return the ratio of a tier's served share to that of all requests."""
    share = simulation.share(lambda a: a.tier == tier and since_s <= a.at < until_s)
    return share / simulation.share(lambda a: since_s <= a.at < until_s)


class TestStarvedTier:
    """The first of three tiers asks for more than all slots."""

    @pytest.mark.parametrize("seed", range(1, 11))
    def test_promised_ratio(self, seed):
        """The lowest tier is served at least a quarter as often as all requests."""
        rng = random.Random(seed)
        simulation = simulate(
            load(rng, 0, 1.3 * CAPACITY, spread=0.5),
            load(rng, 2, 0.2 * CAPACITY, spread=0.5),
        )
        assert ratio(simulation, 2) >= PROMISED_RATIO

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_nothing_more(self, seed):
        """The starved tier gets no more than the configured ratio."""
        rng = random.Random(seed)
        simulation = simulate(
            load(rng, 0, 1.3 * CAPACITY), load(rng, 2, 0.2 * CAPACITY)
        )
        assert ratio(simulation, 2, 10.0) <= MIN_RATIO + 0.07

    @pytest.mark.parametrize("seed", range(1, 4))
    def test_many_entries(self, seed):
        """The same if each entry sees 0.6 requests of the tier within the window."""
        rng = random.Random(seed)
        entries = 100
        arrivals = load(rng, 0, 1.3 * CAPACITY) + load(rng, 2, 0.05 * CAPACITY)
        arrivals = [a._replace(entry=rng.randrange(entries)) for a in arrivals]
        simulation = Simulation(
            entries=entries, guards=GUARDS, slots=SLOTS, min_tier_ratio=MIN_RATIO
        )
        simulate(arrivals, simulation=simulation)
        assert ratio(simulation, 2) >= PROMISED_RATIO

    def test_starves_without(self):
        """Without the setting the lowest tier gets hardly anything."""
        rng = random.Random(1)
        simulation = simulate(
            load(rng, 0, 1.3 * CAPACITY),
            load(rng, 2, 0.2 * CAPACITY),
            min_tier_ratio=None,
        )
        assert ratio(simulation, 2) < 0.1

    def test_two_starved(self):
        """Two starved tiers are each served a quarter as often as all requests."""
        rng = random.Random(2)
        simulation = simulate(
            load(rng, 0, 1.5 * CAPACITY),
            load(rng, 1, 0.3 * CAPACITY),
            load(rng, 2, 0.3 * CAPACITY),
        )
        assert ratio(simulation, 1) >= PROMISED_RATIO
        assert ratio(simulation, 2) >= PROMISED_RATIO


class TestEnoughForAll:
    """The slots suffice for all tiers."""

    def test_none_promoted(self):
        """No request is promoted."""
        rng = random.Random(3)
        simulation = simulate(
            load(rng, 0, 0.4 * CAPACITY), load(rng, 2, 0.3 * CAPACITY)
        )
        assert simulation.share(lambda _: True) > 0.99
        assert not any(any(tiers.promoted.values()) for tiers in simulation.tiers)


class TestClassBursts:
    """Bursts of one tier after the other, each of more than all slots."""

    def test_each_tier(self):
        """Each tier is served at least a quarter as often as all requests."""
        rng = random.Random(4)
        loads = [load(rng, tier, 0.3 * CAPACITY) for tier in (0, 1, 2)]
        loads += [
            load(rng, tier, 2.0 * CAPACITY, start_s=start, end_s=start + 5.0)
            for start, tier in ((5, 0), (15, 1), (25, 0), (35, 2), (45, 0), (50, 1))
        ]
        simulation = simulate(*loads)
        for tier in (0, 1, 2):
            assert ratio(simulation, tier) >= PROMISED_RATIO

    def test_strict_before_and_after(self):
        """Once the burst has left the window, the first tier gets all it asks for."""
        rng = random.Random(5)
        simulation = simulate(
            load(rng, 0, 0.5 * CAPACITY),
            load(rng, 0, 1.0 * CAPACITY, start_s=10.0, end_s=20.0),
            load(rng, 2, 0.2 * CAPACITY),
        )
        after = simulation.share(lambda a: a.tier == 0 and a.at > 20.0 + TIER_WINDOW_S)
        assert after > 0.99


class TestSlowEngines:
    """Engines run 0.6 s at a fifth of their speed, again and again."""

    def test_lowest_tier(self):
        """The lowest tier is served at least a quarter as often as all requests."""
        rng = random.Random(6)

        def set_slowdown(simulation, factor):
            simulation.slowdown = factor

        simulation = Simulation(
            entries=ENTRIES, guards=GUARDS, slots=SLOTS, min_tier_ratio=MIN_RATIO
        )
        faults = []
        for start in range(5, 55, 3):
            faults.append((start, lambda: set_slowdown(simulation, 5.0)))
            faults.append((start + 0.6, lambda: set_slowdown(simulation, 1.0)))
        simulate(
            load(rng, 0, 0.9 * CAPACITY),
            load(rng, 1, 0.2 * CAPACITY),
            faults=faults,
            simulation=simulation,
        )
        assert ratio(simulation, 1) >= PROMISED_RATIO


class TestThirdOfEnginesGone:
    """One of three engines leaves while the first tier asks for nearly all slots."""

    def test_guard_lost(self):
        """The lowest tier is served at least a quarter as often as all requests."""
        rng = random.Random(7)
        simulation = Simulation(
            entries=ENTRIES, guards=GUARDS, slots=SLOTS, min_tier_ratio=MIN_RATIO
        )
        simulate(
            load(rng, 0, 0.9 * CAPACITY),
            load(rng, 1, 0.2 * CAPACITY),
            faults=[(15.0, lambda: simulation.lose_guard(0))],
            simulation=simulation,
        )
        assert ratio(simulation, 1, 15.0) >= PROMISED_RATIO


class TestEntryLost:
    """An entry is lost, with its counts, while the first tier floods."""

    def test_other_entries(self):
        """The other entries go on promoting by their own counts."""
        rng = random.Random(8)
        simulation = Simulation(
            entries=ENTRIES, guards=GUARDS, slots=SLOTS, min_tier_ratio=MIN_RATIO
        )
        simulate(
            load(rng, 0, 1.5 * CAPACITY),
            load(rng, 1, 0.2 * CAPACITY),
            faults=[(15.0, lambda: simulation.lose_entry(0))],
            simulation=simulation,
        )

        def chosen(tiers):
            return simulation.share(
                lambda a: a.tier in tiers and a.entry > 0 and a.at > 15.0
            )

        assert chosen({1}) >= PROMISED_RATIO * chosen({0, 1})


class TestClockStandsStill:
    """The clock of entries and guards stands still from 10 s on."""

    def test_lowest_tier(self):
        """The lowest tier is served at least a quarter as often as all requests."""
        rng = random.Random(9)
        simulation = Simulation(
            entries=ENTRIES, guards=GUARDS, slots=SLOTS, min_tier_ratio=MIN_RATIO
        )
        simulation.clock = lambda: min(simulation.now, 10.0)
        simulate(
            load(rng, 0, 1.3 * CAPACITY),
            load(rng, 1, 0.2 * CAPACITY),
            simulation=simulation,
        )
        assert ratio(simulation, 1, 10.0) >= PROMISED_RATIO


class TestTierShares:
    """`TierShares`."""

    @pytest.fixture
    def clock(self):
        """Return a clock that the test sets."""
        return Clock()

    @pytest.fixture
    def shares(self, clock):
        """Return shares in which tier 0 was served ten times and tier 2 not once."""
        shares = TierShares(MIN_RATIO, clock=clock)
        for _ in range(10):
            shares.record(0, is_served=True, is_promoted=False)
            shares.record(2, is_served=False, is_promoted=False)
        return shares

    def test_as_many_as_needed(self, shares):
        """Two requests of ten bring a tier back to 0.35 of a share of one half."""
        promoted = [shares.promote(Precedence(2)) for _ in range(5)]
        assert promoted.count(Precedence(0)) == 2

    def test_late(self, shares):
        """A request that can't meet its target is not promoted."""
        late = Precedence(2, is_late=True)
        assert shares.promote(late) == late

    def test_short_first(self, shares):
        """A long request is not promoted where a short one would suffice."""
        assert shares.promote(Precedence(2), is_long=True) == Precedence(2)
        assert shares.promote(Precedence(2)) == Precedence(0)

    def test_long_where_none_is_short(self, shares):
        """Long requests are promoted if there are not enough short ones."""
        for _ in range(10):
            shares.record(0, is_served=True, is_promoted=False)
            shares.record(2, is_served=False, is_promoted=False)
        assert shares.promote(Precedence(2), is_long=True) == Precedence(0)

    def test_first_tier(self, shares):
        """A request of the most important tier stays as it is."""
        assert shares.promote(Precedence(0), is_long=True) == Precedence(0)

    def test_window(self, shares, clock):
        """What ended before the window no longer counts."""
        clock.now += TIER_WINDOW_S + 1.0
        assert shares.promote(Precedence(2)) == Precedence(2)
        assert not shares.tiers
        assert shares.total.ended == 0
