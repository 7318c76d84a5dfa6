"""An explanation as text."""

import json
from typing import Any

from skylarkdoor_client._table import table


def explain_text(said: dict[str, Any]) -> str:
    """Return plain fields line by line, then each list of objects as a table."""
    lines = []
    tables = []
    for name, value in said.items():
        if _is_rows(value):
            tables.append(f"{_title(name)}:\n{_rows(value)}")
        else:
            shown = value if isinstance(value, str) else json.dumps(value)
            lines.append(f"{_title(name)}: {shown}")
    return "\n\n".join(part for part in ("\n".join(lines), *tables) if part)


def _is_rows(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )


def _rows(rows: list[dict[str, Any]]) -> str:
    columns = list(dict.fromkeys(name for row in rows for name in row))
    head = [_title(name) for name in columns]
    return table(head, [[row.get(name) for name in columns] for row in rows])


def _title(name: str) -> str:
    return name.replace("_", " ")
