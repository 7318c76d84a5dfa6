"""Correction of the number of used slots by the engine's load reports."""

import pytest

from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._occupancy import (
    CONFIRMING_REPORTS,
    Occupancy,
    Sample,
)
from skylarkdoord.direct.shares._guard_queue import SlotQueue


@pytest.fixture
def occupancy():
    """Return an occupancy without samples."""
    return Occupancy()


def record_all(occupancy, *samples):
    """Record samples, each given as (granted, settled, in_engine)."""
    for sample in samples:
        occupancy.record(Sample(*sample))


class TestOccupancy:
    """`Occupancy`."""

    def test_agreement(self, occupancy):
        """Nothing is corrected if grants and reports agree."""
        record_all(occupancy, *[(6, 6, 6)] * CONFIRMING_REPORTS)
        assert occupancy.correction() == 0

    def test_entry_lost_power(self, occupancy):
        """Slots of an entry that lost power are freed before its stream times out."""
        record_all(occupancy, *[(8, 8, 5)] * CONFIRMING_REPORTS)
        assert occupancy.correction() == -3

    def test_one_report(self, occupancy):
        """A single report does not free slots, as its requests may just have ended.

        Their slots would otherwise be freed twice: by the correction and by the entry.
        """
        record_all(occupancy, (8, 8, 8), (8, 8, 8), (8, 8, 5))
        assert occupancy.correction() == 0

    def test_on_the_way(self, occupancy):
        """A request that is still on its way to the engine keeps its slot."""
        record_all(occupancy, *[(8, 5, 5)] * CONFIRMING_REPORTS)
        assert occupancy.correction() == 0

    def test_ungranted_requests(self, occupancy):
        """Requests of entries that lost the guard use slots too."""
        record_all(occupancy, *[(3, 3, 7)] * CONFIRMING_REPORTS)
        assert occupancy.correction() == 4

    def test_guard_restarted(self, occupancy):
        """A guard that has just started grants no slots of an engine that is full."""
        record_all(occupancy, (0, 0, 8))
        assert occupancy.correction() == 8

    def test_no_report(self, occupancy):
        """Without reports, nothing is corrected."""
        record_all(occupancy, *[(8, 8, 5)] * CONFIRMING_REPORTS)
        occupancy.clear()
        assert occupancy.correction() == 0


class TestCorrectedQueue:
    """`SlotQueue.set_correction`."""

    @pytest.fixture
    def queue(self, granted):
        """Return a queue with two granted slots and one waiting request."""
        queue = SlotQueue(lambda stream, request: granted.append(request))
        queue.resize(2)
        for name in ("a", "b", "c"):
            queue.offer("s", name, Precedence(0))
        return queue

    @pytest.fixture
    def granted(self):
        """Return the list of granted requests."""
        return []

    def test_unused(self, queue, granted):
        """A granted slot that is not used is granted to the next request."""
        queue.set_correction(-1)
        assert granted == ["a", "b", "c"]

    def test_ungranted_requests(self, queue, granted):
        """A slot used by a request without a grant is not granted."""
        queue.set_correction(1)
        queue.withdraw("s", "a")
        assert granted == ["a", "b"]
        queue.set_correction(0)
        assert granted == ["a", "b", "c"]

    def test_settled(self):
        """Grants count as settled from a given age."""
        now = 10.0
        queue = SlotQueue(lambda *_: None, clock=lambda: now)
        queue.resize(2)
        queue.offer("s", "a", Precedence(0))
        now = 10.2
        queue.offer("s", "b", Precedence(0))
        now = 10.3
        assert queue.settled(0.3) == 1
