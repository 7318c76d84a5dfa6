"""Compares the answers of two versions.

Answers a new version that fails or slows down for part of its answers, of all routes
or of one, while the old version may fail at times as well.
"""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from skylarkdoord.direct.rollouts._model import (
    Cell,
    CellCounts,
    Outcome,
    Recent,
    Report,
    Verdict,
)

# Answers of the new version from which on it may be called good.
MIN_GOOD_ANSWERS = 50
# The same once half of the order's duration is over and no more have come.
MIN_LATE_GOOD_ANSWERS = 5
# Fewest answers of a version, of one route or of all, that are compared.
MIN_ANSWERS = 8
# Difference between the shares of failures that callers don't notice.
MAX_FAILURE_EXCESS = 0.05
# Share of them that makes a version bad if there is no old one to compare it with.
MAX_SPOILT_SHARE_ALONE = 0.5
# Counts are whole numbers, which the normal distribution is not.
CONTINUITY_CORRECTION = 0.5
# Quantile of the old version's durations with which the new one's are compared.
SLOW_QUANTILE = 0.9
# Buckets above that of the quantile from which on an answer is slow. The second one
# begins at 1.4 to 2.0 times the quantile, the third one at 2.0 to 2.8 times.
SLOW_BUCKETS = 2
VERY_SLOW_BUCKETS = 3
# Difference between the shares of slow answers that callers don't notice, as some
# upstreams slow down at times.
MAX_SLOW_EXCESS = 0.1
# Share of very slow answers that callers don't notice, whatever the old version's.
MAX_VERY_SLOW_SHARE = 0.15
# Share of the old version's answers that are slow in a stall of all upstreams. One of
# several upstreams that slows down delays fewer.
MIN_STALLED_SHARE = 0.2


class Threshold(NamedTuple):
    """What it takes to hold answers against a version.

    Attributes:
        standard_errors: Standard errors beyond which a difference is not chance.
        failures: Fewest failures.
        slow: Fewest slow answers. An upstream that stalls once for 0.6 s delays 3 to 6.
    """

    standard_errors: float
    failures: int
    slow: int


# Proof that a version is bad. Evidence is judged several times a second, and with 3.0
# standard errors noise alone reverted 3 of 150 good versions.
PROOF = Threshold(standard_errors=3.5, failures=5, slow=6)
# Doubt by recent answers, which delays the call that a version is good. Without it, a
# version that became bad just before the handover got more than its exposure.
DOUBT = Threshold(standard_errors=2.0, failures=3, slow=3)


class Tally(NamedTuple):
    """Answers of one route at both versions, and those of them that are spoilt.

    Attributes:
        old: Answers of the old version.
        old_spoilt: Those that failed, or that are slow.
        new: Answers of the new version.
        new_spoilt: Those that failed, or that are slow.
    """

    old: int = 0
    old_spoilt: int = 0
    new: int = 0
    new_spoilt: int = 0

    def __add__(self, other: object) -> "Tally":
        """Return the sum of two tallies."""
        if not isinstance(other, Tally):
            return NotImplemented
        return Tally(*(map(sum, zip(self, other, strict=True))))


class RouteTallies(NamedTuple):
    """What is compared on a route.

    Attributes:
        failures: Answers that failed.
        slow: Answers that are slow.
        very_slow: Answers that are very slow.
    """

    failures: Tally
    slow: Tally
    very_slow: Tally


def judge(
    report: Report,
    recent: Recent | None = None,
    *,
    min_answers: int = MIN_GOOD_ANSWERS,
) -> Verdict:
    """Return whether the new version is good or bad, or that it can't be told yet.

    Args:
        report: Evidence on an order, summed over the entries.
        recent: The recent part of it, of `EvidenceHistory`; None to judge all only.
        min_answers: Answers of the new version from which on it may be called good.
    """
    reason = _proof(report, recent)
    if reason:
        return Verdict(Outcome.BAD, reason)
    if recent is not None:
        doubt = _reason_against_recent(report, recent.report, DOUBT)
        if doubt:
            return Verdict(Outcome.UNDECIDED, f"in doubt: {doubt}")
    total = _total(_failures_of(report, route) for route in _routes_of(report))
    answers = f"{total.new} answers, {total.new_spoilt} failures"
    if total.new >= min_answers:
        return Verdict(Outcome.GOOD, answers)
    return Verdict(Outcome.UNDECIDED, f"{answers}, of {min_answers} needed")


