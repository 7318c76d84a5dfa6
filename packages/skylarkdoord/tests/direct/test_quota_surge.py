"""Simulation of a customer that asks many entries for a multiple of its limit."""

import contextlib
import heapq
import itertools
import random

import pytest

from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.exceptions import QuotaError

from ._make import Clock, make_admitted, make_customer, make_request

WINDOW_S = 8.0
END_S = 20.0
UPDATE_INTERVAL_S = 0.85
MIN_UPDATE_INTERVAL_S = 0.05
# Mean time on the way of an update, in seconds.
DELAY_S = 0.06
SLOW_ENTRIES = 6
CUSTOMER = make_customer(rate=240_000.0)
BOUNDS = QuotaBounds(window_s=WINDOW_S, overshoot=0.1, tolerance=110_000.0)
MEAN_TOKENS = 4000
MAX_TOKENS = 40_000


class Surge:
    """Entries that admit requests and report their use to each other.

    Args:
        entries: Number of entries.
        load: Requested units as a multiple of the customer's rate.
        seed: Seed of arrivals, sizes and delays.
        slow_s: Mean time on the way of updates of the slow entries, in seconds.

    Attributes:
        used: Time and units of each admitted request.
    """

    def __init__(self, entries, load, seed, slow_s=DELAY_S):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.start = self.clock.now + WINDOW_S
        self.load = load
        self.slow_s = slow_s
        self.events = []
        self.order = itertools.count()
        self.quotas = [Quota(BOUNDS, clock=self.clock) for _ in range(entries)]
        self.reported = [0.0] * entries
        self.is_hurrying = [False] * entries
        self.used = []
        for number, quota in enumerate(self.quotas):
            quota.silent_entries = lambda: (0, entries)
            quota.on_unreported = lambda number=number: self.hurry(number)
            phase_s = self.rng.uniform(0.0, UPDATE_INTERVAL_S)
            self.plan(self.start + phase_s, self.update, number)
        self.plan(self.start, self.arrive)

    def plan(self, at, action, *args):
        """Call something at a time."""
        heapq.heappush(self.events, (at, next(self.order), action, args))

    def run(self):
        """Play the surge; return the most units within a window."""
        while self.events[0][0] < self.start + END_S:
            at, _, action, args = heapq.heappop(self.events)
            self.clock.now = at
            action(*args)
        return max(
            sum(units for other, units in self.used if at <= other < at + WINDOW_S)
            for at, _ in self.used[::10]
        )

    def arrive(self):
        """Offer a request to one of the entries."""
        interval_s = MEAN_TOKENS / (CUSTOMER.rate * self.load)
        gap_s = self.rng.expovariate(1 / interval_s)
        self.plan(self.clock.now + gap_s, self.arrive)
        tokens = int(self.rng.lognormvariate(0.0, 0.83) * 0.7 * MEAN_TOKENS)
        request = make_request(prompt_tokens=min(tokens, MAX_TOKENS), max_tokens=0)
        with contextlib.suppress(QuotaError):
            quota = self.rng.choice(self.quotas)
            quota.use(make_admitted(request, customer=CUSTOMER))
            self.used.append((self.clock.now, request.prompt_tokens))

    def hurry(self, number):
        """Send an entry's update soon, unless it is about to be sent."""
        if not self.is_hurrying[number]:
            self.is_hurrying[number] = True
            self.plan(self.clock.now + MIN_UPDATE_INTERVAL_S, self.send, number)

    def update(self, number):
        """Send an entry's regular update."""
        self.send(number)
        self.plan(self.clock.now + UPDATE_INTERVAL_S, self.update, number)

    def send(self, number):
        """Send an entry's use to all others."""
        self.is_hurrying[number] = False
        used = self.quotas[number].report_used().get(CUSTOMER.name, 0.0)
        units = used - self.reported[number]
        self.reported[number] = used
        for other, quota in enumerate(self.quotas):
            if units and other != number:
                delay_s = self.slow_s if min(number, other) < SLOW_ENTRIES else DELAY_S
                at = self.clock.now + delay_s * self.rng.uniform(0.5, 1.5)
                self.plan(at, quota.charge, CUSTOMER.name, units)


class TestSurge:
    """A customer that asks for several times its limit."""

    # Guards against a limit that is exceeded while no entry knows yet what the others
    # have admitted.
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(("entries", "load"), [(34, 3.0), (34, 4.0), (4, 4.0)])
    def test_allowed_overshoot(self, entries, load, seed):
        """No window holds more than the limit and what it may be exceeded by."""
        surge = Surge(entries, load, seed)
        quota = surge.quotas[0]
        allowed = quota.nominal_limit(CUSTOMER) + quota.allowed_overshoot(CUSTOMER)
        assert surge.run() <= allowed

    # Guards against the same while some entries hear and are heard late.
    @pytest.mark.parametrize("slow_s", [0.5, 1.5])
    def test_slow_entries(self, slow_s):
        """It holds too while six of 34 entries are slow."""
        surge = Surge(34, 2.0, 1, slow_s)
        quota = surge.quotas[0]
        allowed = quota.nominal_limit(CUSTOMER) + quota.allowed_overshoot(CUSTOMER)
        assert surge.run() <= allowed

    # Guards against refusals of what a customer may use, for the sake of the above.
    def test_nominal_limit(self):
        """A customer that asks for its whole rate is not refused anything."""
        surge = Surge(34, 0.95, 1)
        surge.run()
        quota = surge.quotas[0]
        requested = 0.95 * CUSTOMER.rate * END_S
        assert sum(units for _, units in surge.used) >= 0.93 * requested
        assert quota.unseen_excess(
            quota.account(CUSTOMER.name, surge.clock.now), CUSTOMER
        ) < 0.5 * quota.allowed_overshoot(CUSTOMER)
