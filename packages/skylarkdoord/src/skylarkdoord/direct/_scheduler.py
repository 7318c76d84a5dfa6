"""Assigns upstream slots to waiting requests.

Requests wait in one queue per service, ordered by tier, then by whether they can
still meet the latency target, then short answers before long ones, then by age. Slots
of an upstream with a guard are granted by the guard. Of an upstream without a guard,
this entry uses its share of the slots.
"""

import asyncio
import heapq
import itertools
import random
import time
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._choice import ANY_VERSION, UpstreamChoice
from skylarkdoord.direct._guards import GuardLink
from skylarkdoord.direct._lengths import AnswerLengths
from skylarkdoord.direct._metrics import RUNNING, WAITING
from skylarkdoord.direct._model import MS_PER_S, Admitted, Precedence
from skylarkdoord.direct._upstream_limits import UpstreamLimits
from skylarkdoord.direct._upstreams import Upstream, Upstreams
from skylarkdoord.direct._waiting import QueueState, Slot, SlotGrant, Waiter
from skylarkdoord.direct.exceptions import NoFreeSlotError, VersionGoneError
from skylarkdoord.direct.rollouts import Versions

MIN_QUEUE_TIMEOUT_S = 0.05
# Queue timeout of a request that can't meet its latency target, as a share of the time
# until its deadline.
LATE_QUEUE_TIMEOUT_SHARE = 0.35
# Upper limit of that timeout. After it, a retry elsewhere or a refusal is better for
# the caller.
MAX_LATE_QUEUE_TIMEOUT_S = 2.5
# Longest retry delay, as a share of the time until the request's deadline. Callers do
# not observe longer ones.
RETRY_DELAY_SHARE = 1 / 3
MAX_RETRY_DELAY_S = 3.0
# Time after which a request is offered to further guards. The best guard usually grants
# a slot within one round trip.
FANOUT_DELAY_S = 0.008
# Largest number of guards to which a request is offered at the same time.
MAX_OFFERS = 6


