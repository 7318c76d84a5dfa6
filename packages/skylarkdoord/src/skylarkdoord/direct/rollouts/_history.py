"""Tells the recent evidence on a roll-out from all of it, and moments from the rest.

Answers a version that becomes bad later: its many good answers before would hide the
bad ones for seconds. Answers also a stall of the machine or the network, which delays
all answers of one moment, whatever the version.
"""

from collections import deque
from typing import NamedTuple

from skylarkdoord.direct.rollouts._evidence import sum_reports
from skylarkdoord.direct.rollouts._judgement import count_slow, may_be_stall
from skylarkdoord.direct.rollouts._model import Cell, CellCounts, Recent, Report

# Time that counts as recent, in seconds, and between two reports that are kept.
RECENT_S = 2.5
KEPT_INTERVAL_S = 0.2
# Longest moment, in seconds. The answers that a stall delays end together, but the
# entries report them at different times.
MOMENT_S = 0.8
# Recent answers of the old version below which all of its answers are taken.
MIN_OLD_ANSWERS = 50


class _Part(NamedTuple):
    """What some time added to the evidence.

    Attributes:
        ended_at: Monotonic time, in seconds.
        report: What the evidence gained.
        slow: Slow answers of the new version.
    """

    ended_at: float
    report: Report
    slow: int = 0


class EvidenceHistory:
    """Sums of reports on an order over the recent time.

    Attributes:
        kept: Reports with the monotonic time of each, oldest first.
        stalls: Gains between two of them that a stall may have delayed, of the moment
            that ends now.
        moments: Sums of these at recent times, oldest first; moments overlap.
        worst: The one since the order with the most slow answers; None before the
            first report.
    """

    def __init__(self) -> None:
        self.kept: deque[tuple[float, Report]] = deque()
        self.stalls: deque[_Part] = deque()
        self.moments: deque[_Part] = deque()
        self.worst: _Part | None = None

    def recent(self, report: Report, now_s: float) -> Recent:
        """Keep a sum of reports; return what it gained within the recent time.

        Args:
            report: Evidence on an order, summed over the entries.
            now_s: Monotonic time, in seconds.
        """
        if self.kept and self.kept[-1][1].order != report.order:
            self.clear()
        latest_at, latest = self.kept[-1] if self.kept else (now_s, report)
        gained = _Part(now_s, _gain(report, latest))
        is_stall = may_be_stall(report, gained.report)
        self.add_moment(report, now_s, [gained] if is_stall else [])
        if not self.kept or now_s - latest_at >= KEPT_INTERVAL_S:
            self.kept.append((now_s, report))
            if is_stall:
                self.stalls.append(gained)
        while len(self.kept) > 1 and self.kept[1][0] <= now_s - RECENT_S:
            self.kept.popleft()
        return Recent(
            _with_enough_old(report, _gain(report, self.kept[0][1])),
            worst_moment=max(self.moments, key=_slow_of).report,
            worst_moment_of_all=self.worst.report if self.worst else None,
        )

    def clear(self) -> None:
        """Forget the reports on another order."""
        self.kept.clear()
        self.stalls.clear()
        self.moments.clear()
        self.worst = None

    def add_moment(self, report: Report, now_s: float, latest: list[_Part]) -> None:
        """Keep what stalls may have delayed in the moment that ends now.

        Args:
            report: Evidence on an order, summed over the entries.
            now_s: Monotonic time, in seconds.
            latest: The gain since the last report that was kept, if it is such a one.
        """
        while self.stalls and self.stalls[0].ended_at <= now_s - MOMENT_S:
            self.stalls.popleft()
        parts = [part.report for part in (*self.stalls, *latest)]
        delayed = sum_reports(report.order, parts)
        moment = _Part(now_s, delayed, count_slow(report, delayed))
        self.moments.append(moment)
        while self.moments[0].ended_at < now_s - RECENT_S + MOMENT_S:
            self.moments.popleft()
        if self.worst is None or moment.slow > self.worst.slow:
            self.worst = moment


def _slow_of(part: _Part) -> int:
    return part.slow


def _gain(report: Report, earlier: Report) -> Report:
    """Return what a report gained over an earlier one."""
    gained = {
        cell: _gain_of_cell(counts, earlier.cells.get(cell, CellCounts()))
        for cell, counts in report.cells.items()
    }
    return report._replace(cells=gained)


def _with_enough_old(report: Report, gained: Report) -> Report:
    """Return what a report gained, with enough answers of the old version.

    Where that gained little, as in the handover, all of it is taken.
    """
    cells = dict(gained.cells)
    old_answers = sum(
        counts.answers for cell, counts in cells.items() if not cell.is_new
    )
    if old_answers < MIN_OLD_ANSWERS:
        cells |= {cell: report.cells[cell] for cell in cells if not cell.is_new}
    return report._replace(cells=_non_empty(cells))


def _non_empty(cells: dict[Cell, CellCounts]) -> dict[Cell, CellCounts]:
    return {cell: counts for cell, counts in cells.items() if counts.answers > 0}


def _gain_of_cell(counts: CellCounts, earlier: CellCounts) -> CellCounts:
    """Return what a cell gained; a sum may shrink if a report of it was lost."""
    durations = {
        bucket: max(0, count - earlier.durations.get(bucket, 0))
        for bucket, count in counts.durations.items()
    }
    return CellCounts(
        answers=max(0, counts.answers - earlier.answers),
        failures=max(0, counts.failures - earlier.failures),
        durations={bucket: count for bucket, count in durations.items() if count},
    )
