"""Simulated event feed of a prefix cache, with delay and lost events."""

import random
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

CACHE_EVENT_LAG_S = 0.5
CACHE_EVENT_LOSS_RATIO = 0.02
_MAX_EVENTS = 10_000


class CacheEvent(NamedTuple):
    """A block stored in the cache or removed from it.

    Attributes:
        number: The event's number. Events are numbered consecutively; a lost event
            leaves a gap in the numbers.
        kind: ``stored`` or ``removed``.
        block: The hash of the block.
        at: The monotonic time of the event, in seconds.
    """

    number: int
    kind: str
    block: str
    at: float


class CacheEvents:
    """The most recent events of a prefix cache.

    Args:
        seed: Seed of the random choice of lost events.
        lag_s: The delay before an event is visible to readers, in seconds.
        loss_ratio: The share of events that are lost, from 0 to 1.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        seed: int,
        lag_s: float = CACHE_EVENT_LAG_S,
        loss_ratio: float = CACHE_EVENT_LOSS_RATIO,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.lag_s = lag_s
        self.loss_ratio = loss_ratio
        self._clock = clock
        self._random = random.Random(seed)
        self._number = 0
        self._events: deque[CacheEvent] = deque(maxlen=_MAX_EVENTS)

    def publish(self, kind: str, block: str) -> None:
        """Assign the next number to an event and store it, unless it is lost."""
        self._number += 1
        if self._random.random() >= self.loss_ratio:
            self._events.append(CacheEvent(self._number, kind, block, self._clock()))

    def since(self, number: int) -> list[CacheEvent]:
        """Return the visible events whose numbers are higher than the given one."""
        visible_until = self._clock() - self.lag_s
        return [
            event
            for event in self._events
            if event.number > number and event.at <= visible_until
        ]
