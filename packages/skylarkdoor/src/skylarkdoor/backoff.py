"""Exponential backoff with equal jitter."""

from skylarkdoor._backoff import Backoff

__all__ = ["Backoff"]
