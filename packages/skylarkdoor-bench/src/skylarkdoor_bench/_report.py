"""Formats the results of the benchmark as tables and JSON files."""

import json
import statistics
from collections import defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from skylarkdoor_bench._run import DURATION_S, TIME_SCALE, Case, RunResult
from skylarkdoor_bench._scores import TierScore


class Spread(NamedTuple):
    """Median, minimum and maximum over several runs."""

    median: float
    least: float
    most: float


class TierSummary(NamedTuple):
    """Scores of one tier over several runs."""

    tier: str
    sent: Spread
    goodput: Spread
    goodput_per_s: Spread
    refused: Spread
    expired: Spread
    broken: Spread
    first_token_p50_ms: Spread
    first_token_p95_ms: Spread
    inter_token_p50_ms: Spread
    inter_token_p95_ms: Spread
    whole_p95_ms: Spread


class Summary(NamedTuple):
    """Scores over the runs that differ only in the seed."""

    deployment: str
    policy: str
    load: float
    seeds: tuple[int, ...]
    goodput: Spread
    wasted_prefill_share: Spread
    repeated_prefill_share: Spread
    inversions: int
    double_dispatches: int
    tiers: tuple[TierSummary, ...]


def summarise(results: Sequence[RunResult]) -> list[Summary]:
    """Return a summary over the seeds for each deployment, policy and load."""
    groups: dict[Case, list[RunResult]] = defaultdict(list)
    for result in results:
        groups[result.case._replace(seed=0)].append(result)
    return [_summarise_group(case, runs) for case, runs in groups.items()]


def write_results(path: Path, results: Sequence[RunResult]) -> None:
    """Write every run and the summaries as JSON."""
    document = {
        "duration_s": DURATION_S,
        "time_scale": TIME_SCALE,
        "runs": [to_json(result) for result in results],
        "summary": [to_json(summary) for summary in summarise(results)],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(f"{json.dumps(document, indent=1)}\n")


def to_json(value: Any) -> Any:
    """Return a record as JSON-compatible values, with rounded floats."""
    if hasattr(value, "_asdict"):
        return {name: to_json(item) for name, item in value._asdict().items()}
    if isinstance(value, dict):
        return {name: to_json(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_json(item) for item in value]
    return round(value, 4) if isinstance(value, float) else value


def format_summary(results: Sequence[RunResult]) -> str:
    """Return a table with a line for each tier of each policy and load."""
    lines = [_HEADER]
    for summary in summarise(results):
        lines.append(_format_head(summary))
        lines += [_format_tier(tier) for tier in summary.tiers]
    return "\n".join(lines)


def format_faults(results: Sequence[RunResult]) -> str:
    """Return a line with the number of faults in each run that has any."""
    parts = [
        f"{len(result.faults)} in {' '.join(str(part) for part in result.case)}"
        for result in results
        if result.faults
    ]
    return f"faults: {'; '.join(parts)}"


_HEADER = (
    f"{'tier':<8} {'sent':>5}  {'goodput (least-most)':<21} {'/s':>6}  "
    f"{'refused':>7} {'expired':>7} {'broken':>6}  "
    f"{'first p50/p95 ms':>17}  {'inter p50/p95 ms':>17}  {'whole p95 ms':>12}"
)


def _format_head(summary: Summary) -> str:
    seeds = ",".join(str(seed) for seed in summary.seeds)
    return (
        f"\n{summary.deployment} {summary.policy} load {summary.load} seeds {seeds}: "
        f"goodput {_format_spread(summary.goodput)}, "
        f"prefill wasted {summary.wasted_prefill_share.median:.1%} "
        f"repeated {summary.repeated_prefill_share.median:.1%}, "
        f"inversions {summary.inversions}, double {summary.double_dispatches}"
    )


def _format_tier(tier: TierSummary) -> str:
    first = f"{tier.first_token_p50_ms.median:.0f}/{tier.first_token_p95_ms.median:.0f}"
    inter = f"{tier.inter_token_p50_ms.median:.1f}/{tier.inter_token_p95_ms.median:.1f}"
    return (
        f"{tier.tier:<8} {tier.sent.median:>5.0f}  "
        f"{_format_spread(tier.goodput):<21} {tier.goodput_per_s.median:>6.1f}  "
        f"{tier.refused.median:>7.0f} {tier.expired.median:>7.0f} "
        f"{tier.broken.median:>6.0f}  {first:>17}  {inter:>17}  "
        f"{tier.whole_p95_ms.median:>12.0f}"
    )


def _format_spread(spread: Spread) -> str:
    return f"{spread.median:.3f} ({spread.least:.3f}-{spread.most:.3f})"


def _summarise_group(case: Case, runs: Sequence[RunResult]) -> Summary:
    scores = [run.score for run in runs]
    tiers = zip(*(score.tiers for score in scores), strict=True)
    return Summary(
        deployment=case.deployment,
        policy=case.policy,
        load=case.load,
        seeds=tuple(run.case.seed for run in runs),
        goodput=_spread([score.goodput for score in scores]),
        wasted_prefill_share=_spread(
            [_share(score.wasted_prefill, score.prefill_computed) for score in scores]
        ),
        repeated_prefill_share=_spread(
            [_share(score.repeated_prefill, score.prefill_computed) for score in scores]
        ),
        inversions=sum(score.inversions for score in scores),
        double_dispatches=sum(score.double_dispatches for score in scores),
        tiers=tuple(_summarise_tier(tier) for tier in tiers),
    )


def _summarise_tier(tiers: Sequence[TierScore]) -> TierSummary:
    def spread(value: Callable[[TierScore], float]) -> Spread:
        return _spread([value(tier) for tier in tiers])

    return TierSummary(
        tier=tiers[0].tier,
        sent=spread(lambda tier: tier.sent),
        goodput=spread(lambda tier: tier.goodput),
        goodput_per_s=spread(lambda tier: tier.goodput_per_s),
        refused=spread(lambda tier: tier.refused),
        expired=spread(lambda tier: tier.expired),
        broken=spread(lambda tier: tier.broken),
        first_token_p50_ms=spread(lambda tier: tier.first_token.p50_ms),
        first_token_p95_ms=spread(lambda tier: tier.first_token.p95_ms),
        inter_token_p50_ms=spread(lambda tier: tier.inter_token.p50_ms),
        inter_token_p95_ms=spread(lambda tier: tier.inter_token.p95_ms),
        whole_p95_ms=spread(lambda tier: tier.whole.p95_ms),
    )


def _spread(values: Sequence[float]) -> Spread:
    return Spread(statistics.median(values), min(values), max(values))


def _share(part: int, whole: int) -> float:
    return part / whole if whole else 0.0
