"""Measures how the resource use of entries and sidecars grows with their load."""

import json
from collections.abc import Callable
from pathlib import Path

from skylarkdoor_bench._slope import Slope, format_table
from skylarkdoor_bench._slope_series import SERIES

Echo = Callable[[str], None]


async def measure_slopes(*, names: tuple[str, ...], out: Path, echo: Echo) -> None:
    """Run series, print the results of each and write all results as JSON.

    Args:
        names: Series to run; empty for all.
        out: File to which the points and lines are written.
        echo: Prints a line.
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
    echo(f"results written to {out.name}")
