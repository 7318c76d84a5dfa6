"""What one caller's connection does."""

import enum
from dataclasses import dataclass


class Phase(enum.Enum):
    """Part of an exchange that a connection is in."""

    IDLE = "idle"  # nothing of a request has arrived
    HEAD = "head"  # a head has begun to arrive
    BODY = "body"  # the head is complete, the body is being read
    ANSWER = "answer"  # the request is complete and being answered


@dataclass(slots=True)
class ConnectionState:
    """State of one connection.

    Attributes:
        opened_at: Monotonic time at which it was accepted, in seconds.
        phase: What it does.
        phase_since: Monotonic time at which that began, in seconds.
        received_at: Monotonic time at which bytes last arrived, in seconds.
        requests: Requests that it has carried.
        unread_bytes: Bytes that arrived and are neither part of a handled head nor of a
            body that was read.
        answered_at: Monotonic time at which a request was last answered, or the
            connection accepted, in seconds.
    """

    opened_at: float
    phase: Phase
    phase_since: float
    received_at: float
    requests: int = 0
    unread_bytes: int = 0
    answered_at: float = 0.0

    @classmethod
    def opened(cls, now: float) -> "ConnectionState":
        """Return the state of a new connection."""
        return cls(now, Phase.IDLE, now, now, answered_at=now)

    def enter(self, phase: Phase, now: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.phase_since = now

    def on_received(self, size: int, now: float) -> None:
        """Count received bytes."""
        self.received_at = now
        self.unread_bytes += size
        if self.phase is Phase.IDLE:
            self.enter(Phase.HEAD, now)

    def on_request(self, now: float) -> None:
        """Begin to handle a request whose head is complete."""
        self.requests += 1
        self.unread_bytes = 0
        self.enter(Phase.BODY, now)

    def on_answered(self, now: float) -> None:
        """End a request; bytes that arrived since may begin the next one."""
        self.answered_at = now
        self.enter(Phase.HEAD if self.unread_bytes else Phase.IDLE, now)
