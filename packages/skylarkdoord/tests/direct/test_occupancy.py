"""How many places are taken, by grants and by the engine's own reports."""

import pytest

from skylarkdoord.direct._guard_queue import SlotQueue
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._occupancy import (
    CONFIRMING_REPORTS,
    Occupancy,
    Sample,
)


@pytest.fixture
def occupancy():
    """Return an occupancy without reports."""
    return Occupancy()


def note(occupancy, *samples):
    """Take over reports, each as granted, settled and in the engine."""
    for sample in samples:
        occupancy.record(Sample(*sample))


class TestOccupancy:
    """`Occupancy`."""

    def test_agreement(self, occupancy):
        """Where grants and reports agree, nothing is corrected."""
        note(occupancy, *[(6, 6, 6)] * CONFIRMING_REPORTS)
        assert occupancy.correction() == 0

    def test_power_lost(self, occupancy):
        """Places of an entry that lost its power come free before it is missed."""
        note(occupancy, *[(8, 8, 5)] * CONFIRMING_REPORTS)
        assert occupancy.correction() == -3

    def test_one_report(self, occupancy):
        """A request that ends while a report is under way frees no place twice."""
        note(occupancy, (8, 8, 8), (8, 8, 8), (8, 8, 5))
        assert occupancy.correction() == 0

    def test_under_way(self, occupancy):
        """A request that is still on its way to the engine has its place."""
        note(occupancy, *[(8, 5, 5)] * CONFIRMING_REPORTS)
        assert occupancy.correction() == 0

    def test_strangers(self, occupancy):
        """Requests of entries that lost the guard take places too."""
        note(occupancy, *[(3, 3, 7)] * CONFIRMING_REPORTS)
        assert occupancy.correction() == 4

    def test_guard_restarted(self, occupancy):
        """A guard that has just started fills no engine that is full already."""
        note(occupancy, (0, 0, 8))
        assert occupancy.correction() == 8

    def test_no_report(self, occupancy):
        """Without reports, the grants count."""
        note(occupancy, *[(8, 8, 5)] * CONFIRMING_REPORTS)
        occupancy.clear()
        assert occupancy.correction() == 0


class TestCorrectedQueue:
    """`PlaceQueue.correct`."""

    @pytest.fixture
    def queue(self, granted):
        """Return a queue of two places, both granted, and one that waits."""
        queue = SlotQueue(lambda stream, request: granted.append(request))
        queue.resize(2)
        for name in ("a", "b", "c"):
            queue.offer("s", name, Precedence(0))
        return queue

    @pytest.fixture
    def granted(self):
        """Return the list of what was granted."""
        return []

    def test_unused(self, queue, granted):
        """A place that nobody uses is given to who waits."""
        queue.correct(-1)
        assert granted == ["a", "b", "c"]

    def test_strangers(self, queue, granted):
        """A place that comes free while a stranger runs is not given away."""
        queue.correct(1)
        queue.withdraw("s", "a")
        assert granted == ["a", "b"]
        queue.correct(0)
        assert granted == ["a", "b", "c"]

    def test_settled(self):
        """Grants count as settled once they have some age."""
        now = 10.0
        queue = SlotQueue(lambda *_: None, clock=lambda: now)
        queue.resize(2)
        queue.offer("s", "a", Precedence(0))
        now = 10.2
        queue.offer("s", "b", Precedence(0))
        now = 10.3
        assert queue.settled(0.3) == 1
