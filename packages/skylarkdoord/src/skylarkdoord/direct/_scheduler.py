"""Decides which request gets which upstream's place, and when.

Requests wait in one queue for each service, the most important tier first, those
that can still be on time before those that cannot, then by age. An upstream with
a guard is asked for a place; one without has as many places for this entry as its
share of the upstream's slots.
"""

import asyncio
import hashlib
import heapq
import itertools
import math
import random
import time
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._guards import GuardLink
from skylarkdoord.direct._lengths import Lengths
from skylarkdoord.direct._metrics import RUNNING, WAITING
from skylarkdoord.direct._model import MS_PER_S, Admitted, Precedence, UpstreamRecord
from skylarkdoord.direct._upstreams import Upstream, Upstreams
from skylarkdoord.direct._waiting import Flow, Granted, Place, Waiter
from skylarkdoord.direct.exceptions import NoRoomError

# Entries together may claim this much more than an upstream's slots, since the
# callers do not spread evenly over the entries.
OVERCOMMIT = 1.5
# Places of an entry at all the upstreams of a service that has no guards.
MIN_PLACES = 4
# Cost of another data centre, as a share of a busy upstream.
REMOTE_COST = 0.05
# Cost of an upstream all of whose answers are errors, in the same measure.
FAILURE_COST = 10.0
DRAW_BYTES = 8
MIN_PATIENCE_S = 0.05
# A request that is late already waits for this share of the time that is left.
LATE_PATIENCE_SHARE = 0.35
# And no longer, since it may be better served elsewhere or not at all.
MAX_LATE_PATIENCE_S = 2.5
# Callers wait as told up to this share of the time that they have left.
RETURN_SHARE = 1 / 3
MAX_RETURN_S = 3.0
# The best guard answers within a round trip; then the others are asked too.
HEAD_START_S = 0.008
# Guards that hold an offer of the same request at a time.
MAX_OFFERS = 6


