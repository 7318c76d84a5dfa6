"""Tables for people."""

from collections.abc import Sequence

GAP = "  "


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows in aligned columns below their headings.

    Args:
        head: A heading for each column.
        rows: Rows with a cell for each column; None is shown as `-`.
    """
    cells = [list(head), *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    lines = [
        GAP.join(text.ljust(width) for text, width in zip(row, widths, strict=True))
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
