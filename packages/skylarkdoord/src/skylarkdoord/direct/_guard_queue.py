"""The places of one upstream, given to the most important requests first."""

import heapq
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from skylarkdoord.direct._model import Precedence

Key = tuple[str, str]
# Share of an engine's places by which more requests are sent to it while others wait.
# One that waits inside begins as soon as another ends; without it a place stands empty
# until a grant and a connection have been made.
AHEAD_SHARE = 0.15


class Counts(NamedTuple):
    """How busy the upstream is.

    Attributes:
        running: Places that are taken.
        places: Places in all.
        waiting: Requests that wait.
    """

    running: int
    places: int
    waiting: int

    @property
    def is_full(self) -> bool:
        """Whether no place is free."""
        return self.running >= self.places


@dataclass(order=True)
class Offered:
    """A request that waits, in the order in which it is served."""

    precedence: Precedence
    number: int
    key: Key = field(compare=False)
    is_withdrawn: bool = field(default=False, compare=False)


class PlaceQueue:
    """Gives places to requests of all entries.

    Args:
        grant: Called with the stream and the request that get a place.
        clock: Monotonic time in seconds.

    Attributes:
        is_open: Whether places are given out.
        correction: How many more places are taken than granted.
        granted: When each place was granted, by who holds it.
    """

    def __init__(
        self,
        grant: Callable[[str, str], None],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.grant = grant
        self.clock = clock
        self.places = 0
        self.is_open = True
        self.correction = 0
        self.waiting: dict[Key, Offered] = {}
        self.queue: list[Offered] = []
        self.granted: dict[Key, float] = {}
        self.numbers = itertools.count()

    def counts(self) -> Counts:
        """Return how busy the upstream is."""
        places = self.places if self.is_open else 0
        return Counts(self.taken, places, len(self.waiting))

    @property
    def taken(self) -> int:
        """Places that are taken: those granted, as corrected by what really runs.

        Grants may end before the correction that allowed for them does.
        """
        return max(0, len(self.granted) + self.correction)

    def settled(self, age_s: float) -> int:
        """Return how many places were granted at least so many seconds ago."""
        latest = self.clock() - age_s
        return sum(since <= latest for since in self.granted.values())

    def set_open(self, is_open: bool) -> None:
        """Give out places, or none while the engine is down."""
        self.is_open = is_open
        self.pump()

    def correct(self, correction: int) -> None:
        """Set how many more places are taken than granted."""
        self.correction = correction
        self.pump()

    def resize(self, places: int) -> None:
        """Set how many requests may run at a time."""
        self.places = places
        self.pump()

    def offer(self, stream: str, request: str, precedence: Precedence) -> None:
        """Let a request wait for a place."""
        key = (stream, request)
        if key in self.waiting or key in self.granted:
            return
        offered = Offered(precedence, next(self.numbers), key)
        self.waiting[key] = offered
        heapq.heappush(self.queue, offered)
        self.pump()

    def withdraw(self, stream: str, request: str) -> None:
        """Drop a request that waits, or free the place that it holds."""
        key = (stream, request)
        offered = self.waiting.pop(key, None)
        if offered is not None:
            offered.is_withdrawn = True
        elif key in self.granted:
            del self.granted[key]
            self.pump()

    def drop_waiting(self, stream: str) -> list[str]:
        """Drop a stream's waiting requests; return those that hold places."""
        for key in [key for key in self.waiting if key[0] == stream]:
            self.waiting.pop(key).is_withdrawn = True
        return [request for holder, request in self.granted if holder == stream]

    def pump(self) -> None:
        """Give out what places there are."""
        most = self.places + int(AHEAD_SHARE * self.places)
        while self.is_open and self.queue and self.taken < most:
            offered = heapq.heappop(self.queue)
            if offered.is_withdrawn:
                continue
            del self.waiting[offered.key]
            self.granted[offered.key] = self.clock()
            self.grant(*offered.key)
