"""Tests of `skylarkdoord.sidecar._drain_rate`."""

import pytest

from skylarkdoord.sidecar._drain_rate import DrainRate


class TestDrainRate:
    """Departures per second while offers wait."""

    def test_steady(self):
        """A constant rate of four departures per second is measured."""
        rate = DrainRate()
        rate.record(0.0, departed=0, waiting=9)
        for step in range(1, 81):
            rate.record(step / 4, departed=1, waiting=9)
        assert rate.per_s() == pytest.approx(4, rel=0.1)
        assert rate.wait_s(8) == pytest.approx(2, rel=0.1)

    def test_idle_time_is_left_out(self):
        """Time with an empty queue doesn't reduce the rate."""
        rate = DrainRate()
        rate.record(0.0, departed=0, waiting=9)
        for step in range(1, 41):
            rate.record(step / 4, departed=1, waiting=9)
        rate.record(10.0, departed=0, waiting=0)
        rate.record(500.0, departed=0, waiting=1)
        assert rate.per_s() == pytest.approx(4, rel=0.1)

    def test_unknown(self):
        """Without a measurement the estimated wait is 0."""
        assert DrainRate().wait_s(10) == 0.0
