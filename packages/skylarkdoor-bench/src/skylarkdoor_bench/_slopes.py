"""Measures what entries and sidecars cost against the size of what they serve."""

import json
from collections.abc import Callable
from pathlib import Path

from skylarkdoor_bench._slope import Slope, format_table
from skylarkdoor_bench._slope_series import SERIES

Echo = Callable[[str], None]


async def measure_slopes(*, names: tuple[str, ...], out: Path, echo: Echo) -> None:
    """Run series, print each as it ends and write all as JSON.

    Args:
        names: Series to run; none for all.
        out: File for the points and lines.
        echo: Takes lines for people.
    """
    measured: list[Slope] = []
    for name, run in SERIES.items():
        if names and name not in names:
            continue
        for result in await run():
            measured.append(result)
            echo(format_table(result))
    out.parent.mkdir(parents=True, exist_ok=True)
    plain = [result._asdict() for result in measured]
    out.write_text(json.dumps(plain, indent=2))
    echo(f"written to {out.name}")
