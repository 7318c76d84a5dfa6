"""Exponential backoff with equal jitter."""

import random

# Keeps the power of two within the range of a float.
MAX_DOUBLINGS = 64


def doubled_delay_s(initial_s: float, max_s: float, failures: int) -> float:
    """Return a delay that doubles with each consecutive failure, in seconds.

    Args:
        initial_s: Delay after the first failure, in seconds.
        max_s: Longest delay, in seconds.
        failures: Consecutive failures before this one.
    """
    return min(max_s, initial_s * 2 ** min(failures, MAX_DOUBLINGS))


class Backoff:
    """Retry delays whose upper bound doubles with each consecutive failure.

    Each delay is drawn at random from the upper half of its bound.

    Args:
        initial_s: Upper bound of the first delay, in seconds.
        max_s: Upper bound of every delay, in seconds.
    """

    def __init__(self, *, initial_s: float = 0.05, max_s: float = 2.0) -> None:
        self.initial_s = initial_s
        self.max_s = max_s
        self.failures = 0

    def delay_s(self) -> float:
        """Record a failure and return the delay before the retry, in seconds."""
        bound = doubled_delay_s(self.initial_s, self.max_s, self.failures)
        self.failures += 1
        return random.uniform(bound / 2, bound)

    def reset(self) -> None:
        """Reset the failure count after a success."""
        self.failures = 0
