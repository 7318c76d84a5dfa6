"""Decides which bodies of requests an entry receives.

The load that it answers: many callers whose bodies are large and stop short of their
end.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from skylarkdoord.entry._admission import WaitingQueue
from skylarkdoord.ingress import IncompleteBodies


class Reception:
    """A body that is being received.

    Args:
        receptions: All of them.
        tier: Rank of the request's tier.
        shed: Refuses the request.

    Attributes:
        size: Bytes that are reserved for it.
        is_large: No bodies share a lower bound.
    """

    is_large = False

    def __init__(
        self, receptions: "Receptions", tier: int, shed: Callable[[], None]
    ) -> None:
        self.receptions = receptions
        self.tier = tier
        self.shed = shed
        self.size = 0

    def grow_to(self, size: int) -> None:
        """Reserve bytes for the body, unless as many are reserved already.

        Raises:
            RefusedError: There is no room.
        """
        if size > self.size:
            self.receptions.reserve(self.tier, size - self.size)
            self.size = size

    def on_received(self, size: int) -> None:
        """Record that bytes of the body arrived."""
        self.receptions.incomplete.on_received(self, size)


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
        self.incomplete: IncompleteBodies[Reception] = IncompleteBodies(clock)

    @contextmanager
    def receive(self, tier: int, shed: Callable[[], None]) -> Iterator[Reception]:
        """Count a body while the context is open.

        Args:
            tier: Rank of the request's tier.
            shed: Refuses the request; called at most once.
        """
        reception = Reception(self, tier, shed)
        self.incomplete.add(reception)
        try:
            yield reception
        finally:
            self.release(reception)

    def reserve(self, tier: int, size: int) -> None:
        """Reserve further bytes; bodies that have stalled make room for them.

        Raises:
            RefusedError: There is no room.
        """
        stalled = self.incomplete.choose(
            self.waiting.excess(size), 0, may_choose=lambda body: body.tier >= tier
        )
        for reception in stalled:
            self.release(reception)
            reception.shed()
        self.waiting.reserve(tier, size)

    def release(self, reception: Reception) -> None:
        """Stop counting a body."""
        self.incomplete.remove(reception)
        self.waiting.receiving -= reception.size
        reception.size = 0
