"""HTTP sessions and bodies that are bounded, whatever the other side sends."""

from skylarkdoor._bounded_http import (
    BodyBudget,
    BodyTooLargeError,
    BoundedConnector,
    open_session,
    read_body,
    read_chunk,
    read_json,
)
from skylarkdoor._byte_bound import MAX_UNREAD_BYTES, ByteBound, on_read

__all__ = [
    "MAX_UNREAD_BYTES",
    "BodyBudget",
    "BodyTooLargeError",
    "BoundedConnector",
    "ByteBound",
    "on_read",
    "open_session",
    "read_body",
    "read_chunk",
    "read_json",
]
