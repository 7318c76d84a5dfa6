"""Measured points of a series, their regression lines and their table."""

from typing import NamedTuple

from skylarkdoor_bench._usage import Line, fit_line

_US_PER_CORE_PERCENT = 10_000


class Point(NamedTuple):
    """Resource use measured at one value of the varied quantity.

    Attributes:
        x: The varied quantity, for example customers or requests per second.
        core_percent: Processor time, in percent of one core.
        rss_mb: Resident memory, in MiB.
        kb_per_s: Control traffic in both directions, in kB per second; 0 if it was
            not counted.
        events_per_s: Chunks, offers, requests or settings changes per second; 0 if
            they were not counted.
    """

    x: float
    core_percent: float
    rss_mb: float
    kb_per_s: float = 0.0
    events_per_s: float = 0.0


class Slope(NamedTuple):
    """A series of points and its regression lines.

    Attributes:
        name: Name of the series.
        unit: Unit of the varied quantity.
        points: The measured points.
        core_percent: Line of processor time over the varied quantity.
        rss_mb: Line of resident memory over the varied quantity.
        kb_per_s: Line of control traffic over the varied quantity.
        us_per_event: Processor time per event, in microseconds, from the regression
            of processor time on events per second.
    """

    name: str
    unit: str
    points: list[Point]
    core_percent: Line
    rss_mb: Line
    kb_per_s: Line
    us_per_event: float


def fit_slope(name: str, unit: str, points: list[Point]) -> Slope:
    """Return a series with lines fitted to its points."""
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
    """Return one series as a text table."""
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
        f" per unit; {result.us_per_event:.0f} us per event;"
        f" at zero {result.core_percent.intercept:.2f} %,"
        f" {result.rss_mb.intercept:.1f} MiB"
    )
    return "\n".join(lines)
