"""The rules for the heads of HTTP responses."""

from skylarkdoor._response_heads import (
    InvalidHeadError,
    ResponseHeads,
    is_field,
    is_final_status,
)

__all__ = ["InvalidHeadError", "ResponseHeads", "is_field", "is_final_status"]
