"""Formatting of text tables."""

from collections.abc import Sequence

COLUMN_SEPARATOR = "  "


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows as a text table with aligned columns.

    Args:
        headings: Heading of each column.
        rows: Rows with a value for each column; None and `""` are shown as `-`.
    """
    cells = [list(headings), *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    lines = [
        COLUMN_SEPARATOR.join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        )
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _cell(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}"
    if isinstance(value, list | tuple):
        return " ".join(_cell(item) for item in value) or "-"
    return str(value)
