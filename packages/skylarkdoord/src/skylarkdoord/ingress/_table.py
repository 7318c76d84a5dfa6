"""All connections of callers."""

import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Protocol

from skylarkdoord.ingress._closed import ClosedConnections, Reason
from skylarkdoord.ingress._connection_limit import (
    NO_LIMIT,
    ConnectionLimit,
    LimitedConnection,
    choose_closed,
)
from skylarkdoord.ingress._deadlines import RunningClock
from skylarkdoord.ingress._limits import IngressLimits, LimitSource
from skylarkdoord.ingress._shared_reads import SharedReads
from skylarkdoord.ingress._state import Phase
from skylarkdoord.ingress._unfinished import UnfinishedBytes


class Connection(LimitedConnection, Protocol):
    """What the table needs of a connection."""

    def close_now(self) -> None:
        """Close it without regard to what was not sent."""

    def close_overdue(self, limits: IngressLimits, now: float) -> None:
        """Close the connection if it takes too long."""

    def refuse(self, reason: Reason) -> None:
        """Accept no further bytes, and close after the running answer."""


class ConnectionTable:
    """The open connections of callers.

    Args:
        limit: Limit on them.
        clock: Returns monotonic time in seconds.
        limits: Returns the limits in force.
        max_unfinished_bytes: Most bytes of requests that are not handled yet; None for
            no bound.

    Attributes:
        unfinished: Bytes of requests that are not handled yet.
        closed: Reports those that are closed for a limit.
        reads: Handles the bytes that they received, in turn.
    """

    def __init__(
        self,
        *,
        limit: ConnectionLimit = NO_LIMIT,
        clock: Callable[[], float] = time.monotonic,
        limits: LimitSource = IngressLimits,
        max_unfinished_bytes: int | None = None,
    ) -> None:
        self.clock = RunningClock(clock)
        self.limit = limit
        self.limits = limits
        self.unfinished: UnfinishedBytes[Connection] = UnfinishedBytes(
            max_unfinished_bytes
        )
        self.connections: dict[Connection, None] = {}
        self.closed = ClosedConnections(self.clock)
        self.reads = SharedReads(clock=clock)

    def __len__(self) -> int:
        return len(self.connections)

    def __iter__(self) -> Iterator[Connection]:
        return iter(list(self.connections))

    def add(self, connection: Connection) -> None:
        """Add a connection that was accepted; if it is one too many, close some."""
        self.connections[connection] = None
        if len(self.connections) > self.limit.max_connections:
            self.close_some(connection)

    def close_some(self, newest: Connection) -> None:
        """Close the connections that are worth least."""
        chosen = choose_closed(
            self.connections, self.limit, newest=newest, now=self.clock()
        )
        for connection in chosen:
            self.remove(connection)
            self.closed.record(Reason.TOO_MANY, connection.state)
            connection.close_now()

    def remove(self, connection: Connection) -> None:
        """Remove a connection that was closed."""
        self.connections.pop(connection, None)
        self.unfinished.set(connection, 0)

    def set_unfinished(self, connection: Connection, size: int) -> None:
        """Set what a connection holds of requests, and close some if it is too much."""
        self.unfinished.set(connection, size)
        for chosen in self.unfinished.choose():
            self.unfinished.set(chosen, 0)
            chosen.refuse(Reason.MEMORY)

    def phases(self) -> Counter[Phase]:
        """Return the number of connections in each phase."""
        return Counter(connection.state.phase for connection in self)
