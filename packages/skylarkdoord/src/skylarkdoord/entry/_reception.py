"""Decides which bodies of requests an entry receives.

The load that it answers: many callers whose bodies are large and stop short of their
end.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from skylarkdoord.entry._admission import WaitingQueue

# A body of which nothing has arrived for this time makes room for others.
STALLED_S = 1.0


class Reception:
    """A body that is being received.

    Args:
        receptions: All of them.
        tier: Rank of the request's tier.
        shed: Refuses the request.
        now: Monotonic time, in seconds.

    Attributes:
        size: Bytes that are reserved for it.
        progress_at: Monotonic time at which bytes last arrived, in seconds.
    """

    def __init__(
        self,
        receptions: "Receptions",
        tier: int,
        shed: Callable[[], None],
        now: float,
    ) -> None:
        self.receptions = receptions
        self.tier = tier
        self.shed = shed
        self.size = 0
        self.progress_at = now

    def grow_to(self, size: int) -> None:
        """Reserve bytes for the body, unless as many are reserved already.

        Raises:
            RefusedError: There is no room.
        """
        self.progress_at = self.receptions.clock()
        if size > self.size:
            self.receptions.reserve(self.tier, size - self.size)
            self.size = size


class Receptions:
    """The bodies that are being received, bounded together with those that wait.

    Args:
        waiting: The requests that wait for dispatch.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self, waiting: WaitingQueue, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.waiting = waiting
        self.clock = clock
        self.receptions: dict[Reception, None] = {}

    @contextmanager
    def receive(self, tier: int, shed: Callable[[], None]) -> Iterator[Reception]:
        """Count a body while the context is open.

        Args:
            tier: Rank of the request's tier.
            shed: Refuses the request; called at most once.
        """
        reception = Reception(self, tier, shed, self.clock())
        self.receptions[reception] = None
        try:
            yield reception
        finally:
            self.release(reception)

    def reserve(self, tier: int, size: int) -> None:
        """Reserve further bytes; bodies that have stalled make room for them.

        Raises:
            RefusedError: There is no room.
        """
        while not self.waiting.has_room(size):
            stalled = self.find_stalled(tier)
            if stalled is None:
                break
            self.release(stalled)
            stalled.shed()
        self.waiting.reserve(tier, size)

    def release(self, reception: Reception) -> None:
        """Stop counting a body."""
        if reception in self.receptions:
            del self.receptions[reception]
            self.waiting.receiving -= reception.size

    def find_stalled(self, tier: int) -> Reception | None:
        """Return the body that has been stalled longest, of this tier or lower."""
        latest = self.clock() - STALLED_S
        stalled = [
            reception
            for reception in self.receptions
            if reception.size
            and reception.tier >= tier
            and reception.progress_at <= latest
        ]
        return min(stalled, key=lambda one: one.progress_at, default=None)
