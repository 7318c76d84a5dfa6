"""Numbered log events; docs/EVENTS.md lists all of them."""

from skylarkdoor._events import (
    CATALOGUE,
    INVARIANT_BROKEN,
    SERVICE_STARTED,
    SPAN_ENDED,
    TASK_ENDED,
    TASK_FAILED,
    TASK_RESTARTED,
    Event,
    EventLogger,
    configure,
    define,
    get_logger,
)

__all__ = [
    "CATALOGUE",
    "INVARIANT_BROKEN",
    "SERVICE_STARTED",
    "SPAN_ENDED",
    "TASK_ENDED",
    "TASK_FAILED",
    "TASK_RESTARTED",
    "Event",
    "EventLogger",
    "configure",
    "define",
    "get_logger",
]
