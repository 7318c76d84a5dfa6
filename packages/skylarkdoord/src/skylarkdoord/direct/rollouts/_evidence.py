"""Counts how the versions of a service answer at one entry during a roll-out.

Answers load that shows in one class of requests only: answers are counted by route and
size of the prompt, so that a comparison of versions is not one of routes.
"""

import math
from collections.abc import Iterable

from skylarkdoord.direct.rollouts._model import Cell, CellCounts, Report, RolloutOrder

# Shortest duration that has a bucket of its own, in seconds. Bucket n ends at this
# duration times 2 to the power of n / 2, a growth by the factor sqrt(2).
MIN_DURATION_S = 0.001
BUCKETS_PER_DOUBLING = 2
# Highest bucket, which ends at 1,074 s and bounds the size of a report.
MAX_BUCKET = 40
# Most cells in a report; further routes are not counted.
MAX_CELLS = 128


def bucket_of(duration_s: float) -> int:
    """Return the bucket of a duration in seconds."""
    if duration_s <= MIN_DURATION_S:
        return 0
    doublings = math.log2(duration_s / MIN_DURATION_S)
    return min(MAX_BUCKET, math.ceil(doublings * BUCKETS_PER_DOUBLING))


class Running:
    """Requests of a service that run now, by version; they outlast orders.

    Attributes:
        counts: Number of requests by version and by whether they may run only once.
    """

    def __init__(self) -> None:
        self.counts: dict[tuple[str, bool], int] = {}

    def begin(self, version: str, *, is_once: bool) -> None:
        """Count a request that was sent to a version."""
        key = (version, is_once)
        self.counts[key] = self.counts.get(key, 0) + 1

    def end(self, version: str, *, is_once: bool) -> None:
        """Count the end of a request that `begin` counted."""
        key = (version, is_once)
        self.counts[key] = self.counts.get(key, 0) - 1
        if self.counts[key] <= 0:
            del self.counts[key]

    def other_than(self, version: str, *, once_only: bool = False) -> int:
        """Return how many requests run at other versions.

        Args:
            version: The version that does not count.
            once_only: Whether to count only requests that may run only once.
        """
        return sum(
            count
            for (other, is_once), count in self.counts.items()
            if other != version and (is_once or not once_only)
        )


class Evidence:
    """Evidence of one entry on one order.

    Args:
        order: The order.
        running: Requests of the service that run now, those from before the order
            included.

    Attributes:
        sent_old: Requests sent to other versions of the service since the order.
        sent_new: Requests sent to the new version.
    """

    def __init__(self, order: RolloutOrder, running: Running | None = None) -> None:
        self.order = order
        self.running = running or Running()
        self.sent_old = 0
        self.sent_new = 0
        self.cells: dict[Cell, _Counts] = {}
        self.prompts: dict[str, _Mean] = {}

    def on_sent(self, version: str) -> None:
        """Count a request that was sent to a version."""
        if version == self.order.version:
            self.sent_new += 1
        else:
            self.sent_old += 1

    def on_answer(
        self,
        route: str,
        prompt_tokens: int,
        version: str,
        duration_s: float,
        *,
        is_failure: bool = False,
    ) -> None:
        """Count an answer, or a failure of the version.

        Args:
            route: Name of the route.
            prompt_tokens: Size of the prompt, in tokens or in any other one unit.
            version: Version of the upstream.
            duration_s: For a stream the longer of the time to the first byte and the
                longest pause between events, else the total time, in seconds.
            is_failure: Whether it is a server error, an answer that broke off or a
                first-byte timeout.
        """
        if route not in self.prompts and len(self.prompts) >= MAX_CELLS // 4:
            return
        mean = self.prompts.setdefault(route, _Mean())
        is_large = mean.count > 0 and prompt_tokens > mean.value
        mean.add(prompt_tokens)
        cell = Cell(route, is_large, version == self.order.version)
        self.cells.setdefault(cell, _Counts()).add(duration_s, is_failure)

    def report(self) -> Report:
        """Return what was counted since the order."""
        version = self.order.version
        return Report(
            order=self.order,
            sent_old=self.sent_old,
            sent_new=self.sent_new,
            running_old=self.running.other_than(version),
            running_old_once=self.running.other_than(version, once_only=True),
            cells={cell: counts.frozen() for cell, counts in self.cells.items()},
        )


class _Mean:
    """A running mean."""

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, value: float) -> None:
        """Take a value into the mean."""
        self.count += 1
        self.value += (value - self.value) / self.count


class _Counts:
    """Counts of a cell that grow."""

    def __init__(self) -> None:
        self.answers = 0
        self.failures = 0
        self.durations: dict[int, int] = {}

    def add(self, duration_s: float, is_failure: bool) -> None:
        """Count an answer; the duration of a failure tells nothing and is left out."""
        self.answers += 1
        if is_failure:
            self.failures += 1
            return
        bucket = bucket_of(duration_s)
        self.durations[bucket] = self.durations.get(bucket, 0) + 1

    def frozen(self) -> CellCounts:
        """Return a copy."""
        return CellCounts(self.answers, self.failures, dict(self.durations))


def sum_reports(
    order: RolloutOrder, reports: Iterable[Report], gone: Iterable[Report] = ()
) -> Report:
    """Return the sum of the reports on an order; those on other orders are left out.

    Args:
        order: The order.
        reports: Latest reports of the live entries. Give an empty report for a live
            entry that sent none: it has not heard of any decision.
        gone: Last reports of earlier incarnations and of entries that are not live.
            What they ran has ended.
    """
    live = [report for report in reports if report.order == order]
    former = [report for report in gone if report.order == order]
    cells: dict[Cell, CellCounts] = {}
    for report in live + former:
        for cell, counts in report.cells.items():
            cells[cell] = _sum_counts(cells.get(cell, CellCounts()), counts)
    term, step = min(((report.term, report.step) for report in live), default=(0, 0))
    return Report(
        order=order,
        sent_old=sum(report.sent_old for report in live + former),
        sent_new=sum(report.sent_new for report in live + former),
        running_old=sum(report.running_old for report in live),
        running_old_once=sum(report.running_old_once for report in live),
        cells=cells,
        term=term,
        step=step,
    )


def _sum_counts(first: CellCounts, second: CellCounts) -> CellCounts:
    durations = dict(first.durations)
    for bucket, count in second.durations.items():
        durations[bucket] = durations.get(bucket, 0) + count
    return CellCounts(
        first.answers + second.answers, first.failures + second.failures, durations
    )
