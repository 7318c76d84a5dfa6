"""Timeouts that don't count the time in which the event loop was busy."""

from skylarkdoor._grace_timeout import GRACE_PASSES, GraceTimeout, let_pass

__all__ = ["GRACE_PASSES", "GraceTimeout", "let_pass"]