def count_slow(report: Report, part: Report) -> int:
    """Return how many answers of the new version are slow in a part of a report."""
    return _slow_in(report, part).new_spoilt


def may_be_stall(report: Report, part: Report) -> bool:
    """Return whether a stall of all upstreams may have delayed a part of the answers.

    It delays those of both versions. In the handover, hardly any of the old one are
    left to tell.
    """
    slow = _slow_in(report, part)
    return slow.old < slow.new or slow.old_spoilt > MIN_STALLED_SHARE * slow.old


def _slow_in(report: Report, part: Report) -> Tally:
    """Return the slow answers in a part of a report."""
    slow = Tally()
    for route in _routes_of(part):
        limits = _slow_quantiles(report, route)
        for (old, new), quantile in zip(_cells_of(part, route), limits, strict=True):
            if quantile is not None:
                slow += _slower(old, new, quantile + SLOW_BUCKETS)
    return slow


def _proof(report: Report, recent: Recent | None) -> str:
    """Return what proves that the new version is bad; empty if nothing does.

    The worst moment's slow answers don't count: a stall that delays all answers of a
    moment says nothing about a version.
    """
    if recent is None:
        return _reason_against_all(report, PROOF)
    steady = _without_durations(report, recent.worst_moment_of_all)
    reason = _reason_against_all(steady, PROOF)
    if reason:
        return reason
    steady_recent = _without_durations(recent.report, recent.worst_moment)
    return _reason_against_recent(report, steady_recent, PROOF)


def _without_durations(report: Report, part: Report | None) -> Report:
    """Return a report without a part's durations of the new version's answers."""
    if part is None:
        return report
    cells = dict(report.cells)
    for cell, counts in part.cells.items():
        if cell.is_new and cell in cells:
            durations = Counter(cells[cell].durations) - Counter(counts.durations)
            cells[cell] = cells[cell]._replace(durations=durations)
    return report._replace(cells=cells)


def _routes_of(report: Report) -> list[str]:
    return sorted({cell.route for cell in report.cells})


def _reason_against_all(report: Report, threshold: Threshold) -> str:
    """Return why the new version is bad by a report; empty if it isn't."""
    tallies = {route: _tallies_of(report, route) for route in _routes_of(report)}
    subjects = {"the service": list(tallies.values())}
    subjects |= {f"route {route}": [tally] for route, tally in tallies.items()}
    reasons = (
        _reason_against(name, routes, threshold) for name, routes in subjects.items()
    )
    return next((reason for reason in reasons if reason), "")


def _reason_against_recent(report: Report, recent: Report, threshold: Threshold) -> str:
    """Return why the new version is bad by its recent answers; empty if it isn't.

    They are compared with the recent answers of the old version, as both may suffer at
    times, and with all of those, as the recent ones are few.
    """
    reason = _reason_against_all(recent, threshold)
    if not reason:
        return ""
    new = {cell: counts for cell, counts in recent.cells.items() if cell.is_new}
    old = {cell: counts for cell, counts in report.cells.items() if not cell.is_new}
    return _reason_against_all(report._replace(cells=old | new), threshold) and reason


def _reason_against(name: str, routes: list[RouteTallies], threshold: Threshold) -> str:
    """Return why the new version is bad on some routes; empty if it isn't."""
    failures = [route.failures for route in routes]
    if _is_worse(failures, threshold.failures, MAX_FAILURE_EXCESS, threshold):
        return f"failures of {name}: {_figures(failures)}"
    slow = [route.slow for route in routes]
    if _is_worse(slow, threshold.slow, MAX_SLOW_EXCESS, threshold):
        return f"slow answers of {name}: {_figures(slow)}"
    very_slow = [route.very_slow for route in routes]
    if _is_above(_total(very_slow), MAX_VERY_SLOW_SHARE, threshold):
        return f"very slow answers of {name}: {_figures(very_slow)}"
    return ""


