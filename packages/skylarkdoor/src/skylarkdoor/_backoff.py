"""Exponential backoff with equal jitter."""

import random


class Backoff:
    """Retry delays whose upper bound doubles with each consecutive failure.

    Each delay is drawn at random from the upper half of its bound.

    Args:
        first_s: Upper bound of the first delay, in seconds.
        most_s: Upper bound of every delay, in seconds.
    """

    def __init__(self, *, first_s: float = 0.05, most_s: float = 2.0) -> None:
        self.first_s = first_s
        self.most_s = most_s
        self.failures = 0

    def delay_s(self) -> float:
        """Record a failure and return the delay before the retry, in seconds."""
        bound = min(self.most_s, self.first_s * 2**self.failures)
        self.failures += 1
        return random.uniform(bound / 2, bound)

    def reset(self) -> None:
        """Reset the failure count after a success."""
        self.failures = 0
