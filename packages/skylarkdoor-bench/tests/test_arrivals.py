"""Tests of generated arrivals."""

from collections import Counter
from pathlib import Path

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
from skylarkdoor_bench._trace import Arrival, read_trace

TRACES = Path(__file__).with_name("traces")
DURATION_S = 20.0
RATE = 60.0


@pytest.fixture(params=sorted(WORKLOADS))
def name(request: pytest.FixtureRequest) -> str:
    """Return the name of a workload, which is also its deployment's name."""
    return request.param


def arrivals(name: str, *, seed: int = 1) -> list[Arrival]:
    """Return the arrivals for a seed."""
    return generate(WORKLOADS[name], seed=seed, rate=RATE, duration_s=DURATION_S)


class TestGenerate:
    """Tests of `generate`."""

    def test_same_seed(self, name: str) -> None:
        """Equal seeds give equal arrivals, and different seeds different ones."""
        assert arrivals(name) == arrivals(name)
        assert arrivals(name) != arrivals(name, seed=2)

    def test_recorded(self, name: str) -> None:
        """The recorded trace equals the arrivals generated from its seed."""
        recorded = read_trace(TRACES / f"{name}.jsonl")
        again = generate(WORKLOADS[name], seed=1, rate=30.0, duration_s=2.0)
        assert recorded == again

    def test_rate(self, name: str) -> None:
        """The mean rate is as requested, and the rate is higher within the burst."""
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
        """The longest prompt is over a hundred times as long as the shortest."""
        words = [item.words for item in sample_mix(WORKLOADS[name]) if item.words]
        assert max(words) > 100 * min(words)

    def test_customers(self, name: str) -> None:
        """All customers send, at different rates and in all four tiers."""
        sent = Counter(item.customer for item in sample_mix(WORKLOADS[name]))
        tiers = customer_tiers(DEPLOYMENTS[name]())
        assert set(sent) == set(tiers)
        assert len({tiers[customer] for customer in sent}) == 4
        assert max(sent.values()) > 3 * min(sent.values())

    def test_keys(self, name: str) -> None:
        """Keys are unique, and every call that is not idempotent has one."""
        items = arrivals(name)
        keys = [item.key for item in items if item.key]
        assert len(keys) == len(set(keys))
        assert all(item.key for item in items if not item.idempotent)
        assert not all(item.idempotent for item in items)
