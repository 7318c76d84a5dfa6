"""Tests of `skylarkdoord.sidecar._limits`."""

import pytest

from skylarkdoord.sidecar._limits import MIN_GAPS, AdaptiveLimit, Targets

TARGETS = Targets(first_token_s=0.51, inter_token_s=0.028)


def adapt(limit, gap_s, *, unloaded_gap_s=0.0, running=None, first_token_waits=()):
    """Add samples to the limit and adjust it."""
    limit.adapted_at = 0.0
    limit.gaps.extend([gap_s] * MIN_GAPS)
    limit.first_token_waits.extend(first_token_waits)
    running = limit.value if running is None else running
    return limit.adapt(TARGETS, unloaded_gap_s=unloaded_gap_s, running=running)


@pytest.fixture
def limit():
    """Return a limit of 16 with a lower bound of 2."""
    limit = AdaptiveLimit(1)
    limit.configure(lower_bound=2, upper_bound=16)
    return limit


class TestAdaptiveLimit:
    """Adjustments of the limit."""

    def test_starts_at_upper_bound(self, limit):
        """The limit starts at its upper bound."""
        assert limit.value == 16

    def test_falls_to_lower_bound(self, limit):
        """Slow tokens reduce the limit down to its lower bound."""
        for _ in range(40):
            adapt(limit, 0.1)
        assert limit.value == 2

    def test_rises_when_reached(self, limit):
        """Fast tokens raise a reached limit up to its upper bound."""
        for _ in range(40):
            adapt(limit, 0.1)
        for _ in range(40):
            adapt(limit, 0.02)
        assert limit.value == 16

    def test_does_not_rise_when_not_reached(self, limit):
        """A limit that is not reached does not rise."""
        adapt(limit, 0.1)
        before = limit.value
        adapt(limit, 0.02, running=1)
        assert limit.value == before

    def test_slow_when_unloaded(self, limit):
        """The limit stays if the upstream is as slow with few requests."""
        adapt(limit, 0.1, unloaded_gap_s=0.09)
        assert limit.value == 16

    def test_late_first_tokens(self, limit):
        """Late first tokens reduce the limit."""
        assert adapt(limit, 0.02, first_token_waits=[2.0] * 8)
        assert limit.value < 16

    def test_stretched_gaps(self, limit):
        """Single gaps stretched by another prompt don't reduce the limit."""
        limit.gaps.extend([0.02] * 10 + [0.5] * 8)
        adapt(limit, 0.02)
        assert limit.value == 16
