"""Requests that wait for a place, and how their queue moves."""

import asyncio
from dataclasses import dataclass, field
from typing import NamedTuple

from skylarkdoord.direct._guards import GuardLink
from skylarkdoord.direct._model import Admitted, Precedence
from skylarkdoord.direct._upstreams import Upstream

# For this long after a request waited in vain, others are taken to do so too.
RUSH_S = 0.4
# Requests that may wait ahead of one that joins during a rush.
MAX_AHEAD = 1


class Place(NamedTuple):
    """A place at an upstream, held by one request.

    Attributes:
        upstream: The upstream.
        waited_s: Time in the queue, in seconds.
        guard: Stream to the guard that granted it; None without a guard.
        request: The request's name on that stream.
    """

    upstream: Upstream
    waited_s: float
    guard: GuardLink | None
    request: str


@dataclass(order=True)
class Waiter:
    """A request in the queue, in the order in which it is served.

    Attributes:
        precedence: Its tier and what else decides who goes first.
        number: Order of arrival at this entry.
        admitted: The request.
        excluded: Upstreams that it was sent to before.
        since: Monotonic time from which it waits, in seconds.
        patience_s: How long it may wait, in seconds.
        place: The place, once it has one.
        is_long: Whether its answer is long for its tier.
        asked: Guards that hold an offer of it.
    """

    precedence: Precedence
    number: int
    admitted: Admitted = field(compare=False)
    excluded: frozenset[str] = field(compare=False)
    since: float = field(compare=False)
    patience_s: float = field(compare=False)
    place: "asyncio.Future[Granted]" = field(compare=False)
    is_long: bool = field(default=False, compare=False)
    asked: list[GuardLink] = field(default_factory=list, compare=False)

    @property
    def name(self) -> str:
        """The request's name on streams to guards."""
        return str(self.number)

    @property
    def rank(self) -> int:
        """Its tier; 0 is the most important."""
        return self.precedence.tier

    @property
    def is_granted(self) -> bool:
        """Whether it has a place."""
        return self.place.done() and not self.place.cancelled()


class Granted(NamedTuple):
    """An upstream's place for a waiting request.

    Attributes:
        upstream: The upstream.
        guard: Stream to the guard that granted it; None without a guard.
    """

    upstream: Upstream
    guard: GuardLink | None = None


class Flow:
    """How the queue of one service moves.

    Attributes:
        waiting: Requests that wait, by number.
        gave_up_at: Monotonic time, in seconds, at which a request of each
            precedence last found no place in time.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, Waiter] = {}
        self.gave_up_at: dict[Precedence, float] = {}

    def join(self, waiter: Waiter) -> None:
        """Count a request that waits."""
        self.waiting[waiter.number] = waiter

    def leave(self, waiter: Waiter) -> bool:
        """Drop a request that no longer waits; returns whether it still did."""
        return self.waiting.pop(waiter.number, None) is not None

    def give_up(self, waiter: Waiter, now: float) -> None:
        """Note that a request found no place in time."""
        self.gave_up_at[waiter.precedence] = now

    def is_hopeless(self, waiter: Waiter, now: float) -> bool:
        """Return whether a request would wait in vain.

        It would where others that go no later just did, and some still wait ahead
        of it.
        """
        since = now - RUSH_S
        if not any(
            other <= waiter.precedence and at > since
            for other, at in self.gave_up_at.items()
        ):
            return False
        return self.ahead(waiter) >= MAX_AHEAD

    def ahead(self, waiter: Waiter) -> int:
        """Return how many waiting requests are served before this one."""
        return sum(other < waiter for other in self.waiting.values())
