"""The adaptive limit of what runs inside the upstream."""

import pytest

from skylarkdoord.sidecar._limits import LEAST_GAPS, AdaptiveLimit, Targets

TARGETS = Targets(first_token_s=0.51, inter_token_s=0.028)


def adapt(limit, gap_s, *, alone_s=0.0, running=None, firsts=()):
    """Let the limit see some gaps and move."""
    limit.adapted_at = 0.0
    limit.gaps.extend([gap_s] * LEAST_GAPS)
    limit.firsts.extend(firsts)
    running = limit.value if running is None else running
    return limit.adapt(TARGETS, alone_s=alone_s, running=running)


@pytest.fixture
def limit():
    """Return a limit of 16 that may fall to 2."""
    limit = AdaptiveLimit(1)
    limit.configure(least=2, most=16)
    return limit


class TestAdaptiveLimit:
    """Moves of the limit."""

    def test_starts_at_most(self, limit):
        """It begins at the upper bound of the settings."""
        assert limit.value == 16

    def test_falls_to_least(self, limit):
        """Too slow tokens lower it, not below the lower bound."""
        for _ in range(40):
            adapt(limit, 0.1)
        assert limit.value == 2

    def test_rises_when_it_binds(self, limit):
        """Good times raise it again, up to the upper bound."""
        for _ in range(40):
            adapt(limit, 0.1)
        for _ in range(40):
            adapt(limit, 0.02)
        assert limit.value == 16

    def test_does_not_rise_unused(self, limit):
        """A limit that is not reached does not rise."""
        adapt(limit, 0.1)
        before = limit.value
        adapt(limit, 0.02, running=1)
        assert limit.value == before

    def test_slow_alone(self, limit):
        """An upstream that is as slow with few requests keeps its limit."""
        adapt(limit, 0.1, alone_s=0.09)
        assert limit.value == 16

    def test_late_first_tokens(self, limit):
        """First tokens that wait inside the upstream lower it."""
        assert adapt(limit, 0.02, firsts=[2.0] * 8)
        assert limit.value < 16

    def test_stretched_gaps(self, limit):
        """Single gaps stretched by another's prompt do not lower it."""
        limit.gaps.extend([0.02] * 10 + [0.5] * 8)
        adapt(limit, 0.02)
        assert limit.value == 16
