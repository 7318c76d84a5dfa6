"""Decides how many connections callers may have, and which are closed beyond that.

The load that it answers: callers that open connections and send nothing, or little, at
an entry that needs descriptors for upstreams, the store and other entries as well.
"""

import heapq
import sys
from collections.abc import Iterable
from typing import NamedTuple, Protocol, TypeVar

from skylarkdoord.ingress._state import ConnectionState, Phase

# Descriptors for the store, other entries, guards, listeners and files.
RESERVED_DESCRIPTORS = 256
# A request needs a connection of its caller and one to its upstream.
DESCRIPTORS_PER_REQUEST = 2
MIN_CONNECTIONS = 16
# A body of which nothing arrives for this long makes no progress, in seconds.
NO_PROGRESS_S = 1.0
# A body that has taken this long gives way to a new connection, in seconds.
SLOW_BODY_S = 5.0
# Part of the limit that is closed at once, so that not every new connection costs a
# look at all others.
CLOSED_AT_ONCE = 1 / 64


class ConnectionLimit(NamedTuple):
    """Limit on callers' connections.

    Attributes:
        max_connections: Most connections at a time.
    """

    max_connections: int

    @classmethod
    def derived(
        cls, descriptors: int, max_connections: int | None = None
    ) -> "ConnectionLimit":
        """Return the limit of a process.

        Args:
            descriptors: Most descriptors that it may open.
            max_connections: Configured limit; None to derive it.
        """
        free = max(0, descriptors - RESERVED_DESCRIPTORS)
        derived = max(MIN_CONNECTIONS, free // DESCRIPTORS_PER_REQUEST)
        return cls(max_connections or derived)


NO_LIMIT = ConnectionLimit(max_connections=sys.maxsize)


class LimitedConnection(Protocol):
    """What decisions need of a connection.

    Attributes:
        state: What it does.
        is_busy: Whether received bytes wait to be handled, or an answer to be sent.
    """

    state: ConnectionState

    @property
    def is_busy(self) -> bool: ...


C = TypeVar("C", bound=LimitedConnection)


class Worth(NamedTuple):
    """How much is lost if a connection is closed; the lowest goes first.

    Attributes:
        rank: Kind of loss.
        since: Monotonic time since which it has made no progress, in seconds.
    """

    rank: int
    since: float


def worth_of(connection: LimitedConnection, now: float) -> Worth | None:
    """Return the worth of a connection; None if it must stay open.

    Args:
        connection: The connection.
        now: Monotonic time in seconds.
    """
    state = connection.state
    if state.phase is Phase.BODY:
        return worth_of_body(connection, now)
    if connection.is_busy or state.phase is Phase.ANSWER:
        return None
    if state.phase is Phase.HEAD:
        return Worth(1, state.phase_since)
    return Worth(2 if state.requests else 0, state.phase_since)


def worth_of_body(connection: LimitedConnection, now: float) -> Worth | None:
    """Return the worth of a connection whose request's body is incomplete."""
    state = connection.state
    if not connection.is_busy and now - state.received_at >= NO_PROGRESS_S:
        return Worth(3, state.received_at)
    if now - state.phase_since >= SLOW_BODY_S:
        return Worth(4, state.phase_since)
    return None


def choose_closed(
    connections: Iterable[C], limit: ConnectionLimit, *, newest: C, now: float
) -> list[C]:
    """Return the connections to close, as there is one too many.

    Args:
        connections: All connections.
        limit: The limit.
        newest: The one that was opened last; it is closed if no other can be.
        now: Monotonic time in seconds.
    """
    ranked = [
        (worth, number, connection)
        for number, connection in enumerate(connections)
        if connection is not newest and (worth := worth_of(connection, now)) is not None
    ]
    count = max(1, int(CLOSED_AT_ONCE * limit.max_connections))
    chosen = [connection for _, _, connection in heapq.nsmallest(count, ranked)]
    return chosen or [newest]
