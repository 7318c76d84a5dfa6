"""Numbered log events; docs/EVENTS.md lists all of them."""

from skylarkdoor._events import (
    CATALOGUE,
    CONNECTION_ENDED,
    EXCEPTION_UNHANDLED,
    INVARIANT_BROKEN,
    LIBRARY_WARNED,
    SERVICE_INTERRUPTED,
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
    "CONNECTION_ENDED",
    "EXCEPTION_UNHANDLED",
    "INVARIANT_BROKEN",
    "LIBRARY_WARNED",
    "SERVICE_INTERRUPTED",
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