class Scheduler:
    """Gives places to requests.

    Args:
        upstreams: The upstreams in use.
        instance: Name of this entry.
        data_centre: Where it runs.
        live_entries: Returns how many entries share the upstreams.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        *,
        data_centre: str,
        instance: str = "",
        live_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self.upstreams = upstreams
        self.data_centre = data_centre
        self.instance = instance
        self.live_entries = live_entries
        self.guard_of: Callable[[UpstreamRecord], GuardLink | None] = lambda _: None
        self.asking: dict[str, Waiter] = {}
        self.queues: dict[str, list[Waiter]] = {}
        self.flows: dict[str, Flow] = {}
        self.lengths = Lengths()
        self.numbers = itertools.count()
        self.log = events.get_logger("direct.scheduler")
        upstreams.fleet.on_upstreams.append(self.pump_all)

    def places(self, upstream: Upstream) -> int:
        """Return how many requests of this entry may run there at once.

        Where there are more entries than places, each entry has one at some of
        the upstreams: one place each at all of them would overfill every one.
        """
        share = upstream.record.slots / max(1, self.live_entries()) * OVERCOMMIT
        if share >= 1.0:
            return math.ceil(share)
        return int(self.draw(upstream) < share)

    def draw(self, upstream: Upstream) -> float:
        """Return a number from 0 to 1 that is fixed for this entry and upstream."""
        name = f"{self.instance} {upstream.instance}".encode()
        digest = hashlib.blake2b(name, digest_size=DRAW_BYTES).digest()
        return int.from_bytes(digest) / 256**DRAW_BYTES

    def spare_s(self, admitted: Admitted, now: float) -> float:
        """Return how long a request can wait and still be on time, in seconds."""
        first_s = self.upstreams.expected_first_s(admitted.service)
        return admitted.on_time_until - first_s - now

    def is_late(self, admitted: Admitted, now: float) -> bool:
        """Return whether a request can't be on time, even if it were sent now."""
        return self.spare_s(admitted, now) <= 0.0

    def patience_s(self, admitted: Admitted, now: float) -> float:
        """Return how long a request may wait for a place, in seconds.

        One that can be on time waits only as long as it still can.
        """
        left_s = admitted.deadline - now
        patience_s = self.spare_s(admitted, now)
        if self.is_late(admitted, now):
            patience_s = min(MAX_LATE_PATIENCE_S, LATE_PATIENCE_SHARE * left_s)
        return min(left_s, max(MIN_PATIENCE_S, patience_s))

    async def acquire(
        self, admitted: Admitted, *, excluded: frozenset[str] = frozenset()
    ) -> Place:
        """Wait for a place.

        Raises:
            NoRoomError: None came free in time.
        """
        waiter = self.new_waiter(admitted, excluded)
        queue = self.queues.setdefault(admitted.service, [])
        heapq.heappush(queue, waiter)
        self.asking[waiter.name] = waiter
        self.flow(admitted.service).join(waiter)
        WAITING.labels(admitted.service).inc()
        self.pump(admitted.service)
        self.ask(waiter)
        flow = self.flow(admitted.service)
        if not waiter.place.done() and flow.is_hopeless(waiter, waiter.since):
            self.leave(waiter)
            raise self.no_room(waiter, "others just waited in vain")
        try:
            async with asyncio.timeout(waiter.patience_s):
                await waiter.place
        except TimeoutError:
            if not waiter.is_granted:
                flow.give_up(waiter, time.monotonic())
                raise self.no_room(waiter, "no upstream had room in time") from None
        except asyncio.CancelledError:
            # A place may have come just as the caller left.
            if waiter.is_granted:
                self.release(self.place_of(waiter))
            raise
        finally:
            self.leave(waiter)
        self.lengths.note(admitted, is_long=waiter.is_long, is_served=True)
        return self.place_of(waiter)

    def new_waiter(self, admitted: Admitted, excluded: frozenset[str]) -> Waiter:
        """Return a request as it joins the queue."""
        now = time.monotonic()
        is_long = self.lengths.is_long(admitted)
        return Waiter(
            precedence=Precedence(
                admitted.rank,
                is_late=self.is_late(admitted, now),
                is_long=self.lengths.goes_last(admitted, is_long=is_long),
            ),
            number=next(self.numbers),
            admitted=admitted,
            excluded=excluded,
            since=now,
            patience_s=self.patience_s(admitted, now),
            place=asyncio.get_running_loop().create_future(),
            is_long=is_long,
        )

    def place_of(self, waiter: Waiter) -> Place:
        """Return the place that a request was granted."""
        granted = waiter.place.result()
        waited_s = time.monotonic() - waiter.since
        return Place(granted.upstream, waited_s, granted.guard, waiter.name)

    def leave(self, waiter: Waiter) -> None:
        """Drop a request that no longer waits, and its open offers."""
        waiter.place.cancel()
        self.asking.pop(waiter.name, None)
        if self.flow(waiter.admitted.service).leave(waiter):
            WAITING.labels(waiter.admitted.service).dec()
        taken = waiter.place.result().guard if waiter.is_granted else None
        for guard in waiter.asked:
            if guard is not taken:
                guard.withdraw(waiter.name)
        if waiter.place.cancelled():
            queue = self.queues.get(waiter.admitted.service, [])
            if waiter in queue:
                queue.remove(waiter)
                heapq.heapify(queue)

    def ask(self, waiter: Waiter) -> None:
        """Offer a request to the best guard with room, soon to some others too."""
        if waiter.place.done():
            return
        guards = self.guards(waiter)
        best = next((guard for guard in guards if guard.room > 0), None)
        if best is None:
            self.ask_some(waiter)
            return
        self.offer(waiter, best)
        loop = asyncio.get_running_loop()
        loop.call_later(HEAD_START_S, self.ask_some, waiter)

    def ask_some(self, waiter: Waiter) -> None:
        """Offer a request to more guards: those with room, then any.

        Each further offer may be granted in vain and hold a place for a round
        trip, so there are few; drawing them spreads the requests.
        """
        if waiter.place.done():
            return
        others = [one for one in self.guards(waiter) if one not in waiter.asked]
        others.sort(key=lambda guard: (guard.room <= 0, random.random()))
        for guard in others[: MAX_OFFERS - len(waiter.asked)]:
            self.offer(waiter, guard)
        self.note_queued(waiter)

    def note_queued(self, waiter: Waiter) -> None:
        """Log that a request waits, and what decides how long."""
        now = time.monotonic()
        ages = [now - guard.load_at for guard in waiter.asked]
        self.log.event(
            _events.REQUEST_QUEUED,
            request_id=waiter.admitted.request.request_id,
            service=waiter.admitted.service,
            rank=waiter.rank,
            is_late=waiter.precedence.is_late,
            is_long=waiter.precedence.is_long,
            patience_ms=round(waiter.patience_s * MS_PER_S),
            ahead=self.flow(waiter.admitted.service).ahead(waiter),
            guards=len(waiter.asked),
            load_age_ms=round(min(ages, default=0.0) * MS_PER_S),
        )

    def offer(self, waiter: Waiter, guard: GuardLink) -> None:
        """Ask one guard for a place."""
        waiter.asked.append(guard)
        guard.offer(waiter.name, waiter.precedence)

    def guards(self, waiter: Waiter) -> list[GuardLink]:
        """Return the guards that may be asked, the best first."""
        ranked = []
        for upstream in self.candidates(waiter):
            guard = self.guard_of(upstream.record)
            if guard is not None and guard.is_connected:
                ranked.append((self.cost(upstream, guard.running), guard))
        ranked.sort(key=lambda pair: pair[0])
        return [guard for _, guard in ranked]

    def on_grant(self, guard: GuardLink, request: str) -> None:
        """Take the first grant; give back any other."""
        waiter = self.asking.get(request)
        if waiter is None or waiter.place.done():
            guard.withdraw(request)
            return
        upstream = self.upstreams.get(guard.record)
        self.hold(upstream)
        waiter.place.set_result(Granted(upstream, guard))

    def on_guard_lost(self, guard: GuardLink) -> None:
        """Serve the upstream without its guard from now on."""
        for waiter in self.asking.values():
            if guard in waiter.asked:
                waiter.asked.remove(guard)
        self.pump(guard.record.service)

    def on_guard_found(self, guard: GuardLink) -> None:
        """Offer what waits to a guard that was just reached."""
        for waiter in list(self.asking.values()):
            if waiter.admitted.service == guard.record.service:
                self.ask_some(waiter)

    def flow(self, service: str) -> Flow:
        """Return how a service's queue moves."""
        return self.flows.setdefault(service, Flow())

    def no_room(self, waiter: Waiter, reason: str) -> NoRoomError:
        """Return the refusal of a request, with a time at which to come back.

        Callers come back spread out, when the present rush may have passed.
        """
        admitted = waiter.admitted
        self.lengths.note(admitted, is_long=waiter.is_long, is_served=False)
        flow = self.flow(admitted.service)
        waited_ms = round((time.monotonic() - waiter.since) * MS_PER_S)
        message = (
            f"{reason}: waited {waited_ms} ms, {flow.ahead(waiter)} ahead of it, "
            f"{len(waiter.asked)} guards asked"
        )
        most_s = min(MAX_RETURN_S, RETURN_SHARE * admitted.remaining_s())
        retry_after_s = most_s * random.uniform(0.5, 1.0)
        return NoRoomError("overloaded", message, retry_after_s=retry_after_s)

    def hold(self, upstream: Upstream) -> None:
        """Count a place as taken."""
        upstream.running += 1
        RUNNING.labels(upstream.record.service).inc()

    def release(self, place: Place) -> None:
        """Free a place and give it to who waits."""
        place.upstream.running -= 1
        RUNNING.labels(place.upstream.record.service).dec()
        if place.guard is not None:
            place.guard.withdraw(place.request)
        else:
            self.pump(place.upstream.record.service)

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
            self.hold(upstream)
            waiter.place.set_result(Granted(upstream))
        for waiter in kept:
            heapq.heappush(queue, waiter)

    def candidates(self, waiter: Waiter) -> list[Upstream]:
        """Return the upstreams that may take a request."""
        listed = self.upstreams.of_service(waiter.admitted.service)
        others = [one for one in listed if one.instance not in waiter.excluded]
        return self.upstreams.usable(others or listed)

    def choose(self, waiter: Waiter) -> Upstream | None:
        """Return the best upstream without a guard that has a free place.

        An entry whose share comes to next to nothing has one place at each, or
        its requests would wait for each other beside idle upstreams.
        """
        candidates = self.candidates(waiter)
        unguarded = [one for one in candidates if self.guard_of(one.record) is None]
        places = [self.places(upstream) for upstream in unguarded]
        is_short = sum(places) < MIN_PLACES and len(unguarded) == len(candidates)
        least = 1 if is_short else 0
        free = [
            upstream
            for upstream, most in zip(unguarded, places, strict=True)
            if upstream.running < max(least, most)
        ]
        return min(free, key=lambda one: self.cost(one, one.running), default=None)

    def cost(self, upstream: Upstream, running: int) -> float:
        """Return how bad a choice the upstream is; lower is better."""
        busy = (running + 1) / max(1, upstream.record.slots)
        remote = upstream.record.data_centre != self.data_centre
        avoided = FAILURE_COST * self.upstreams.excess_failures(upstream)
        distance = REMOTE_COST if remote else 0.0
        return upstream.slowness * (1.0 + busy) + avoided + distance
