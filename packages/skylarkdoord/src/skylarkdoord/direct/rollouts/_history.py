"""Tells the recent evidence on a roll-out from all of it.

Answers a version that becomes bad later: its many good answers before would hide the
bad ones for seconds.
"""

from collections import deque

from skylarkdoord.direct.rollouts._model import Cell, CellCounts, Report

# Time that counts as recent, in seconds, and between two reports that are kept.
RECENT_S = 2.5
KEPT_INTERVAL_S = 0.2
# Recent answers of the old version below which all of its answers are taken.
MIN_OLD_ANSWERS = 50


class EvidenceHistory:
    """Sums of reports on an order over the recent time.

    Attributes:
        kept: Reports with the monotonic time of each, oldest first.
    """

    def __init__(self) -> None:
        self.kept: deque[tuple[float, Report]] = deque()

    def recent(self, report: Report, now_s: float) -> Report:
        """Keep a sum of reports; return what it gained within the recent time.

        Args:
            report: Evidence on an order, summed over the entries.
            now_s: Monotonic time, in seconds.
        """
        if self.kept and self.kept[-1][1].order != report.order:
            self.kept.clear()
        if not self.kept or now_s - self.kept[-1][0] >= KEPT_INTERVAL_S:
            self.kept.append((now_s, report))
        while len(self.kept) > 1 and self.kept[1][0] <= now_s - RECENT_S:
            self.kept.popleft()
        return _gain(report, self.kept[0][1])


def _gain(report: Report, earlier: Report) -> Report:
    """Return what a report gained over an earlier one.

    Where the old version gained little, as in the handover, all of it is taken.
    """
    gained = {
        cell: _gain_of_cell(counts, earlier.cells.get(cell, CellCounts()))
        for cell, counts in report.cells.items()
    }
    old_answers = sum(
        counts.answers for cell, counts in gained.items() if not cell.is_new
    )
    if old_answers < MIN_OLD_ANSWERS:
        gained |= {cell: report.cells[cell] for cell in gained if not cell.is_new}
    return report._replace(cells=_non_empty(gained))


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
