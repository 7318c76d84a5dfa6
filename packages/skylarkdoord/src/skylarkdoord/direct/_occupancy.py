"""Correction of the number of used slots by the engine's own load reports.

The number of granted slots may differ from the number of requests in the engine: an
entry that lost power keeps its grants although nothing runs, an entry that could not
reach the guard runs requests without grants, and a guard that has just started has no
grants yet.
"""

from collections import deque
from typing import NamedTuple

# Time within which a granted request reaches the engine.
SETTLE_S = 0.3
# Number of successive reports that must agree before unused grants are discounted.
CONFIRMING_REPORTS = 3


class Sample(NamedTuple):
    """Grants and the engine's load at the time of one report.

    Attributes:
        granted: Number of slots that are granted.
        settled: Number of these that were granted at least `SETTLE_S` ago.
        in_engine: Number of requests in the engine, running or waiting.
    """

    granted: int
    settled: int
    in_engine: int


class Occupancy:
    """Compares the grants with the latest load reports of the engine."""

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque(maxlen=CONFIRMING_REPORTS)

    def record(self, sample: Sample) -> None:
        """Add the sample of a new report."""
        self.samples.append(sample)

    def clear(self) -> None:
        """Discard all samples, as the engine does not report its load."""
        self.samples.clear()

    def correction(self) -> int:
        """Return the number of slots in use minus the number granted.

        Requests without grants count at once. Unused grants count only after
        `CONFIRMING_REPORTS` reports agree.
        """
        if not self.samples:
            return 0
        ungranted = min(sample.in_engine - sample.granted for sample in self.samples)
        if ungranted > 0:
            return ungranted
        if len(self.samples) < CONFIRMING_REPORTS:
            return 0
        unused = min(sample.settled - sample.in_engine for sample in self.samples)
        return -max(0, unused)
