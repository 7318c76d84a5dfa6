"""Loads in which long answers get fewer slots than short ones, in simulated time.

Each class is one load, which it names.
"""

import math
import random

import pytest

from ._share_simulation import Arrival, Simulation, poisson

ENTRIES = 29
GUARDS = 11
SLOTS = 8
DURATION_S = 20.0
TIME_TO_FIRST_TOKEN_S = 0.1
SECONDS_PER_TOKEN = 0.007
# Parts of a tier's requests by size that are compared with all of them.
LARGEST_TENTH = (0.9, 1.0)
FIFTH_BELOW = (0.7, 0.9)
# Each part is promised to be served half as often as the tier.
PROMISED_RATIO = 0.5
SEEDS_TOGETHER = 2


class Sizes:
    """Answer lengths of a tier.

    Args:
        median: Median length, in tokens.
        spread: Standard deviation of the logarithm of the length.
        longest: Longest answer, in tokens.
    """

    def __init__(self, median, spread, longest):
        self.median = median
        self.spread = spread
        self.longest = longest

    def draw(self, rng):
        """Return the tokens of an answer."""
        tokens = int(self.median * rng.lognormvariate(0.0, self.spread))
        return min(self.longest, 1 + tokens)


def load(rng, tier, rate, sizes, limit_s=math.inf):
    """Return requests of a tier; callers estimate the answers' lengths roughly."""
    arrivals = []
    for at in poisson(rng, rate, 0.0, DURATION_S):
        tokens = sizes.draw(rng)
        expected = max(1, round(tokens * rng.lognormvariate(0.0, 0.5)))
        arrivals.append(
            Arrival(
                at,
                TIME_TO_FIRST_TOKEN_S + tokens * SECONDS_PER_TOKEN,
                tier,
                rng.randrange(ENTRIES),
                expected_tokens=expected,
                tokens=tokens,
                limit_s=limit_s,
            )
        )
    return arrivals


class Served:
    """Counts how often the parts of a tier are served, over several simulations.

    A request counts as served once its answer ends within the caller's time limit.
    """

    def __init__(self):
        self.counts = {}

    def add(self, simulation, tier):
        """Count the requests of a tier."""
        numbers = [
            number
            for number, arrival in enumerate(simulation.arrivals)
            if arrival.tier == tier
        ]
        numbers.sort(key=lambda number: simulation.arrivals[number].tokens)
        for part in (LARGEST_TENTH, FIFTH_BELOW, (0.0, 1.0)):
            low, high = (int(bound * len(numbers)) for bound in part)
            served, asked = self.counts.get(part, (0, 0))
            chosen = numbers[low:high]
            served += len(simulation.finished.intersection(chosen))
            self.counts[part] = served, asked + len(chosen)

    def share(self, part=(0.0, 1.0)):
        """Return the served share of a part."""
        served, asked = self.counts[part]
        return served / asked

    def ratio(self, part):
        """Return the served share of a part, in relation to that of the tier."""
        return self.share(part) / self.share()


class TestLowestTierAtManyEntries:
    """A burst of the lowest tier, of which each of many entries sees a small part."""

    def play(self, seed):
        """Return a simulation that has played the load."""
        rng = random.Random(seed)
        arrivals = load(rng, 0, 110.0, Sizes(40, 0.8, 500))
        arrivals += load(rng, 1, 75.0, Sizes(20, 1.0, 225))
        arrivals += load(rng, 2, 130.0, Sizes(110, 1.45, 2800))
        simulation = Simulation(entries=ENTRIES, guards=GUARDS, slots=SLOTS)
        return simulation.run(sorted(arrivals))

    # Guards against entries that queue long answers last although hardly any is
    # served, as each of them has seen too few to know.
    @pytest.mark.parametrize("first_seed", range(1, 9, SEEDS_TOGETHER))
    def test_long_are_not_starved(self, first_seed):
        """The largest requests are served at least half as often as their tier."""
        served = Served()
        for seed in range(first_seed, first_seed + SEEDS_TOGETHER):
            served.add(self.play(seed), 2)
        assert served.ratio(LARGEST_TENTH) >= PROMISED_RATIO
        assert served.ratio(FIFTH_BELOW) >= PROMISED_RATIO


class TestUnlikeEngines:
    """Two thirds of the engines can't finish the longest answers in time."""

    SLOWNESS = (0.65,) * 4 + (2.0,) * 7
    LIMIT_S = 15.0
    # The slower engines produce about 1,060 tokens within the limit.
    LARGE_TOKENS = 700

    def play(self, seed):
        """Return a simulation that has played the load."""
        rng = random.Random(seed)
        sizes = Sizes(110, 1.45, 2800)
        arrivals = load(rng, 0, 50.0, Sizes(40, 0.8, 500), 6.0)
        arrivals += load(rng, 2, 50.0, sizes, self.LIMIT_S)
        simulation = Simulation(
            entries=ENTRIES, guards=GUARDS, slots=SLOTS, slowness=self.SLOWNESS
        )
        return simulation.run(sorted(arrivals))

    # Guards against slots held until the time limit by answers that are lost then, as
    # the engine was too slow for them.
    @pytest.mark.parametrize("first_seed", range(1, 11, 5))
    def test_few_are_cut_off(self, first_seed):
        """Of the largest requests with a slot, one in ten at most is cut off."""
        granted = cut_off = 0
        for seed in range(first_seed, first_seed + 5):
            simulation = self.play(seed)
            numbers = {
                number
                for number in simulation.served
                if simulation.arrivals[number].tokens > self.LARGE_TOKENS
            }
            granted += len(numbers)
            cut_off += len(numbers - simulation.finished)
        assert cut_off <= 0.1 * granted
