"""Records of requests that were running at an upstream when it crashed."""

from skylarkdoor._suspicion import (
    Suspicion,
    Suspicions,
    crash_id,
    crashed_incarnation,
)

__all__ = ["Suspicion", "Suspicions", "crash_id", "crashed_incarnation"]
