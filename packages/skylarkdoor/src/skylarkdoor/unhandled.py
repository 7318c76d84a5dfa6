"""Events for what Python and libraries would write as plain text on standard error."""

from skylarkdoor._unhandled import (
    LoopErrors,
    describe,
    error_fields,
    last_frames,
    shorten,
    watch_exceptions,
    watch_libraries,
)

__all__ = [
    "LoopErrors",
    "describe",
    "error_fields",
    "last_frames",
    "shorten",
    "watch_exceptions",
    "watch_libraries",
]
