"""Cache events, published late and with gaps."""

import random
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

CACHE_EVENT_LAG_S = 0.5
CACHE_EVENT_LOSS = 0.02
_MOST_EVENTS = 10_000


class CacheEvent(NamedTuple):
    """A block stored or removed; a lost event leaves a gap in the numbers."""

    number: int
    kind: str
    block: str
    at: float


class CacheEvents:
    """The latest events of a prefix cache.

    Args:
        seed: Decides which events are lost.
        lag_s: How long an event stays unseen.
        loss: The share of events that are lost.
        clock: Source of monotonic seconds.
    """

    def __init__(
        self,
        *,
        seed: int,
        lag_s: float = CACHE_EVENT_LAG_S,
        loss: float = CACHE_EVENT_LOSS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.lag_s = lag_s
        self.loss = loss
        self._clock = clock
        self._random = random.Random(seed)
        self._number = 0
        self._events: deque[CacheEvent] = deque(maxlen=_MOST_EVENTS)

    def publish(self, kind: str, block: str) -> None:
        """Number an event and keep it, unless it is lost."""
        self._number += 1
        if self._random.random() >= self.loss:
            self._events.append(CacheEvent(self._number, kind, block, self._clock()))

    def since(self, number: int) -> list[CacheEvent]:
        """Return the events seen by now with a higher number."""
        until = self._clock() - self.lag_s
        return [
            event
            for event in self._events
            if event.number > number and event.at <= until
        ]
