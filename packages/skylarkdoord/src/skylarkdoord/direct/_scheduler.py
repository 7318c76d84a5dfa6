"""Decides which request gets which upstream's place, and when.

Requests wait in one queue for each service, the most important tier first, those
that can still be on time before those that cannot, then by age. Each upstream
has as many places for this entry as its share of the upstream's slots.
"""

import asyncio
import heapq
import itertools
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoord.direct._model import Admitted
from skylarkdoord.direct._upstreams import Upstream, Upstreams
from skylarkdoord.direct.exceptions import NoRoomError

# Entries together may claim this much more than an upstream's slots, since the
# callers do not spread evenly over the entries.
OVERCOMMIT = 1.5
# Cost of another data centre, as a share of a busy upstream.
REMOTE_COST = 0.05
MIN_PATIENCE_S = 0.05


class Place(NamedTuple):
    """A place at an upstream, held by one request.

    Attributes:
        upstream: The upstream.
        waited_s: Time in the queue, in seconds.
    """

    upstream: Upstream
    waited_s: float


@dataclass(order=True)
class Waiter:
    """A request in the queue, in the order in which it is served."""

    rank: int
    is_late: bool
    number: int
    admitted: Admitted = field(compare=False)
    excluded: frozenset[str] = field(compare=False)
    since: float = field(compare=False)
    place: "asyncio.Future[Upstream]" = field(compare=False)


class Scheduler:
    """Gives places to requests.

    Args:
        upstreams: The upstreams in use.
        data_centre: Where this entry runs.
        live_entries: Returns how many entries share the upstreams.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        *,
        data_centre: str,
        live_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self.upstreams = upstreams
        self.data_centre = data_centre
        self.live_entries = live_entries
        self.queues: dict[str, list[Waiter]] = {}
        self.numbers = itertools.count()
        self.log = events.get_logger("direct.scheduler")
        upstreams.fleet.on_upstreams.append(self.pump_all)

    def places(self, upstream: Upstream) -> int:
        """Return how many requests of this entry may run there at once."""
        share = upstream.record.slots / max(1, self.live_entries())
        return max(1, math.ceil(share * OVERCOMMIT))

    def patience_s(self, admitted: Admitted) -> float:
        """Return how long a request may wait for a place, in seconds."""
        now = time.monotonic()
        on_time_s = admitted.on_time_until - now
        remaining_s = admitted.deadline - now
        target_s = admitted.route.target_latency_s
        if on_time_s > 0:
            return min(remaining_s, max(MIN_PATIENCE_S, on_time_s))
        return min(remaining_s, max(MIN_PATIENCE_S, target_s))

    async def acquire(
        self, admitted: Admitted, *, excluded: frozenset[str] = frozenset()
    ) -> Place:
        """Wait for a place.

        Raises:
            NoRoomError: None came free in time.
        """
        now = time.monotonic()
        waiter = Waiter(
            rank=admitted.rank,
            is_late=now > admitted.on_time_until,
            number=next(self.numbers),
            admitted=admitted,
            excluded=excluded,
            since=now,
            place=asyncio.get_running_loop().create_future(),
        )
        queue = self.queues.setdefault(admitted.service, [])
        heapq.heappush(queue, waiter)
        self.pump(admitted.service)
        try:
            async with asyncio.timeout(self.patience_s(admitted)):
                upstream = await waiter.place
        except TimeoutError:
            raise NoRoomError(
                "overloaded",
                "no upstream had room in time",
                retry_after_s=self.retry_after_s(admitted),
            ) from None
        finally:
            self.leave(waiter)
        return Place(upstream, time.monotonic() - now)

    def leave(self, waiter: Waiter) -> None:
        """Drop a request that no longer waits; a place it got unseen is freed."""
        if waiter.place.cancel():
            return
        if waiter.place.cancelled():
            queue = self.queues.get(waiter.admitted.service, [])
            if waiter in queue:
                queue.remove(waiter)
                heapq.heapify(queue)

    def retry_after_s(self, admitted: Admitted) -> float:
        """Return when a place is likely, in seconds."""
        return 1.0

    def release(self, upstream: Upstream) -> None:
        """Free a place and give it to who waits."""
        upstream.running -= 1
        self.pump(upstream.record.service)

    def pump_all(self) -> None:
        """Give out places of every service."""
        for service in list(self.queues):
            self.pump(service)

    def pump(self, service: str) -> None:
        """Give free places to the waiting requests in their order."""
        queue = self.queues.get(service)
        if not queue:
            return
        kept: list[Waiter] = []
        while queue:
            waiter = heapq.heappop(queue)
            if waiter.place.done():
                continue
            upstream = self.choose(waiter)
            if upstream is None:
                kept.append(waiter)
                if not waiter.excluded:
                    break
                continue
            upstream.running += 1
            waiter.place.set_result(upstream)
        for waiter in kept:
            heapq.heappush(queue, waiter)

    def choose(self, waiter: Waiter) -> Upstream | None:
        """Return the best upstream with a free place; None if all are full."""
        listed = self.upstreams.of_service(waiter.admitted.service)
        others = [one for one in listed if one.instance not in waiter.excluded]
        free = [
            upstream
            for upstream in self.upstreams.usable(others or listed)
            if upstream.running < self.places(upstream)
        ]
        return min(free, key=self.cost, default=None)

    def cost(self, upstream: Upstream) -> float:
        """Return how bad a choice the upstream is; lower is better."""
        busy = (upstream.running + 1) / max(1, upstream.record.slots)
        remote = upstream.record.data_centre != self.data_centre
        return busy * upstream.slowness + (REMOTE_COST if remote else 0.0)
