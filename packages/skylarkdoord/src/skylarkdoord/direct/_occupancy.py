"""How many of an engine's places are really taken, from its own reports.

Places that were granted say what should run. An entry that lost its power keeps
its grants though nothing runs, an entry that could not reach the guard runs what
was never granted, and a guard that has just started knows of no grants at all.
"""

from collections import deque
from typing import NamedTuple

# A granted request reaches the engine within this time.
SETTLE_S = 0.3
# What this many reports in a row agree on is taken for true.
REPORTS = 3


class Sample(NamedTuple):
    """Grants and the engine's report at one moment.

    Attributes:
        granted: Places that are granted.
        settled: Those of them that were granted a while ago.
        in_engine: Requests in the engine, running or waiting.
    """

    granted: int
    settled: int
    in_engine: int


class Occupancy:
    """Compares grants with what the engine reports."""

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque(maxlen=REPORTS)

    def note(self, sample: Sample) -> None:
        """Take over a newer report."""
        self.samples.append(sample)

    def forget(self) -> None:
        """Trust the grants alone: the engine does not report."""
        self.samples.clear()

    def correction(self) -> int:
        """Return how many more places are taken than granted; fewer if negative."""
        if not self.samples:
            return 0
        strangers = min(one.in_engine - one.granted for one in self.samples)
        if strangers > 0:
            return strangers
        if len(self.samples) < REPORTS:
            return 0
        unused = min(one.settled - one.in_engine for one in self.samples)
        return -max(0, unused)
