"""The rate at which the queue drains."""

import pytest

from skylarkdoord.sidecar._drain_rate import DrainRate


class TestDrainRate:
    """Departures per second while offers wait."""

    def test_steady(self):
        """Four departures a second are measured as four."""
        rate = DrainRate()
        rate.note(0.0, departed=0, waiting=9)
        for step in range(1, 81):
            rate.note(step / 4, departed=1, waiting=9)
        assert rate.per_s() == pytest.approx(4, rel=0.1)
        assert rate.wait_s(8) == pytest.approx(2, rel=0.1)

    def test_idle_time_is_left_out(self):
        """Time in which nothing waits does not lower the rate."""
        rate = DrainRate()
        rate.note(0.0, departed=0, waiting=9)
        for step in range(1, 41):
            rate.note(step / 4, departed=1, waiting=9)
        rate.note(10.0, departed=0, waiting=0)
        rate.note(500.0, departed=0, waiting=1)
        assert rate.per_s() == pytest.approx(4, rel=0.1)

    def test_unknown(self):
        """Without a measurement there is no wait to tell."""
        assert DrainRate().wait_s(10) == 0.0
