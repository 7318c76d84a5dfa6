"""Tests of the prefix cache's event feed."""

from skylarkdoor_standins.engine._cache_events import CacheEvents


class TestCacheEvents:
    """`CacheEvents`."""

    def test_lag(self):
        """An event is visible only once its lag has passed."""
        now = 0.0
        events = CacheEvents(seed=1, lag_s=2.0, loss_ratio=0.0, clock=lambda: now)
        events.publish("stored", "a")
        assert events.since(0) == []
        now = 2.0
        assert [event.block for event in events.since(0)] == ["a"]
        assert events.since(1) == []

    def test_gaps(self):
        """A lost event leaves a gap in the numbers."""
        events = CacheEvents(seed=1, lag_s=0.0, loss_ratio=0.5)
        for index in range(100):
            events.publish("stored", str(index))
        numbers = [event.number for event in events.since(0)]
        assert 0 < len(numbers) < 100
        assert all(event.block == str(event.number - 1) for event in events.since(0))
