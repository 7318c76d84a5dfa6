"""Exponential backoff with equal jitter."""

from skylarkdoor._backoff import Backoff, doubled_delay_s

__all__ = ["Backoff", "doubled_delay_s"]
