"""Compares the answers of two versions.

Answers a new version that fails or slows down for part of its answers, of all routes
or of one, while the old version may fail at times as well.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from skylarkdoord.direct.rollouts._model import (
    Cell,
    CellCounts,
    Outcome,
    Report,
    Verdict,
)

# Answers of the new version from which on it may be called good.
MIN_GOOD_ANSWERS = 50
# The same once half of the order's duration is over and no more have come.
MIN_LATE_GOOD_ANSWERS = 5
# Fewest answers of a version, of one route or of all, that are compared.
MIN_ANSWERS = 8
# Fewest failures that make a version bad.
MIN_FAILURES = 5
# Difference between the shares of failures that callers don't notice.
MAX_FAILURE_EXCESS = 0.05
# Share of failures that makes a version bad if there is no old one to compare it with.
MAX_FAILURE_SHARE_ALONE = 0.5
# Standard errors beyond which a difference is not chance.
STANDARD_ERRORS = 3.0
# Quantile of the old version's durations with which the new one's are compared.
SLOW_QUANTILE = 0.9
# Buckets above that of the quantile from which on an answer is slow. The third one
# begins at 2.0 to 2.8 times the quantile, 2.4 times on average.
SLOW_BUCKETS = 3
# Share of slow answers that callers don't notice, as some upstreams slow down at times.
MAX_SLOW_SHARE = 0.15


class Counts(NamedTuple):
    """Answers of both versions, of one route or of all.

    Attributes:
        name: What was counted.
        old: Answers of the old version.
        old_failures: Failures among them.
        new: Answers of the new version.
        new_failures: Failures among them.
        new_timed: Answers of the new version that have an old one to compare with.
        new_slow: Slow answers among them.
    """

    name: str
    old: int
    old_failures: int
    new: int
    new_failures: int
    new_timed: int
    new_slow: int


def judge(report: Report, *, min_answers: int = MIN_GOOD_ANSWERS) -> Verdict:
    """Return whether the new version is good or bad, or that it can't be told yet.

    Args:
        report: Evidence on an order, summed over the entries.
        min_answers: Answers of the new version from which on it may be called good.
    """
    routes = sorted({cell.route for cell in report.cells})
    by_route = [_counts_of(report, f"route {route}", [route]) for route in routes]
    service = _counts_of(report, "the service", routes)
    for counts in [service, *by_route]:
        reason = _reason_against(counts)
        if reason:
            return Verdict(Outcome.BAD, reason)
    answers = f"{service.new} answers, {service.new_failures} failures"
    if service.new >= min_answers:
        return Verdict(Outcome.GOOD, answers)
    return Verdict(Outcome.UNDECIDED, f"{answers}, of {min_answers} needed")


def _reason_against(counts: Counts) -> str:
    """Return why the new version is bad; empty if it isn't."""
    if counts.new < MIN_ANSWERS:
        return ""
    if _has_more_failures(counts):
        return (
            f"{counts.new_failures} failures in {counts.new} answers of {counts.name},"
            f" {counts.old_failures} in {counts.old} of the old version"
        )
    if _is_slow(counts):
        return (
            f"{counts.new_slow} of {counts.new_timed} answers of {counts.name} are"
            " several times slower than the old version's"
        )
    return ""


def _has_more_failures(counts: Counts) -> bool:
    """Return whether the new version fails more often than the old one."""
    if counts.new_failures < MIN_FAILURES:
        return False
    new_share = counts.new_failures / counts.new
    if counts.old < MIN_ANSWERS:
        return new_share > MAX_FAILURE_SHARE_ALONE
    excess = new_share - counts.old_failures / counts.old
    pooled = (counts.new_failures + counts.old_failures) / (counts.new + counts.old)
    error = math.sqrt(pooled * (1 - pooled) * (1 / counts.new + 1 / counts.old))
    return excess > max(MAX_FAILURE_EXCESS, STANDARD_ERRORS * error)


def _is_slow(counts: Counts) -> bool:
    """Return whether too many answers of the new version are slow."""
    if counts.new_timed < MIN_ANSWERS:
        return False
    error = math.sqrt(MAX_SLOW_SHARE * (1 - MAX_SLOW_SHARE) / counts.new_timed)
    limit = MAX_SLOW_SHARE + STANDARD_ERRORS * error
    return counts.new_slow / counts.new_timed > limit


def _counts_of(report: Report, name: str, routes: list[str]) -> Counts:
    """Return the counts of some routes."""
    cells = report.cells
    old = [counts for cell, counts in cells.items() if _is_of(cell, routes, False)]
    new = [counts for cell, counts in cells.items() if _is_of(cell, routes, True)]
    timed = [_slow_answers(report, cell) for cell in cells if _is_of(cell, routes)]
    return Counts(
        name=name,
        old=sum(counts.answers for counts in old),
        old_failures=sum(counts.failures for counts in old),
        new=sum(counts.answers for counts in new),
        new_failures=sum(counts.failures for counts in new),
        new_timed=sum(count for count, _ in timed),
        new_slow=sum(slow for _, slow in timed),
    )


def _is_of(cell: Cell, routes: list[str], is_new: bool = True) -> bool:
    return cell.is_new == is_new and cell.route in routes


def _slow_answers(report: Report, cell: Cell) -> tuple[int, int]:
    """Return how many of a cell's answers have old ones to compare with, and are slow.

    Where the old version has too few answers in the cell, those of the route are taken.
    """
    durations = report.cells[cell].durations
    same = report.cells.get(cell._replace(is_new=False), CellCounts())
    quantile = _quantile_bucket([same])
    if quantile is None:
        quantile = _quantile_bucket(
            counts
            for other, counts in report.cells.items()
            if other.route == cell.route and not other.is_new
        )
    if quantile is None:
        return 0, 0
    slow = sum(
        count
        for bucket, count in durations.items()
        if bucket >= quantile + SLOW_BUCKETS
    )
    return sum(durations.values()), slow


def _quantile_bucket(cells: Iterable[CellCounts]) -> int | None:
    """Return the bucket of the slow quantile; None if there are too few answers."""
    durations: dict[int, int] = {}
    for counts in cells:
        for bucket, count in counts.durations.items():
            durations[bucket] = durations.get(bucket, 0) + count
    total = sum(durations.values())
    if total < MIN_ANSWERS:
        return None
    reached = 0
    for bucket in sorted(durations):
        reached += durations[bucket]
        if reached >= SLOW_QUANTILE * total:
            return bucket
    return None
