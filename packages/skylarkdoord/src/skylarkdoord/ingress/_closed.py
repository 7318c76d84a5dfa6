"""Reports connections that are closed for a limit."""

import enum
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.ingress._metrics import CLOSED
from skylarkdoord.ingress._state import ConnectionState

# A crowd may be closed at once; the metric counts all of it.
MAX_LINES_PER_S = 5


class Reason(enum.Enum):
    """Limit for which a connection is closed."""

    TOO_MANY = "too_many"  # there are too many connections
    UNREAD_BYTES = "unread_bytes"  # too much arrived that is not read
    HEAD_BYTES = "head_bytes"  # a head is larger than the operator allows
    HEAD_TIMEOUT = "head_timeout"  # a head takes longer than the operator allows
    FRAMING_BYTES = "framing_bytes"  # too much was sent that is no part of a body
    IDLE = "idle"  # nothing arrived for longer than the operator allows
    MEMORY = "memory"  # what it holds is needed for others
    BODY_STALLED = "body_stalled"  # a body got no further for as long


class ClosedConnections:
    """Counts closed connections, and logs some of them each second.

    Args:
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.second = 0
        self.logged = 0
        self.not_logged = 0
        self.log = events.get_logger("ingress")

    def record(self, reason: Reason, state: ConnectionState) -> None:
        """Count a connection that is closed, and log it if few were in this second."""
        CLOSED.labels(reason.value).inc()
        now = self.clock()
        if int(now) != self.second:
            self.second = int(now)
            self.logged = 0
        if self.logged >= MAX_LINES_PER_S:
            self.not_logged += 1
            return
        self.logged += 1
        self.log.event(
            _events.CALLER_CLOSED,
            reason=reason.value,
            phase=state.phase.value,
            open_s=round(now - state.opened_at, 3),
            requests=state.requests,
            unread_bytes=state.unread_bytes,
            not_logged=self.not_logged,
        )
        self.not_logged = 0
