"""Measures processor time and memory of a process, and fits lines to points."""

import asyncio
import os
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

_UTIME_FIELD = 13
_STIME_FIELD = 14
_KB_PER_MB = 1024


class Usage(NamedTuple):
    """Resource use of a process over a period.

    Attributes:
        seconds: Length of the period.
        cpu_s: Processor time, in seconds.
        rss_mb: Resident memory at the end of the period, in MiB.
    """

    seconds: float
    cpu_s: float
    rss_mb: float

    @property
    def core_percent(self) -> float:
        """Processor time as a share of one core, in percent."""
        return 100 * self.cpu_s / self.seconds


class Line(NamedTuple):
    """A straight line fitted by least squares."""

    intercept: float
    slope: float


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    # The first two fields, the process id and the name, are cut off.
    ticks = int(fields[_UTIME_FIELD - 2]) + int(fields[_STIME_FIELD - 2])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0


async def measure_usage(pid: int, seconds: float) -> Usage:
    """Return the resource use of a process over the next `seconds`."""
    loop = asyncio.get_running_loop()
    started, before = loop.time(), cpu_seconds(pid)
    await asyncio.sleep(seconds)
    elapsed = loop.time() - started
    return Usage(elapsed, cpu_seconds(pid) - before, resident_mb(pid))


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through points (x, y)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return Line(mean_y, 0.0)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(mean_y - slope * mean_x, slope)
