"""All connections of callers."""

import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Protocol

from skylarkdoord.ingress._closed import ClosedConnections
from skylarkdoord.ingress._deadlines import RunningClock
from skylarkdoord.ingress._limits import IngressLimits, LimitSource
from skylarkdoord.ingress._state import ConnectionState, Phase


class Connection(Protocol):
    """What the table needs of a connection."""

    state: ConnectionState

    def close_overdue(self, limits: IngressLimits, now: float) -> None:
        """Close the connection if it takes too long."""


class ConnectionTable:
    """The open connections of callers.

    Args:
        clock: Returns monotonic time in seconds.
        limits: Returns the limits in force.

    Attributes:
        closed: Reports those that are closed for a limit.
        read_s: Time spent on bytes that they received, in seconds.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        limits: LimitSource = IngressLimits,
    ) -> None:
        self.clock = RunningClock(clock)
        self.limits = limits
        self.connections: dict[Connection, None] = {}
        self.closed = ClosedConnections(self.clock)
        self.read_s = 0.0

    def __len__(self) -> int:
        return len(self.connections)

    def __iter__(self) -> Iterator[Connection]:
        return iter(list(self.connections))

    def add(self, connection: Connection) -> None:
        """Add a connection that was accepted."""
        self.connections[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that was closed."""
        self.connections.pop(connection, None)

    def phases(self) -> Counter[Phase]:
        """Return the number of connections in each phase."""
        return Counter(connection.state.phase for connection in self)