def _is_worse(
    tallies: list[Tally], min_spoilt: int, max_excess: float, threshold: Threshold
) -> bool:
    """Return whether more answers of the new version are spoilt than of the old one.

    Each route is compared with itself, so that it doesn't matter how many of the
    answers of either version are of a route that fails more often anyway.
    """
    total = _total(tallies)
    if total.new < MIN_ANSWERS or total.new_spoilt < min_spoilt:
        return False
    compared = [tally for tally in tallies if tally.old >= MIN_ANSWERS]
    if not compared:
        return total.new_spoilt > MAX_SPOILT_SHARE_ALONE * total.new
    new = sum(tally.new for tally in compared)
    if new < MIN_ANSWERS:
        return False
    excess = variance = 0.0
    for tally in compared:
        excess += tally.new_spoilt - tally.new * tally.old_spoilt / tally.old
        share = (tally.new_spoilt + tally.old_spoilt) / (tally.new + tally.old)
        variance += share * (1 - share) * tally.new * (1 + tally.new / tally.old)
    chance = threshold.standard_errors * math.sqrt(variance) + CONTINUITY_CORRECTION
    return excess > max(max_excess * new, chance)


def _is_above(tally: Tally, max_share: float, threshold: Threshold) -> bool:
    """Return whether more than a share of the new version's answers are spoilt."""
    if tally.new < MIN_ANSWERS:
        return False
    error = math.sqrt(max_share * (1 - max_share) / tally.new)
    return tally.new_spoilt / tally.new > max_share + threshold.standard_errors * error


def _total(tallies: Iterable[Tally]) -> Tally:
    return sum(tallies, Tally())


def _figures(tallies: list[Tally]) -> str:
    total = _total(tallies)
    return (
        f"{total.new_spoilt} of {total.new},"
        f" {total.old_spoilt} of {total.old} of the old version"
    )


def _tallies_of(report: Report, route: str) -> RouteTallies:
    """Return what is compared on a route."""
    slow = very_slow = Tally()
    quantiles = _slow_quantiles(report, route)
    for (old, new), quantile in zip(_cells_of(report, route), quantiles, strict=True):
        if quantile is not None:
            slow += _slower(old, new, quantile + SLOW_BUCKETS)
            very_slow += _slower(old, new, quantile + VERY_SLOW_BUCKETS)
    return RouteTallies(_failures_of(report, route), slow, very_slow)


def _failures_of(report: Report, route: str) -> Tally:
    """Return the answers of a route and those that failed."""
    return _total(
        Tally(old.answers, old.failures, new.answers, new.failures)
        for old, new in _cells_of(report, route)
    )


def _cells_of(report: Report, route: str) -> list[tuple[CellCounts, CellCounts]]:
    """Return the counts of the old and the new version, by size of the prompts."""
    return [
        (
            report.cells.get(Cell(route, is_large, False), CellCounts()),
            report.cells.get(Cell(route, is_large, True), CellCounts()),
        )
        for is_large in (False, True)
    ]


def _slower(old: CellCounts, new: CellCounts, limit: int) -> Tally:
    """Return how many answers are in a bucket or a higher one."""
    return Tally(
        sum(old.durations.values()),
        sum(count for bucket, count in old.durations.items() if bucket >= limit),
        sum(new.durations.values()),
        sum(count for bucket, count in new.durations.items() if bucket >= limit),
    )


def _slow_quantiles(report: Report, route: str) -> list[int | None]:
    """Return the buckets of the slow quantiles of a route, by size of the prompts."""
    quantiles = (_quantile_bucket(old) for old, _ in _cells_of(report, route))
    return [
        _route_quantile(report, route) if quantile is None else quantile
        for quantile in quantiles
    ]


def _route_quantile(report: Report, route: str) -> int | None:
    """Return the bucket of the slow quantile of a route, for prompts of all sizes."""
    durations: Counter[int] = Counter()
    for cell, counts in report.cells.items():
        if cell.route == route and not cell.is_new:
            durations.update(counts.durations)
    return _quantile_bucket(CellCounts(durations=durations))


def _quantile_bucket(counts: CellCounts) -> int | None:
    """Return the bucket of the slow quantile; None if there are too few answers."""
    total = sum(counts.durations.values())
    if total < MIN_ANSWERS:
        return None
    reached = 0
    for bucket in sorted(counts.durations):
        reached += counts.durations[bucket]
        if reached >= SLOW_QUANTILE * total:
            break
    return bucket
