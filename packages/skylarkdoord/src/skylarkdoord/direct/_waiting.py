"""Requests that wait for an upstream slot, and the overload state of their queue."""

import asyncio
from dataclasses import dataclass, field
from typing import NamedTuple

from skylarkdoord.direct._guards import GuardLink
from skylarkdoord.direct._model import Admitted, Precedence
from skylarkdoord.direct._upstreams import Upstream
from skylarkdoord.direct.rollouts import Versions

# Time after a queue timeout during which a queue counts as overloaded.
OVERLOAD_WINDOW_S = 0.4
# During overload, a new request is refused if this many others are ahead of it.
OVERLOAD_MIN_AHEAD = 1


class Slot(NamedTuple):
    """Capacity at an upstream that one request occupies.

    Attributes:
        upstream: The upstream.
        waited_s: Time in the queue, in seconds.
        guard: Stream to the guard that granted the slot; None without a guard.
        request: The request's name on that stream.
    """

    upstream: Upstream
    waited_s: float
    guard: GuardLink | None
    request: str


@dataclass(order=True)
class Waiter:
    """A request in the queue; sorts in queue order.

    Attributes:
        precedence: Tier and other properties that decide the queue order.
        number: Sequence number of its arrival at this entry.
        admitted: The request.
        excluded: Instances to which the request was sent before.
        since: Monotonic time at which it was queued, in seconds.
        queue_timeout_s: Longest time in the queue, in seconds.
        slot: Future of the grant; cancelled if the request stops waiting without one.
        is_long: Whether its answer is long for its tier.
        versions: Versions of the upstreams that may take it.
        is_bound: Whether it goes on with a stream, so that its version stays.
        offered_to: Guards to which the request is offered.
    """

    precedence: Precedence
    number: int
    admitted: Admitted = field(compare=False)
    excluded: frozenset[str] = field(compare=False)
    since: float = field(compare=False)
    queue_timeout_s: float = field(compare=False)
    slot: "asyncio.Future[SlotGrant]" = field(compare=False)
    is_long: bool = field(default=False, compare=False)
    versions: Versions = field(default=Versions(), compare=False)
    is_bound: bool = field(default=False, compare=False)
    offered_to: list[GuardLink] = field(default_factory=list, compare=False)

    @property
    def name(self) -> str:
        """The request's name on streams to guards."""
        return str(self.number)

    @property
    def rank(self) -> int:
        """Tier of the request; 0 is the most important."""
        return self.precedence.tier

    @property
    def is_granted(self) -> bool:
        """Whether the request was granted a slot."""
        return self.slot.done() and not self.slot.cancelled()


class SlotGrant(NamedTuple):
    """The grant of an upstream slot to a waiting request.

    Attributes:
        upstream: The upstream.
        guard: Stream to the guard that granted the slot; None without a guard.
    """

    upstream: Upstream
    guard: GuardLink | None = None


class QueueState:
    """Waiting requests of one service and its recent queue timeouts.

    Attributes:
        waiting: Waiting requests, by number.
        timed_out_at: Monotonic time of the latest queue timeout, in seconds, by
            precedence of the request.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, Waiter] = {}
        self.timed_out_at: dict[Precedence, float] = {}

    def add(self, waiter: Waiter) -> None:
        """Add a waiting request."""
        self.waiting[waiter.number] = waiter

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request and return whether it was waiting."""
        return self.waiting.pop(waiter.number, None) is not None

    def record_timeout(self, waiter: Waiter, now: float) -> None:
        """Record the queue timeout of a request."""
        self.timed_out_at[waiter.precedence] = now

    def would_time_out(self, waiter: Waiter, now: float) -> bool:
        """Return whether a request would likely reach its queue timeout.

        This is assumed if a request of the same or a higher precedence timed out
        recently and other requests still wait ahead of this one.
        """
        since = now - OVERLOAD_WINDOW_S
        if not any(
            other <= waiter.precedence and at > since
            for other, at in self.timed_out_at.items()
        ):
            return False
        return self.ahead(waiter) >= OVERLOAD_MIN_AHEAD

    def ahead(self, waiter: Waiter) -> int:
        """Return how many waiting requests are served before this one."""
        return sum(other < waiter for other in self.waiting.values())
