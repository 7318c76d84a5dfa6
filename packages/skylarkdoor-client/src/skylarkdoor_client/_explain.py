"""An explanation as text."""

from typing import Any

from skylarkdoor_client._table import table

HEAD = (
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


def explain_text(said: dict[str, Any]) -> str:
    """Return how the pool chooses, then its sidecars, the best first."""
    head = (
        f"pool {said.get('pool')}, tier {said.get('tier')}, "
        f"policy {said.get('policy')}: offered to {said.get('offers')} at once"
    )
    rows = [_row(item) for item in said.get("ranking", ())]
    return f"{head}\n\n{table(HEAD, rows)}"


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
