"""Assigns upstream slots to waiting requests.

Requests wait in one queue per service, ordered by tier, then by whether they can
still meet the latency target, then by turns of short and long answers, then by age.
Slots of an upstream with a guard are granted by the guard. Of an upstream without a
guard, this entry uses its share of the slots.
"""

import asyncio
import random
import time
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoord.direct._choice import ANY_VERSION, UpstreamChoice
from skylarkdoord.direct._guard_link import GuardLink
from skylarkdoord.direct._held_log import HeldLog
from skylarkdoord.direct._metrics import RUNNING, WAITING
from skylarkdoord.direct._model import MS_PER_S, Admitted
from skylarkdoord.direct._new_waiters import NewWaiters
from skylarkdoord.direct._offering import Offering
from skylarkdoord.direct._settings import ShareSettings
from skylarkdoord.direct._upstream_limits import UpstreamLimits
from skylarkdoord.direct._upstreams import Upstream, Upstreams
from skylarkdoord.direct._waiting import QueueState, Slot, SlotGrant, Waiter
from skylarkdoord.direct.exceptions import NoFreeSlotError, VersionGoneError
from skylarkdoord.direct.rollouts import Versions
from skylarkdoord.direct.shares import (
    CustomerShares,
    FairOrder,
    LeaveCosts,
    LeavePolicy,
    LengthOrder,
    QueueOrder,
)

# Longest retry delay, as a share of the time until the request's deadline. Callers do
# not observe longer ones.
RETRY_DELAY_SHARE = 1 / 3
MAX_RETRY_DELAY_S = 3.0


