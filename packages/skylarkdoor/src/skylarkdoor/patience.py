"""Timeouts that don't count the time in which the event loop was busy."""

from skylarkdoor._patience import GRACE_PASSES, PatientTimeout, let_pass

__all__ = ["GRACE_PASSES", "PatientTimeout", "let_pass"]
