"""Text output of `skylarkdoor explain`."""

from typing import Any

from skylarkdoor_client._table import format_table

COLUMNS = (
    "sidecar",
    "data centre",
    "offered",
    "reason",
    "wait s",
    "service s",
    "running/limit",
    "waiting by tier",
    "slowdown",
    "report age s",
)


def explain_text(result: dict[str, Any]) -> str:
    """Return the pool's policy and a table of its sidecars, the best first."""
    summary = (
        f"pool {result.get('pool')}, tier {result.get('tier')}, "
        f"policy {result.get('policy')}: offered to {result.get('offers')} at once"
    )
    rows = [_row(item) for item in result.get("ranking", ())]
    return f"{summary}\n\n{format_table(COLUMNS, rows)}"


def _row(item: dict[str, Any]) -> list[object]:
    return [
        item.get("instance"),
        item.get("data_centre"),
        item.get("usable"),
        str(item.get("reason", "")).replace("_", " "),
        item.get("wait_s"),
        item.get("service_s"),
        f"{item.get('running')}/{item.get('limit')}",
        item.get("waiting_by_tier"),
        item.get("slowdown"),
        item.get("report_age_s"),
    ]
