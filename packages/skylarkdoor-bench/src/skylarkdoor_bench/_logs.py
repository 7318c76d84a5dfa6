"""Reads spans and events from the log files of processes."""

import json
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple


class Span(NamedTuple):
    """A span of a traced request, as a daemon logged it."""

    name: str
    instance: str
    trace_id: str
    span_id: str
    parent_id: str
    duration_ms: float
    attributes: dict[str, Any]


def read_spans(log_path: Path, *, trace_id: str | None = None) -> Iterator[Span]:
    """Yield the spans in a log, optionally of one trace only."""
    for record in read_records(log_path):
        if "span" not in record:
            continue
        span = Span(
            name=str(record["span"]),
            instance=str(record.get("instance", log_path.stem)),
            trace_id=str(record.get("trace_id", "")),
            span_id=str(record.get("span_id", "")),
            parent_id=str(record.get("parent_id", "")),
            duration_ms=float(record.get("duration_ms", 0.0)),
            attributes=dict(record.get("attributes", {})),
        )
        if trace_id in (None, span.trace_id):
            yield span


def span_tree(spans: Sequence[Span]) -> Iterator[tuple[int, Span]]:
    """Yield spans with their depth in the tree, each before its children.

    A span whose parent is missing is a root, at depth 0.
    """
    known = {span.span_id for span in spans}
    for span in spans:
        if span.parent_id not in known:
            yield from _subtree(spans, span, 0)


def _subtree(
    spans: Sequence[Span], parent: Span, depth: int
) -> Iterator[tuple[int, Span]]:
    yield depth, parent
    for span in spans:
        if span.parent_id == parent.span_id:
            yield from _subtree(spans, span, depth + 1)


def event_count(log_path: Path, event_name: str) -> int:
    """Return how often a log contains an event."""
    records = read_records(log_path)
    return sum(record.get("event_name") == event_name for record in records)


def read_records(log_path: Path) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects in a log; other lines are skipped."""
    with log_path.open(errors="replace") as lines:
        for line in lines:
            try:
                record = json.loads(line)
            except ValueError:
                continue
            if isinstance(record, dict):
                yield record