class Scheduler:
    """Queues requests and assigns upstream slots to them.

    Args:
        upstreams: The upstreams in use.
        instance: Name of this entry.
        data_centre: Data centre of this entry.
        live_entries: Returns how many entries share the upstreams.
        limits: Limits on requests that upstreams named.
        leave_costs: Costs of serving a request in another data centre; None if there
            are none.
        serves_late: Whether a request that can no longer meet its latency target goes
            on waiting, behind those that can.
        shares: How slots are shared while requests wait for them; None for strict
            tiers and order of age.

    Attributes:
        choice: Chooses the upstreams.
        offering: Offers requests to guards.
        new_waiters: Creates the queue entries of requests.
        waiters: Requests that wait for a slot, by their names on streams to guards.
        queues: Waiting requests in the order in which they get slots, by service.
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
        leave_costs: LeaveCosts | None = None,
        serves_late: bool = False,
        shares: ShareSettings | None = None,
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
        leaving = LeavePolicy(
            data_centre, leave_costs, entries=live_entries, clock=time.monotonic
        )
        self.offering = Offering(self.choice, self.limits, leaving, self.ahead)
        self.serves_late = serves_late
        self.rechecks: set[str] = set()
        self.waiters: dict[str, Waiter] = {}
        self.queues: dict[str, QueueOrder[Waiter]] = {}
        self.queue_states: dict[str, QueueState] = {}
        self.shares = shares
        self.new_waiters = NewWaiters(upstreams, shares)
        self.log = events.get_logger("direct.scheduler")
        upstreams.fleet.on_upstreams.append(self.assign_all_slots)
        upstreams.on_accepting = self.on_accepting

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
        waiter = self.new_waiters.new(admitted, excluded)
        if version is not None:
            versions = Versions(only=version, is_bound=True)
        elif admitted.route.is_resumable:
            versions = versions._replace(begins_stream=True)
        waiter.versions = versions
        waiter.is_bound = version is not None
        try:
            return await self.wait(waiter)
        except NoFreeSlotError:
            if waiter.precedence.is_late or not self.serves_late:
                raise
        return await self.wait(self.new_waiters.late(waiter))

    async def wait(self, waiter: Waiter) -> Slot:
        """Queue a request until it is granted a slot.

        Raises:
            NoFreeSlotError: No slot was free within the request's queue timeout, or the
                service is overloaded.
        """
        admitted = waiter.admitted
        self.queue(admitted.service).add(waiter)
        self.waiters[waiter.name] = waiter
        state = self.queue_state(admitted.service)
        state.add(waiter)
        WAITING.labels(admitted.service).inc()
        try:
            self.assign_slots(admitted.service)
            self.offering.start(waiter)
            self.recheck_limits(admitted.service)
            if not waiter.slot.done() and state.would_time_out(waiter, waiter.since):
                waiter.count_end("refused")
                raise self.overload_error(waiter, "the queue is overloaded")
            async with asyncio.timeout(waiter.queue_timeout_s):
                await waiter.slot
        except TimeoutError:
            if not waiter.is_granted:
                state.record_timeout(waiter, time.monotonic())
                waiter.count_end("timeout")
                raise self.overload_error(
                    waiter, "no slot was free within the queue timeout"
                ) from None
        except asyncio.CancelledError:
            # The slot may have been granted just before the caller disconnected.
            if waiter.is_granted:
                self.release(self.slot_of(waiter))
            waiter.count_end("left")
            raise
        finally:
            self.dequeue(waiter)
        waiter.count_end("granted")
        return self.slot_of(waiter)

    def ahead(self, waiter: Waiter) -> int:
        """Return how many waiting requests are served before one."""
        return self.queue_state(waiter.admitted.service).ahead(waiter)

    def slot_of(self, waiter: Waiter) -> Slot:
        """Return the slot that was granted to a request."""
        grant = waiter.slot.result()
        waited_s = time.monotonic() - waiter.since
        return Slot(grant.upstream, waited_s, grant.guard, waiter.name)

    def dequeue(self, waiter: Waiter) -> None:
        """Remove a request from the queue and withdraw its offers."""
        waiter.slot.cancel()
        self.waiters.pop(waiter.name, None)
        is_first_call = self.queue_state(waiter.admitted.service).remove(waiter)
        if is_first_call:
            WAITING.labels(waiter.admitted.service).dec()
            self.new_waiters.on_end(waiter)
        granting = waiter.slot.result().guard if waiter.is_granted else None
        for guard in waiter.offered_to:
            if guard is not granting:
                guard.withdraw(waiter.name)
                self.limits.refund(guard.record)
        if is_first_call and waiter.slot.cancelled():
            self.queue(waiter.admitted.service).remove(waiter)

    def on_grant(self, guard: GuardLink, request: str) -> None:
        """Use the first grant of a request and return any later one.

        A guard that leaves may go on granting offers that are void already.
        """
        waiter = self.waiters.get(request)
        if (
            waiter is None
            or waiter.slot.done()
            or not guard.is_connected
            or guard not in waiter.offered_to
        ):
            guard.withdraw(request)
            return
        upstream = self.upstreams.get(guard.record)
        is_allowed = self.choice.may_take(upstream, waiter.versions)
        if not is_allowed or not self.upstreams.accepts(upstream):
            self.return_grant(guard, waiter)
            return
        self.occupy(upstream)
        self.queue(waiter.admitted.service).remove(waiter)
        waiter.slot.set_result(SlotGrant(upstream, guard))

    def return_grant(self, guard: GuardLink, waiter: Waiter) -> None:
        """Return a grant of an upstream that may no longer take the request."""
        guard.withdraw(waiter.name)
        waiter.offered_to.remove(guard)
        self.limits.refund(guard.record)
        self.offering.offer_to_others(waiter)

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
                self.offering.offer_to_others(waiter)

    def on_guard_load(self, guard: GuardLink) -> None:
        """Let waiting requests leave for the free slots that a guard has reported."""
        state = self.queue_state(guard.record.service)
        if state.waiting:
            self.offering.on_load(guard, sorted(state.waiting.values()))

    def on_accepting(self, service: str) -> None:
        """Let waiting requests use an upstream that wants requests again."""
        self.assign_slots(service)
        for waiter in sorted(self.queue_state(service).waiting.values()):
            self.offering.offer_to_others(waiter)

    def change_versions(self, service: str, versions: Versions) -> None:
        """Let other versions take the waiting requests of a service.

        Those that go on with a stream keep its version.
        """
        for waiter in self.queue_state(service).waiting.values():
            if not waiter.is_bound:
                begins_stream = waiter.versions.begins_stream
                waiter.versions = versions._replace(begins_stream=begins_stream)
        self.on_accepting(service)

    def queue_state(self, service: str) -> QueueState:
        """Return the queue state of a service."""
        state = self.queue_states.get(service)
        if state is None:
            state = self.queue_states[service] = QueueState(self.new_shares(service))
        return state

    def new_shares(self, service: str) -> Callable[[int], CustomerShares] | None:
        """Return what creates the shares of the customers of a service's tier."""
        if self.shares is None or not self.shares.customers:
            return None
        return lambda tier: CustomerShares(on_held=HeldLog(service, tier).on_interval)

    def queue(self, service: str) -> QueueOrder[Waiter]:
        """Return the waiting requests of a service in the order of slots."""
        queue = self.queues.get(service)
        if queue is None:
            is_fair = self.shares is not None and self.shares.customers
            queue = self.queues[service] = FairOrder() if is_fair else LengthOrder()
        return queue

    def overload_error(self, waiter: Waiter, reason: str) -> NoFreeSlotError:
        """Return the error that refuses a request, with a retry delay.

        The delay is random, so that retries are spread out and the overload may have
        ended by then.
        """
        admitted = waiter.admitted
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

    def release(self, slot: Slot, *, is_answered: bool = False) -> None:
        """Free a slot and let a waiting request use it.

        Args:
            slot: The slot.
            is_answered: Whether the answer is complete.
        """
        service = slot.upstream.record.service
        slot.upstream.running -= 1
        RUNNING.labels(service).dec()
        self.queue_state(service).on_released(int(slot.request))
        if slot.guard is not None:
            slot.guard.withdraw(slot.request, is_answered=is_answered)
        else:
            self.queue(service).end(int(slot.request))
            self.assign_slots(service)

    def assign_all_slots(self) -> None:
        """Assign the free slots of every service."""
        for service in list(self.queues):
            self.assign_slots(service)

    def assign_slots(self, service: str) -> None:
        """Assign the free slots of unguarded upstreams in queue order."""
        while (found := self.next_assignable(service)) is not None:
            waiter, upstream = found
            self.queue(service).take(waiter)
            self.occupy(upstream)
            self.limits.reserve(upstream.record)
            waiter.slot.set_result(SlotGrant(upstream))

    def next_assignable(self, service: str) -> tuple[Waiter, Upstream] | None:
        """Return the first request that an unguarded upstream can run, and that one."""
        for waiter in self.queue(service).in_order():
            if waiter.slot.done():
                continue
            upstream = self.choice.unguarded(service, waiter.excluded, waiter.versions)
            if upstream is not None:
                return waiter, upstream
            if not waiter.excluded and waiter.versions == ANY_VERSION:
                return None
        return None

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
            if not waiter.slot.done() and not self.offering.offer_to_limited(waiter):
                break
        self.recheck_limits(service)
