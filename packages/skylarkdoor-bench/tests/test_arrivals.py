"""Generated arrivals."""

from collections import Counter

import pytest

from skylarkdoor_bench._arrivals import (
    BURST_END_SHARE,
    BURST_START_SHARE,
    WORKLOADS,
    generate,
    sample_mix,
)
from skylarkdoor_bench._run import DEPLOYMENTS
from skylarkdoor_bench._tiers import customer_tiers
from skylarkdoor_bench._trace import Arrival

DURATION_S = 20.0
RATE = 60.0


@pytest.fixture(params=sorted(WORKLOADS))
def name(request: pytest.FixtureRequest) -> str:
    """Return the name of a workload and of its deployment."""
    return request.param


def arrivals(name: str, *, seed: int = 1) -> list[Arrival]:
    """Return the arrivals of one seed."""
    return generate(WORKLOADS[name], seed=seed, rate=RATE, duration_s=DURATION_S)


class TestGenerate:
    """Arrivals from a seed."""

    def test_same_seed(self, name: str) -> None:
        """The same seed gives the same arrivals, another seed others."""
        assert arrivals(name) == arrivals(name)
        assert arrivals(name) != arrivals(name, seed=2)

    def test_rate(self, name: str) -> None:
        """The mean rate is as asked for, and higher within the burst."""
        times = [arrival.at_s for arrival in arrivals(name)]
        assert len(times) == pytest.approx(RATE * DURATION_S, rel=0.1)
        burst = [
            at_s
            for at_s in times
            if BURST_START_SHARE <= at_s / DURATION_S < BURST_END_SHARE
        ]
        burst_s = (BURST_END_SHARE - BURST_START_SHARE) * DURATION_S
        assert len(burst) / burst_s > 1.5 * RATE

    def test_lengths(self, name: str) -> None:
        """Prompts differ over a hundredfold."""
        words = [item.words for item in sample_mix(WORKLOADS[name]) if item.words]
        assert max(words) > 100 * min(words)

    def test_customers(self, name: str) -> None:
        """Five customers of unlike size send in all four tiers."""
        sent = Counter(item.customer for item in sample_mix(WORKLOADS[name]))
        tiers = customer_tiers(DEPLOYMENTS[name]())
        assert set(sent) == set(tiers)
        assert len({tiers[customer] for customer in sent}) == 4
        assert max(sent.values()) > 3 * min(sent.values())

    def test_keys(self, name: str) -> None:
        """A key is borne once, and by each call that may not be repeated."""
        items = arrivals(name)
        keys = [item.key for item in items if item.key]
        assert len(keys) == len(set(keys))
        assert all(item.key for item in items if not item.idempotent)
        assert not all(item.idempotent for item in items)
