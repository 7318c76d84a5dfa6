"""Computes the scores of one run, for each tier and for the whole deployment."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from skylarkdoor_bench._deployments import Deployment
from skylarkdoor_bench._inversions import count_inversions
from skylarkdoor_bench._load import LoadReport, Result
from skylarkdoor_bench._replies import Outcome
from skylarkdoor_bench._tiers import customer_tiers
from skylarkdoor_bench._trace import Arrival
from skylarkdoor_bench._upstream_counts import UpstreamCounts

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_US_PER_MS = 1_000


class Percentiles(NamedTuple):
    """Percentiles in milliseconds; zero without samples."""

    samples: int
    p50_ms: float
    p95_ms: float


class TierScore(NamedTuple):
    """Scores of one tier.

    Attributes:
        tier: Name of the tier.
        rank: Rank of the tier.
        sent: Number of requests sent.
        answered: Requests answered completely, correctly and within the deadline.
        refused: Requests not executed for a reason other than the deadline.
        expired: Requests abandoned because of the deadline, or answered after it.
        broken: Requests cut, or with an unknown outcome.
        wrong: Requests with another request's answer, or with an unexpected error.
        goodput: Answered requests as a share of those sent.
        goodput_per_s: Answered requests per second.
        first_token: Time to the first token of streams.
        inter_token: Time between the tokens of streams.
        whole: Time to the end of answers that are not streamed.
    """

    tier: str
    rank: int
    sent: int
    answered: int
    refused: int
    expired: int
    broken: int
    wrong: int
    goodput: float
    goodput_per_s: float
    first_token: Percentiles
    inter_token: Percentiles
    whole: Percentiles


class RunScore(NamedTuple):
    """Scores of a whole run.

    Attributes:
        tiers: Scores of each tier, the most important tier first.
        goodput: Share of all requests that were answered completely, correctly and
            within the deadline.
        prefill_computed: Prompt tokens that the engines computed.
        wasted_prefill: Computed tokens of requests that were cancelled later.
        repeated_prefill: Computed tokens beyond the wasted ones and the minimum for
            the answers given. The minimum computes each shared prefix once in the
            whole deployment.
        inversions: Refusals that violated the tier order, as callers saw them.
        double_dispatches: Requests or idempotency keys that were executed more than
            once.
        resends: Attempts after the first attempt of each request.
        codes: Number of requests whose last reply has an error code, by code.
    """

    tiers: tuple[TierScore, ...]
    goodput: float
    prefill_computed: int
    wasted_prefill: int
    repeated_prefill: int
    inversions: int
    double_dispatches: int
    resends: int
    codes: dict[str, int]


def score_run(
    deployment: Deployment, report: LoadReport, counts: UpstreamCounts
) -> RunScore:
    """Return the scores of a run."""
    results = report.results
    needed = min_prefill_words(
        item.arrival
        for item in results
        if item.reply.outcome in (Outcome.ANSWERED, Outcome.LATE)
    )
    computed, wasted = counts.prefill_computed, counts.prefill_wasted
    answered = sum(item.reply.outcome is Outcome.ANSWERED for item in results)
    return RunScore(
        tiers=_score_tiers(deployment, report),
        goodput=_share(answered, len(results)),
        prefill_computed=computed,
        wasted_prefill=wasted,
        repeated_prefill=max(0, computed - wasted - needed),
        inversions=count_inversions(deployment, results),
        double_dispatches=counts.double_dispatches,
        resends=sum(item.attempts - 1 for item in results),
        codes=Counter(item.reply.code for item in results if item.reply.code),
    )


def min_prefill_words(arrivals: Iterable[Arrival]) -> int:
    """Return the minimum number of prompt words to compute for requests.

    Each shared prefix is counted once.
    """
    own_words = 0
    prefixes: dict[str, int] = {}
    for arrival in arrivals:
        own_words += arrival.prompt_words
        prefixes[arrival.prefix] = arrival.prefix_words
    return own_words + sum(prefixes.values())


def percentiles(values_s: Sequence[float]) -> Percentiles:
    """Return the percentiles of times given in seconds."""
    if not values_s:
        return Percentiles(0, 0.0, 0.0)
    histogram = HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for value in values_s:
        histogram.record_value(max(_MIN_LATENCY_US, round(value * _US_PER_S)))
    p50, p95 = (
        histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in (50, 95)
    )
    return Percentiles(len(values_s), p50, p95)


def _score_tiers(deployment: Deployment, report: LoadReport) -> tuple[TierScore, ...]:
    tiers_by_customer = customer_tiers(deployment)
    by_tier: dict[str, list[Result]] = defaultdict(list)
    for item in report.results:
        by_tier[tiers_by_customer[item.arrival.customer]].append(item)
    tiers = deployment.fleet.tiers
    names = sorted(tiers, key=lambda name: tiers[name].rank)
    return tuple(
        _score_tier(name, tiers[name].rank, by_tier[name], report.seconds)
        for name in names
    )


def _score_tier(
    name: str, rank: int, items: Sequence[Result], seconds: float
) -> TierScore:
    ended = Counter(item.reply.outcome for item in items)
    answered = [item for item in items if item.reply.outcome is Outcome.ANSWERED]
    firsts = [item.first_token_s for item in answered if item.first_token_s is not None]
    gaps = [gap for item in answered for gap in item.gaps_s]
    wholes = [
        item.ended_s - item.sent_s for item in answered if not item.arrival.stream
    ]
    return TierScore(
        tier=name,
        rank=rank,
        sent=len(items),
        answered=len(answered),
        refused=ended[Outcome.REFUSED],
        expired=ended[Outcome.EXPIRED] + ended[Outcome.LATE],
        broken=ended[Outcome.CUT] + ended[Outcome.UNKNOWN],
        wrong=ended[Outcome.WRONG] + ended[Outcome.ERROR],
        goodput=_share(len(answered), len(items)),
        goodput_per_s=len(answered) / seconds,
        first_token=percentiles(firsts),
        inter_token=percentiles(gaps),
        whole=percentiles(wholes),
    )


def _share(part: int, whole: int) -> float:
    return part / whole if whole else 0.0
