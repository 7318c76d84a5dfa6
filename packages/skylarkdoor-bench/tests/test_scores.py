"""Tests of the scores of a run."""

from collections import Counter

import pytest

from skylarkdoor_bench._load import LoadReport, Result
from skylarkdoor_bench._replies import Outcome, Reply
from skylarkdoor_bench._run import scaled_deployment
from skylarkdoor_bench._scores import min_prefill_words, percentiles, score_run
from skylarkdoor_bench._trace import Arrival
from skylarkdoor_bench._upstream_counts import UpstreamCounts

DEPLOYMENT = scaled_deployment("seed-exchange", "late-binding")


def result(customer: str, outcome: Outcome, *, attempts: int = 1) -> Result:
    """Return the result of a request with a prompt of 100 words."""
    arrival = Arrival(0.0, customer, "chat", False, 40, "leaf", 60, 5)
    return Result(arrival, Reply(outcome), 0.0, 0.5, None, (), attempts)


def counts(**changes: object) -> UpstreamCounts:
    """Return upstream counts without double executions."""
    return UpstreamCounts(200, 0, 30, Counter(a=1, b=1), Counter())._replace(**changes)


RESULTS = [
    result("packet-desk", Outcome.ANSWERED),
    result("packet-desk", Outcome.LATE),
    result("packet-desk", Outcome.EXPIRED),
    result("reply-desk", Outcome.REFUSED, attempts=3),
    result("reply-desk", Outcome.CUT),
]
REPORT = LoadReport(RESULTS, seconds=2.0, max_loop_lag_s=0.0, cpu_share=0.1)


class TestScoreRun:
    """Tests of `score_run`."""

    def test_tiers(self) -> None:
        """Outcomes are counted by tier; only answers in time count as goodput."""
        tiers = {tier.tier: tier for tier in score_run(DEPLOYMENT, REPORT, counts())[0]}
        lookup, reply = tiers["lookup"], tiers["reply"]
        assert (lookup.sent, lookup.answered, lookup.expired) == (3, 1, 2)
        assert lookup.goodput == pytest.approx(1 / 3)
        assert lookup.goodput_per_s == 0.5
        assert (reply.refused, reply.broken, reply.goodput) == (1, 1, 0.0)

    def test_prefill(self) -> None:
        """Repeated prefill is what is neither wasted nor needed for the answers."""
        score = score_run(DEPLOYMENT, REPORT, counts())
        assert score.wasted_prefill == 30
        assert score.repeated_prefill == 200 - 30 - (40 + 40 + 60)

    def test_double_dispatches(self) -> None:
        """Request ids and keys that were executed more than once are counted."""
        twice = counts(executions=Counter(a=2, b=1), keyed_runs=Counter(k=3))
        assert score_run(DEPLOYMENT, REPORT, twice).double_dispatches == 2

    def test_resends(self) -> None:
        """Attempts after the first are counted."""
        assert score_run(DEPLOYMENT, REPORT, counts()).resends == 2


class TestPercentiles:
    """Tests of `percentiles`."""

    def test_values(self) -> None:
        """The percentiles are accurate to the histogram's precision."""
        found = percentiles([index / 1000 for index in range(1, 101)])
        assert found.samples == 100
        assert found.p50_ms == pytest.approx(50, rel=0.02)
        assert found.p95_ms == pytest.approx(95, rel=0.02)

    def test_none(self) -> None:
        """Without values the percentiles are zero."""
        assert percentiles([]) == (0, 0.0, 0.0)


class TestMinPrefillWords:
    """Tests of `min_prefill_words`."""

    def test_shared_prefix(self) -> None:
        """A shared prefix is counted once for all its requests."""
        arrivals = [
            Arrival(0.0, "reply-desk", "chat", False, 10, "leaf", 100, 5),
            Arrival(0.0, "reply-desk", "chat", False, 20, "leaf", 100, 5),
            Arrival(0.0, "reply-desk", "chat", False, 30, "root", 50, 5),
        ]
        assert min_prefill_words(arrivals) == 10 + 20 + 30 + 100 + 50
