"""Measures the rate at which offers leave the queue."""

import math

TIME_CONSTANT_S = 5.0
# The rate is unknown until this much busy time has been observed.
MIN_SPAN_S = 0.5


class DrainRate:
    """Offers that leave the queue per second while it is not empty.

    Departures are weighted exponentially with the time constant `TIME_CONSTANT_S`.
    """

    def __init__(self) -> None:
        self.departed = 0.0
        self.span_s = 0.0
        self.updated_at = 0.0
        self.busy = False

    def record(self, now: float, *, departed: int, waiting: int) -> None:
        """Record departures and whether any offer still waits.

        Args:
            now: Monotonic time, in seconds.
            departed: Number of offers that left the queue.
            waiting: Number of offers that still wait.
        """
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        if self.busy:
            fade = math.exp(-elapsed_s / TIME_CONSTANT_S)
            self.departed *= fade
            self.span_s = self.span_s * fade + TIME_CONSTANT_S * (1 - fade)
        self.departed += departed
        self.busy = waiting > 0

    def per_s(self) -> float:
        """Return the rate in offers per second, 0 if it is not known yet."""
        if self.span_s < MIN_SPAN_S:
            return 0.0
        return self.departed / self.span_s

    def wait_s(self, ahead: int) -> float:
        """Return the estimated queueing time of an offer, in seconds; 0 if not known.

        Args:
            ahead: Number of offers to be served up to and including this one.
        """
        rate = self.per_s()
        return ahead / rate if rate > 0 else 0.0
