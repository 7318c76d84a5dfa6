"""Tests of values that become visible with a lag."""

from skylarkdoor_standins._lagged import Lagged


class Clock:
    """A clock that shows the time set in `now`."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


class TestLagged:
    """`Lagged`."""

    def test_lag(self):
        """A value is visible only once its lag has passed."""
        clock = Clock()
        lagged = Lagged("old", lag_s=2.0, clock=clock)
        lagged.set("new")
        clock.now = 1.9
        assert lagged.get() == "old"
        clock.now = 2.0
        assert lagged.get() == "new"

    def test_order(self):
        """Of several values, the latest whose lag has passed is returned."""
        clock = Clock()
        lagged = Lagged(0, lag_s=2.0, clock=clock)
        for value in (1, 2, 3):
            clock.now = float(value)
            lagged.set(value)
        clock.now = 4.5
        assert lagged.get() == 2
