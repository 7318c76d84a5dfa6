"""Loads in which requests take more of an engine's memory than there is.

Each class is one load or failure, which it names.
"""

import random

import pytest

from skylarkdoord.direct import EngineLoad
from skylarkdoord.direct._engine_reports import Report
from skylarkdoord.direct._guard import Guard
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._settings import ShareSettings
from skylarkdoord.direct.shares._guard_queue import SlotQueue
from skylarkdoord.direct.shares._queue_order import Demand
from skylarkdoord.direct.shares._token_memory import TokenMemory

from ._make import make_settings
from ._share_simulation import Arrival, Simulation, poisson

MEMORY = 4000
DURATION_S = 30.0
GUARDS = 3
ENTRIES = 4


def load(rng):
    """Return requests of which some are long enough for a half of an engine."""
    return [
        Arrival(
            at,
            0.2,
            entry=rng.randrange(ENTRIES),
            timeout_s=1.0,
            tokens=rng.choice([200, 200, 200, 300, 600, 2000]),
        )
        for at in poisson(rng, 90.0, 0.0, DURATION_S)
    ]


def simulate(seed, memory):
    """Return a simulation of long requests."""
    simulation = Simulation(entries=ENTRIES, guards=GUARDS, memory=memory)
    return simulation.run(load(random.Random(seed)))


class TestLongRequests:
    """Long prompts and answers come together while slots are free."""

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_memory_kept(self, seed):
        """No engine ever holds more than its memory, and most are served."""
        simulation = simulate(seed, MEMORY)
        assert simulation.peak_tokens <= MEMORY
        assert simulation.share(lambda _: True) >= 0.9

    def test_long_are_served(self):
        """The longest are served as often as the others."""
        simulation = simulate(6, MEMORY)
        long = simulation.share(lambda a: a.tokens == 2000)
        assert long >= 0.9 * simulation.share(lambda a: a.tokens < 2000)

    def test_without(self):
        """Without the count, engines hold more than their memory."""
        assert simulate(1, None).peak_tokens > MEMORY


@pytest.fixture
def granted():
    """Return the list of granted requests."""
    return []


@pytest.fixture
def queue(granted):
    """Return a queue of eight slots at an engine that holds 1000 tokens."""
    queue = SlotQueue(lambda _, name: granted.append(name), memory=TokenMemory())
    queue.resize(8)
    queue.set_memory(1000)
    return queue


def offer(queue, name, tokens, tier=0):
    """Offer a request."""
    queue.offer("s", name, Precedence(tier), Demand(max_tokens=tokens))


class TestReservation:
    """Tokens of requests with slots at one engine."""

    def test_waits(self, queue, granted):
        """A request waits until there is memory for it."""
        offer(queue, "a", 600)
        offer(queue, "b", 600)
        assert granted == ["a"]
        assert queue.counts().is_full
        queue.withdraw("s", "a")
        assert granted == ["a", "b"]
        assert not queue.counts().is_full
        assert queue.memory.reserved == 600

    def test_idle(self, queue, granted):
        """An idle engine gets a request that is larger than its memory, alone."""
        offer(queue, "a", 5000)
        offer(queue, "b", 1)
        assert granted == ["a"]

    def test_oversized(self, queue, granted):
        """A request larger than the memory holds up no others while it waits."""
        offer(queue, "a", 600)
        offer(queue, "oversized", 5000)
        offer(queue, "b", 300)
        assert granted == ["a", "b"]
        assert not queue.counts().is_full
        queue.withdraw("s", "a")
        queue.withdraw("s", "b")
        assert granted == ["a", "b", "oversized"]
        queue.withdraw("s", "oversized")
        assert queue.memory.reserved == 0

    def test_oversized_gives_up(self, queue, granted):
        """A request larger than the memory may stop waiting, or fit a larger memory."""
        offer(queue, "a", 600)
        offer(queue, "b", 5000)
        offer(queue, "c", 5000)
        queue.withdraw("s", "b")
        queue.set_memory(8000)
        assert granted == ["a", "c"]
        assert not queue.oversized

    def test_unknown_size(self, queue, granted):
        """Without a known memory there is no limit."""
        queue.set_memory(0)
        for name in "abc":
            offer(queue, name, 5000)
        assert granted == ["a", "b", "c"]

    def test_large_not_overtaken(self, queue, granted):
        """A large request is not overtaken for ever by small ones."""
        offer(queue, "a", 600)
        offer(queue, "large", 900)
        offer(queue, "small", 100)
        assert granted == ["a"]
        queue.withdraw("s", "a")
        assert granted == ["a", "large", "small"]

    def test_first_gives_up(self, queue, granted):
        """Once the request that did not fit gives up, the next one is granted."""
        offer(queue, "a", 600)
        offer(queue, "large", 900)
        offer(queue, "small", 100)
        queue.withdraw("s", "large")
        assert granted == ["a", "small"]

    def test_entry_lost(self, queue, granted):
        """The same if its entry is lost."""
        offer(queue, "a", 600)
        queue.offer("t", "large", Precedence(0), Demand(max_tokens=900))
        offer(queue, "small", 100)
        queue.drop_waiting("t")
        assert granted == ["a", "small"]

    def test_tokens_not_stated(self, queue, granted):
        """Requests that state no tokens count with the average of the others."""
        offer(queue, "a", 400)
        for name in "bcd":
            offer(queue, name, 0)
        assert granted == ["a", "b"]


class TestGuardRestarted:
    """A guard starts anew while its engine runs requests of its predecessor."""

    def test_ungranted_counted(self, queue, granted):
        """Requests in the engine without a grant count with the average."""
        queue.set_correction(3)
        offer(queue, "a", 300)
        assert granted == []
        queue.set_correction(2)
        assert granted == ["a"]


class TestGuard:
    """`Guard` with reports of its engine."""

    @pytest.mark.parametrize(("shares", "granted"), [(ShareSettings(), 1), (None, 2)])
    async def test_size_from_report(self, shares, granted):
        """The memory is the one that the engine reports, if the settings ask for it."""
        guard = Guard(make_settings("guard-1")._replace(shares=shares))
        guard.queue.resize(8)
        guard.on_report(Report(EngineLoad(0, 0, 0, 1000)))
        for name in "ab":
            offer(guard.queue, name, 600)
        assert len(guard.queue.granted) == granted
        assert (guard.load().load.room == 0) == (shares is not None)

    async def test_lost_report(self):
        """While the engine does not report, the last known memory stays in force."""
        guard = Guard(make_settings("guard-1")._replace(shares=ShareSettings()))
        guard.queue.resize(8)
        guard.on_report(Report(EngineLoad(0, 0, 0, 1000)))
        guard.on_report(Report(None))
        for name in "ab":
            offer(guard.queue, name, 600)
        assert len(guard.queue.granted) == 1