class Scheduler:
    """Queues requests and assigns upstream slots to them.

    Args:
        upstreams: The upstreams in use.
        instance: Name of this entry.
        data_centre: Data centre of this entry.
        live_entries: Returns how many entries share the upstreams.
        limits: Limits on requests that upstreams named.

    Attributes:
        choice: Chooses the upstreams.
        waiters: Requests that wait for a slot, by their names on streams to guards.
        queues: Heap of waiting requests, by service.
        rechecks: Services whose waiting requests are looked at again once a limit of
            an upstream has room.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        *,
        data_centre: str,
        instance: str = "",
        live_entries: Callable[[], int] = lambda: 1,
        limits: UpstreamLimits | None = None,
    ) -> None:
        self.upstreams = upstreams
        self.limits = limits or UpstreamLimits(instance)
        self.choice = UpstreamChoice(
            upstreams,
            self.limits,
            instance=instance,
            data_centre=data_centre,
            live_entries=live_entries,
        )
        self.rechecks: set[str] = set()
        self.waiters: dict[str, Waiter] = {}
        self.queues: dict[str, list[Waiter]] = {}
        self.queue_states: dict[str, QueueState] = {}
        self.lengths = AnswerLengths()
        self.numbers = itertools.count()
        self.log = events.get_logger("direct.scheduler")
        upstreams.fleet.on_upstreams.append(self.assign_all_slots)
        upstreams.on_accepting = self.on_accepting

    def slack_s(self, admitted: Admitted, now: float) -> float:
        """Return how long a request can wait within its latency target, in seconds."""
        first_byte_s = self.upstreams.average_first_byte_s(admitted.service)
        return admitted.first_byte_due - first_byte_s - now

    def is_late(self, admitted: Admitted, now: float) -> bool:
        """Return whether a request would miss its latency target even if sent now."""
        return self.slack_s(admitted, now) <= 0.0

    def queue_timeout_s(self, admitted: Admitted, now: float) -> float:
        """Return how long a request may wait for a slot, in seconds.

        A request that can meet its latency target waits until it no longer can.
        """
        remaining_s = admitted.deadline - now
        timeout_s = self.slack_s(admitted, now)
        if self.is_late(admitted, now):
            timeout_s = min(
                MAX_LATE_QUEUE_TIMEOUT_S, LATE_QUEUE_TIMEOUT_SHARE * remaining_s
            )
        return min(remaining_s, max(MIN_QUEUE_TIMEOUT_S, timeout_s))

    async def acquire(
        self,
        admitted: Admitted,
        *,
        excluded: frozenset[str] = frozenset(),
        version: str | None = None,
        versions: Versions = ANY_VERSION,
    ) -> Slot:
        """Wait for a slot.

        Args:
            admitted: The request.
            excluded: Instances to avoid if the service has others.
            version: Version of the upstreams that may go on with its stream; None for
                any.
            versions: Versions of the upstreams that may take a new request.

        Raises:
            VersionGoneError: No upstream of the version is left.
            NoFreeSlotError: No slot was free within the request's queue timeout, or the
                service is overloaded.
        """
        if version is not None and not self.choice.has_version(
            admitted.service, version
        ):
            raise VersionGoneError(
                "version_gone", f"no upstream of version {version!r} is left"
            )
        none_accepting_s = self.upstreams.none_accepting_s(admitted.service)
        if none_accepting_s is not None:
            raise NoFreeSlotError(
                "unavailable",
                "no upstream accepts requests",
                retry_after_s=none_accepting_s,
            )
        waiter = self.new_waiter(admitted, excluded)
        waiter.versions = versions if version is None else Versions(only=version)
        waiter.is_bound = version is not None
        queue = self.queues.setdefault(admitted.service, [])
        heapq.heappush(queue, waiter)
        self.waiters[waiter.name] = waiter
        self.queue_state(admitted.service).add(waiter)
        WAITING.labels(admitted.service).inc()
        self.assign_slots(admitted.service)
        self.offer_to_best(waiter)
        self.recheck_limits(admitted.service)
        state = self.queue_state(admitted.service)
        if not waiter.slot.done() and state.would_time_out(waiter, waiter.since):
            self.dequeue(waiter)
            raise self.overload_error(waiter, "the queue is overloaded")
        try:
            async with asyncio.timeout(waiter.queue_timeout_s):
                await waiter.slot
        except TimeoutError:
            if not waiter.is_granted:
                state.record_timeout(waiter, time.monotonic())
                raise self.overload_error(
                    waiter, "no slot was free within the queue timeout"
                ) from None
        except asyncio.CancelledError:
            # The slot may have been granted just before the caller disconnected.
            if waiter.is_granted:
                self.release(self.slot_of(waiter))
            raise
        finally:
            self.dequeue(waiter)
        self.lengths.record_outcome(admitted, is_long=waiter.is_long, is_served=True)
        return self.slot_of(waiter)

    def new_waiter(self, admitted: Admitted, excluded: frozenset[str]) -> Waiter:
        """Return the queue entry of a request that starts to wait now."""
        now = time.monotonic()
        is_long = self.lengths.is_long(admitted)
        return Waiter(
            precedence=Precedence(
                admitted.rank,
                is_late=self.is_late(admitted, now),
                is_long=self.lengths.is_queued_last(admitted, is_long=is_long),
            ),
            number=next(self.numbers),
            admitted=admitted,
            excluded=excluded,
            since=now,
            queue_timeout_s=self.queue_timeout_s(admitted, now),
            slot=asyncio.get_running_loop().create_future(),
            is_long=is_long,
        )

    def slot_of(self, waiter: Waiter) -> Slot:
        """Return the slot that was granted to a request."""
        grant = waiter.slot.result()
        waited_s = time.monotonic() - waiter.since
        return Slot(grant.upstream, waited_s, grant.guard, waiter.name)

    def dequeue(self, waiter: Waiter) -> None:
        """Remove a request from the queue and withdraw its offers."""
        waiter.slot.cancel()
        self.waiters.pop(waiter.name, None)
        if self.queue_state(waiter.admitted.service).remove(waiter):
            WAITING.labels(waiter.admitted.service).dec()
        granting = waiter.slot.result().guard if waiter.is_granted else None
        for guard in waiter.offered_to:
            if guard is not granting:
                guard.withdraw(waiter.name)
                self.limits.refund(guard.record)
        if waiter.slot.cancelled():
            queue = self.queues.get(waiter.admitted.service, [])
            if waiter in queue:
                queue.remove(waiter)
                heapq.heapify(queue)

    def offer_to_best(self, waiter: Waiter) -> None:
        """Offer a request to the best guard with free slots.

        Other guards follow after `FANOUT_DELAY_S`, or at once if no guard has free
        slots.
        """
        if waiter.slot.done():
            return
        guards = self.guards(waiter)
        best = next((guard for guard in guards if guard.room > 0), None)
        if best is None:
            self.offer_to_others(waiter)
            return
        self.offer(waiter, best)
        loop = asyncio.get_running_loop()
        loop.call_later(FANOUT_DELAY_S, self.offer_to_others, waiter)

    def offer_to_others(self, waiter: Waiter) -> None:
        """Offer a request to further guards, first to those with free slots.

        A further offer may be granted although another guard was faster, which blocks
        a slot for a round trip. Offers are therefore limited to `MAX_OFFERS`. Choosing
        the guards at random spreads the requests.
        """
        if waiter.slot.done():
            return
        others = [
            guard for guard in self.guards(waiter) if guard not in waiter.offered_to
        ]
        others.sort(key=lambda guard: (guard.room <= 0, random.random()))
        for guard in others[: MAX_OFFERS - len(waiter.offered_to)]:
            self.offer(waiter, guard)
        self.log_queued(waiter)

    def log_queued(self, waiter: Waiter) -> None:
        """Log that a request waits, and what its waiting time depends on."""
        now = time.monotonic()
        ages = [now - guard.load_at for guard in waiter.offered_to]
        self.log.event(
            _events.REQUEST_QUEUED,
            request_id=waiter.admitted.request.request_id,
            service=waiter.admitted.service,
            rank=waiter.rank,
            is_late=waiter.precedence.is_late,
            is_long=waiter.precedence.is_long,
            patience_ms=round(waiter.queue_timeout_s * MS_PER_S),
            ahead=self.queue_state(waiter.admitted.service).ahead(waiter),
            guards=len(waiter.offered_to),
            load_age_ms=round(min(ages, default=0.0) * MS_PER_S),
        )

    def offer(self, waiter: Waiter, guard: GuardLink) -> None:
        """Offer a request to one guard."""
        waiter.offered_to.append(guard)
        self.limits.reserve(guard.record)
        guard.offer(waiter.name, waiter.precedence)

    def guards(self, waiter: Waiter) -> list[GuardLink]:
        """Return the connected guards of the candidate upstreams, the best first."""
        ranked = []
        candidates = self.choice.candidates(
            waiter.admitted.service, waiter.excluded, waiter.versions
        )
        for upstream in candidates:
            guard = self.choice.guard_link_of(upstream.record)
            if guard is not None and guard.is_connected:
                ranked.append((self.choice.cost(upstream, guard.running), guard))
        ranked.sort(key=lambda pair: pair[0])
        return [guard for _, guard in ranked]

    def on_grant(self, guard: GuardLink, request: str) -> None:
        """Use the first grant of a request and return any later one."""
        waiter = self.waiters.get(request)
        if waiter is None or waiter.slot.done():
            guard.withdraw(request)
            return
        upstream = self.upstreams.get(guard.record)
        is_allowed = waiter.versions.allows(upstream.record.version)
        if not is_allowed or not self.upstreams.accepts(upstream):
            self.return_grant(guard, waiter)
            return
        self.occupy(upstream)
        waiter.slot.set_result(SlotGrant(upstream, guard))

    def return_grant(self, guard: GuardLink, waiter: Waiter) -> None:
        """Return a grant of an upstream that may no longer take the request."""
        guard.withdraw(waiter.name)
        waiter.offered_to.remove(guard)
        self.limits.refund(guard.record)
        self.offer_to_others(waiter)

    def on_guard_lost(self, guard: GuardLink) -> None:
        """Use the upstream without its guard from now on."""
        for waiter in self.waiters.values():
            if guard in waiter.offered_to:
                waiter.offered_to.remove(guard)
                self.limits.refund(guard.record)
        self.assign_slots(guard.record.service)

    def on_guard_connected(self, guard: GuardLink) -> None:
        """Offer the waiting requests to a guard that has just connected."""
        for waiter in list(self.waiters.values()):
            if waiter.admitted.service == guard.record.service:
                self.offer_to_others(waiter)

    def on_accepting(self, service: str) -> None:
        """Let waiting requests use an upstream that wants requests again."""
        self.assign_slots(service)
        for waiter in sorted(self.queue_state(service).waiting.values()):
            self.offer_to_others(waiter)

    def change_versions(self, service: str, versions: Versions) -> None:
        """Let other versions take the waiting requests of a service.

        Those that go on with a stream keep its version.
        """
        for waiter in self.queue_state(service).waiting.values():
            if not waiter.is_bound:
                waiter.versions = versions
        self.on_accepting(service)

    def queue_state(self, service: str) -> QueueState:
        """Return the queue state of a service."""
        return self.queue_states.setdefault(service, QueueState())

    def overload_error(self, waiter: Waiter, reason: str) -> NoFreeSlotError:
        """Return the error that refuses a request, with a retry delay.

        The delay is random, so that retries are spread out and the overload may have
        ended by then.
        """
        admitted = waiter.admitted
        self.lengths.record_outcome(admitted, is_long=waiter.is_long, is_served=False)
        state = self.queue_state(admitted.service)
        waited_ms = round((time.monotonic() - waiter.since) * MS_PER_S)
        message = (
            f"{reason}: waited {waited_ms} ms, {state.ahead(waiter)} requests ahead, "
            f"offered to {len(waiter.offered_to)} guards"
        )
        max_delay_s = min(MAX_RETRY_DELAY_S, RETRY_DELAY_SHARE * admitted.remaining_s())
        retry_after_s = max_delay_s * random.uniform(0.5, 1.0)
        return NoFreeSlotError("overloaded", message, retry_after_s=retry_after_s)

    def occupy(self, upstream: Upstream) -> None:
        """Count a slot as in use."""
        upstream.running += 1
        RUNNING.labels(upstream.record.service).inc()

    def release(self, slot: Slot) -> None:
        """Free a slot and let a waiting request use it."""
        slot.upstream.running -= 1
        RUNNING.labels(slot.upstream.record.service).dec()
        if slot.guard is not None:
            slot.guard.withdraw(slot.request)
        else:
            self.assign_slots(slot.upstream.record.service)

    def assign_all_slots(self) -> None:
        """Assign the free slots of every service."""
        for service in list(self.queues):
            self.assign_slots(service)

    def assign_slots(self, service: str) -> None:
        """Assign the free slots of unguarded upstreams in queue order."""
        queue = self.queues.get(service)
        if not queue:
            return
        skipped: list[Waiter] = []
        while queue:
            waiter = heapq.heappop(queue)
            if waiter.slot.done():
                continue
            upstream = self.choice.unguarded(
                waiter.admitted.service, waiter.excluded, waiter.versions
            )
            if upstream is None:
                skipped.append(waiter)
                if not waiter.excluded and waiter.versions == ANY_VERSION:
                    break
                continue
            self.occupy(upstream)
            self.limits.reserve(upstream.record)
            waiter.slot.set_result(SlotGrant(upstream))
        for waiter in skipped:
            heapq.heappush(queue, waiter)

    def recheck_limits(self, service: str) -> None:
        """Look at the waiting requests of a service again once a limit has room."""
        if service in self.rechecks or not self.queue_state(service).waiting:
            return
        delay_s = self.limits.recheck_s(self.upstreams.fleet.upstreams(service))
        if delay_s is None:
            return
        self.rechecks.add(service)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.on_limits_due, service)

    def on_limits_due(self, service: str) -> None:
        """Let waiting requests use the upstreams whose limits have room."""
        self.rechecks.discard(service)
        self.assign_slots(service)
        for waiter in sorted(self.queue_state(service).waiting.values()):
            if not waiter.slot.done() and not self.offer_to_limited(waiter):
                break
        self.recheck_limits(service)

    def offer_to_limited(self, waiter: Waiter) -> bool:
        """Offer a request to the guard of a limited upstream that has room.

        Returns:
            Whether such an upstream may be left for further requests.
        """
        guards = [
            guard
            for guard in self.guards(waiter)
            if self.limits.is_room_limited(guard.record)
        ]
        others = [guard for guard in guards if guard not in waiter.offered_to]
        if others:
            self.offer(waiter, others[0])
        return bool(guards)
