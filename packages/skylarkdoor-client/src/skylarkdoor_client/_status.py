"""Text output of `skylarkdoor status`."""

from typing import Any

from skylarkdoor_client._table import format_table

ENTRY_COLUMNS = ("entry", "data centre", "state", "ready", "active")
SIDECAR_COLUMNS = (
    "sidecar",
    "data centre",
    "pool",
    "state",
    "ready",
    "running/limit",
    "waiting by tier",
    "slowdown",
    "notes",
)


def status_text(instances: list[dict[str, Any]]) -> str:
    """Return two tables, one of the entries and one of the sidecars."""
    entries = [_entry(item) for item in instances if item.get("role") == "entry"]
    sidecars = [_sidecar(item) for item in instances if item.get("role") != "entry"]
    return "\n\n".join(
        (format_table(ENTRY_COLUMNS, entries), format_table(SIDECAR_COLUMNS, sidecars))
    )


def _entry(item: dict[str, Any]) -> list[object]:
    status = item.get("status") or {}
    active = (status.get("callers") or {}).get("active")
    return [
        item.get("instance"),
        item.get("data_centre"),
        item.get("state"),
        status.get("ready"),
        active,
    ]


def _sidecar(item: dict[str, Any]) -> list[object]:
    status = item.get("status") or {}
    scheduler = status.get("scheduler") or {}
    running = None
    if scheduler:
        running = f"{scheduler.get('running')}/{scheduler.get('limit')}"
    return [
        item.get("instance"),
        item.get("data_centre"),
        item.get("pool"),
        item.get("state"),
        status.get("ready"),
        running,
        scheduler.get("waiting_by_tier"),
        scheduler.get("slowdown"),
        _notes(item, scheduler, status),
    ]


def _notes(
    item: dict[str, Any], scheduler: dict[str, Any], status: dict[str, Any]
) -> str:
    notes = []
    if item.get("error"):
        notes.append("does not answer")
    if scheduler.get("leaving"):
        notes.append("leaving")
    if scheduler.get("upstream_up") is False:
        notes.append("upstream down")
    if scheduler.get("straggler"):
        notes.append("straggler")
    poison = status.get("poison") or {}
    if poison.get("quarantined"):
        notes.append("quarantine")
    return ", ".join(notes)
