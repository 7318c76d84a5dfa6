"""Decides which connections of callers take too long.

The load that it answers: many connections that send nothing, or a head or a body that
gets no further.
"""

import time
from collections.abc import Callable

from skylarkdoord.ingress._closed import Reason
from skylarkdoord.ingress._limits import IngressLimits
from skylarkdoord.ingress._received import Received
from skylarkdoord.ingress._state import ConnectionState, Phase

# Interval between two looks at the connections, in seconds.
SWEEP_INTERVAL_S = 0.25


class RunningClock:
    """Monotonic time that does not count the time in which the process stood still.

    Bytes that arrived in that time are read late through no fault of the caller.

    Args:
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.lost_s = 0.0
        self.ticked_at = clock()

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.clock() - self.lost_s

    def tick(self) -> None:
        """Record that the process runs; to be called each `SWEEP_INTERVAL_S`."""
        now = self.clock()
        self.lost_s += max(0.0, now - self.ticked_at - 2 * SWEEP_INTERVAL_S)
        self.ticked_at = now


def find_overdue(
    state: ConnectionState, received: Received, limits: IngressLimits, now: float
) -> Reason | None:
    """Return why a connection is overdue; None if it is not.

    Args:
        state: What the connection does.
        received: What has arrived on it.
        limits: The limits in force.
        now: Monotonic time, in seconds.
    """
    if state.phase is Phase.ANSWER:
        return None
    if received.is_body_open:
        since = max(received.progress_at, state.phase_since)
        is_stalled = now - since > limits.idle_timeout_s
        return Reason.BODY_STALLED if is_stalled else None
    if state.phase is Phase.BODY:
        return None
    idle_since = max(state.opened_at, state.answered_at)
    if received.head_since is not None:
        since = max(received.head_since, idle_since)
        is_late = now - since > limits.head_timeout_s
        return Reason.HEAD_TIMEOUT if is_late else None
    is_idle = now - idle_since > limits.idle_timeout_s
    return Reason.IDLE if is_idle else None
