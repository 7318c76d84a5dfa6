"""How fast the queue drains."""

import math

FADE_S = 5.0
LEAST_SPAN_S = 0.5


class DrainRate:
    """Offers that leave the queue per second, while any wait.

    Recent departures weigh more: the weight fades by a factor e in `FADE_S`.
    """

    def __init__(self) -> None:
        self.departed = 0.0
        self.span_s = 0.0
        self.at = 0.0
        self.busy = False

    def note(self, now: float, *, departed: int, waiting: int) -> None:
        """Note departures and whether any offer still waits."""
        elapsed_s = max(0.0, now - self.at)
        self.at = now
        if self.busy:
            fade = math.exp(-elapsed_s / FADE_S)
            self.departed *= fade
            self.span_s = self.span_s * fade + FADE_S * (1 - fade)
        self.departed += departed
        self.busy = waiting > 0

    def per_s(self) -> float:
        """Return the offers per second, 0 if it is not known yet."""
        if self.span_s < LEAST_SPAN_S:
            return 0.0
        return self.departed / self.span_s

    def wait_s(self, ahead: int) -> float:
        """Return how long the queue takes to reach an offer, 0 if not known."""
        rate = self.per_s()
        return ahead / rate if rate > 0 else 0.0
