"""The instances as a table."""

from typing import Any

from skylarkdoor_client._table import table

ENTRY_HEAD = ("entry", "data centre", "state", "ready", "active")
SIDECAR_HEAD = (
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
    """Return two tables: the entries and the sidecars."""
    entries = [_entry(item) for item in instances if item.get("role") == "entry"]
    sidecars = [_sidecar(item) for item in instances if item.get("role") != "entry"]
    return "\n\n".join((table(ENTRY_HEAD, entries), table(SIDECAR_HEAD, sidecars)))


def _entry(item: dict[str, Any]) -> list[object]:
    said = item.get("status") or {}
    active = (said.get("callers") or {}).get("active")
    return [
        item.get("instance"),
        item.get("data_centre"),
        item.get("state"),
        said.get("ready"),
        active,
    ]


def _sidecar(item: dict[str, Any]) -> list[object]:
    said = item.get("status") or {}
    scheduler = said.get("scheduler") or {}
    running = None
    if scheduler:
        running = f"{scheduler.get('running')}/{scheduler.get('limit')}"
    return [
        item.get("instance"),
        item.get("data_centre"),
        item.get("pool"),
        item.get("state"),
        said.get("ready"),
        running,
        scheduler.get("waiting_by_tier"),
        scheduler.get("slowdown"),
        _notes(item, scheduler, said),
    ]


def _notes(
    item: dict[str, Any], scheduler: dict[str, Any], said: dict[str, Any]
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
    poison = said.get("poison") or {}
    if poison.get("quarantined"):
        notes.append("quarantine")
    return ", ".join(notes)
