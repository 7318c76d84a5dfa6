"""Records of requests that were running at an upstream when it crashed."""

from skylarkdoor._suspicion import (
    MAX_SUSPICIONS,
    Suspicion,
    Suspicions,
    crash_id,
    crashed_incarnation,
)

__all__ = [
    "MAX_SUSPICIONS",
    "Suspicion",
    "Suspicions",
    "crash_id",
    "crashed_incarnation",
]
