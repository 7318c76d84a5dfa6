"""Decides which incomplete bodies give up their bytes for other callers.

The load that it answers: many callers that send most of a body of legal size, stop
short of its end and stay connected.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

# Time without progress after which a body may be given up for others, in seconds.
STALLED_S = 1.0
# Bytes that count as progress.
PROGRESS_BYTES = 1024


class Body(Protocol):
    """What decisions need of a body."""

    @property
    def size(self) -> int:
        """Bytes that it holds."""

    @property
    def is_large(self) -> bool:
        """Whether it belongs to those that share a bound."""


B = TypeVar("B", bound=Body)


@dataclass(slots=True)
class _Progress:
    since: float
    received: int
    counted: int


class IncompleteBodies(Generic[B]):
    """Bodies that are being received, those first that wait for longest.

    Args:
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.bodies: dict[B, _Progress] = {}

    def __len__(self) -> int:
        return len(self.bodies)

    def add(self, body: B) -> None:
        """Add a body that begins."""
        self.bodies[body] = _Progress(self.clock(), 0, 0)

    def on_received(self, body: B, size: int) -> None:
        """Count bytes of a body; few of them are no progress."""
        progress = self.bodies.get(body)
        if progress is None:
            return
        progress.received += size
        if progress.received - progress.counted >= PROGRESS_BYTES:
            progress.counted = progress.received
            progress.since = self.clock()
            self.bodies[body] = self.bodies.pop(body)

    def remove(self, body: B) -> None:
        """Remove a body that is complete or given up."""
        self.bodies.pop(body, None)

    def choose(
        self,
        more: int,
        more_large: int,
        *,
        may_choose: Callable[[B], bool] = lambda body: True,
    ) -> list[B]:
        """Return stalled bodies to give up, those first that wait for longest.

        Args:
            more: Bytes to free.
            more_large: Bytes of large bodies to free.
            may_choose: Returns whether a body may be given up.

        Returns:
            None of them if all together don't free as many bytes.
        """
        now = self.clock()
        chosen: list[B] = []
        for body, progress in self.bodies.items():
            if now - progress.since < STALLED_S or (more <= 0 and more_large <= 0):
                break
            if (more > 0 or body.is_large) and may_choose(body):
                chosen.append(body)
                more -= body.size
                more_large -= body.size if body.is_large else 0
        return chosen if more <= 0 and more_large <= 0 else []
