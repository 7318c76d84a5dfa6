"""The rules for the heads of HTTP responses."""

from skylarkdoor._response_heads import (
    InvalidHeadError,
    ResponseHeads,
    drop_undecodable,
    is_field,
    is_final_status,
)

__all__ = [
    "InvalidHeadError",
    "ResponseHeads",
    "drop_undecodable",
    "is_field",
    "is_final_status",
]
