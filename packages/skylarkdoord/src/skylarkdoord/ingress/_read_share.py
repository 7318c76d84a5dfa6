"""Decides whose received bytes are handled next, and how many in one pass.

The load that it answers: callers whose bytes are expensive to handle, at an entry whose
event loop also has to hear the store, other entries and ordinary callers.
"""

import heapq
from typing import Generic, Protocol, TypeVar

# Time for callers' bytes in one pass of the event loop; then the store, other entries
# and timers have their turn.
PASS_LIMIT_S = 0.002


class Reader(Protocol):
    """What decisions need of a connection.

    Attributes:
        virtual_s: Time that its bytes have taken, counted from no less than that of
            the connections beside it, in seconds.
        is_waiting: Whether received bytes wait for their turn.
    """

    virtual_s: float
    is_waiting: bool


R = TypeVar("R", bound=Reader)


class ReadShare(Generic[R]):
    """Gives connections turns, those first whose bytes have taken least time.

    A connection that was quiet gains no credit for that. While there is time in a pass,
    nothing waits.

    Args:
        limit_s: Time for received bytes in one pass of the event loop, in seconds.

    Attributes:
        spent_s: Time spent on received bytes so far, in seconds.
        pass_s: The same in this pass.
        floor_s: Virtual time of the turn given last, in seconds.
        queue: Connections that wait, with their virtual time and their place among
            those of the same time.
    """

    def __init__(self, limit_s: float = PASS_LIMIT_S) -> None:
        self.limit_s = limit_s
        self.spent_s = 0.0
        self.pass_s = 0.0
        self.floor_s = 0.0
        self.queued = 0
        self.queue: list[tuple[float, int, R]] = []

    @property
    def is_behind(self) -> bool:
        """Whether received bytes wait."""
        return bool(self.queue)

    def begin_pass(self) -> None:
        """Begin a pass of the event loop."""
        self.pass_s = 0.0

    def has_time(self) -> bool:
        """Return whether further bytes may be handled in this pass."""
        return self.pass_s < self.limit_s

    def wait(self, reader: R) -> None:
        """Let a connection wait for its turn."""
        reader.is_waiting = True
        reader.virtual_s = max(reader.virtual_s, self.floor_s)
        self.queued += 1
        heapq.heappush(self.queue, (reader.virtual_s, self.queued, reader))

    def leave(self, reader: R) -> None:
        """Give up a turn, as the connection is closed."""
        reader.is_waiting = False

    def next_turn(self) -> R | None:
        """Return whose turn it is in this pass; None if nothing waits or time is up."""
        while self.queue and self.has_time():
            virtual_s, _, reader = heapq.heappop(self.queue)
            if reader.is_waiting:
                reader.is_waiting = False
                self.floor_s = max(self.floor_s, virtual_s)
                return reader
        return None

    def on_handled(self, reader: R, took_s: float) -> None:
        """Charge a connection for the time that its bytes took, in seconds."""
        self.spent_s += took_s
        self.pass_s += took_s
        reader.virtual_s = max(reader.virtual_s, self.floor_s) + took_s
        if not self.queue:
            self.floor_s = reader.virtual_s
