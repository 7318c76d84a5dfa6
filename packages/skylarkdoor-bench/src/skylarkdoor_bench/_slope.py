"""Measured points, the lines through them and their table."""

from typing import NamedTuple

from skylarkdoor_bench._usage import Line, fit_line

_US_PER_CORE_PERCENT = 10_000


class Point(NamedTuple):
    """One measured size.

    Attributes:
        x: The size: peers, requests a second, customers or streams.
        core_percent: Processor time in percent of a core.
        rss_mb: Resident memory, in MiB.
        kb_per_s: Control traffic both ways, in kB a second; 0 if not counted.
        events_per_s: What happened in the stretch: chunks, offers or changes.
    """

    x: float
    core_percent: float
    rss_mb: float
    kb_per_s: float = 0.0
    events_per_s: float = 0.0


class Slope(NamedTuple):
    """A series of points and the lines through them.

    Attributes:
        name: What was measured.
        unit: Unit of x.
        points: The points.
        core_percent: Line of processor time.
        rss_mb: Line of memory.
        kb_per_s: Line of traffic.
        us_per_event: Processor time for each event, from the line of core time
            over events, in microseconds.
    """

    name: str
    unit: str
    points: list[Point]
    core_percent: Line
    rss_mb: Line
    kb_per_s: Line
    us_per_event: float


def fit_slope(name: str, unit: str, points: list[Point]) -> Slope:
    """Fit lines through the points of one series."""
    by_event = fit_line([(p.events_per_s, p.core_percent) for p in points])
    return Slope(
        name,
        unit,
        points,
        core_percent=fit_line([(p.x, p.core_percent) for p in points]),
        rss_mb=fit_line([(p.x, p.rss_mb) for p in points]),
        kb_per_s=fit_line([(p.x, p.kb_per_s) for p in points]),
        us_per_event=by_event.slope * _US_PER_CORE_PERCENT,
    )


def format_table(result: Slope) -> str:
    """Return one series as text."""
    lines = [f"{result.name} (x: {result.unit})"]
    lines.append("       x   core %   RSS MiB     kB/s  events/s")
    lines += [
        f"{p.x:8.0f} {p.core_percent:8.2f} {p.rss_mb:9.1f} {p.kb_per_s:8.2f}"
        f" {p.events_per_s:9.1f}"
        for p in result.points
    ]
    lines.append(
        f"  slope: {result.core_percent.slope:.4f} % of a core,"
        f" {result.rss_mb.slope * 1024:.2f} KiB, {result.kb_per_s.slope:.4f} kB/s"
        f" for each; {result.us_per_event:.0f} us an event;"
        f" at zero {result.core_percent.intercept:.2f} %,"
        f" {result.rss_mb.intercept:.1f} MiB"
    )
    return "\n".join(lines)
