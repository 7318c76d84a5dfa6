"""HTTP sessions whose responses are bounded and valid, whatever is sent."""

from skylarkdoor._bounded_http import (
    BodyBudget,
    BodyTooLargeError,
    open_session,
    read_body,
    read_chunk,
    read_json,
)
from skylarkdoor._byte_bound import MAX_UNREAD_BYTES, ByteBound, on_read
from skylarkdoor._client_connections import BoundedConnector, InvalidResponseError

__all__ = [
    "MAX_UNREAD_BYTES",
    "BodyBudget",
    "BodyTooLargeError",
    "BoundedConnector",
    "ByteBound",
    "InvalidResponseError",
    "on_read",
    "open_session",
    "read_body",
    "read_chunk",
    "read_json",
]
