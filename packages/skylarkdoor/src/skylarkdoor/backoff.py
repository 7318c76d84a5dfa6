"""Exponential backoff with full jitter."""

from skylarkdoor._backoff import Backoff

__all__ = ["Backoff"]
