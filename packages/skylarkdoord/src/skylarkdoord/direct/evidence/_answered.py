"""Remembers what upstreams answered lately."""

from collections.abc import Callable

# Requests, or parts of prompts, that are remembered, and for how long.
MAX_ANSWERED = 10_000
ANSWERED_RETENTION_S = 600.0


class Answered:
    """The latest answer to each request, or to each part of prompts.

    Args:
        clock: Returns the monotonic time, in seconds.

    Attributes:
        answered_at: Monotonic time of the latest answer by fingerprint, in seconds;
            oldest first.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.answered_at: dict[int, float] = {}

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether an upstream answered it lately."""
        answered_at = self.answered_at.get(fingerprint)
        if answered_at is None:
            return False
        return self.clock() - answered_at < ANSWERED_RETENTION_S

    def add(self, fingerprint: int) -> None:
        """Remember that an upstream answers it now."""
        self.answered_at.pop(fingerprint, None)
        self.answered_at[fingerprint] = self.clock()
        if len(self.answered_at) > MAX_ANSWERED:
            del self.answered_at[next(iter(self.answered_at))]
