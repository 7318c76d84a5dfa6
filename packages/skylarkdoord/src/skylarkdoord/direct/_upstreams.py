"""Tracks the load, latency and failures that an entry observes at each upstream.

An upstream that failed or had no room is paused: it gets no requests for a back-off
time that doubles with each further failure.
"""

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from skylarkdoor import events
from skylarkdoor.backoff import doubled_delay_s
from skylarkdoord import _events
from skylarkdoord.direct._adapter import UpstreamHead
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._model import Incarnation, UpstreamRecord

# Longest time from a start of an upstream until the registry lists it.
REGISTRY_LAG_S = 3.0
# Limits of the pause after a failure.
INITIAL_PAUSE_S = 0.4
MAX_PAUSE_S = 3.0
# Limits of the pause after a refusal for lack of room. A full upstream has room again
# after about one short request.
INITIAL_FULL_PAUSE_S = 0.05
MAX_FULL_PAUSE_S = 2.0
# An upstream is avoided if its share of failed answers exceeds the average of its
# service by more than this.
TOLERATED_EXCESS_FAILURE_SHARE = 0.15
# Weight of the newest sample in the exponentially weighted moving averages.
EWMA_WEIGHT = 0.1
# Bounds on each sample of `Upstream.latency_ratio`.
MIN_LATENCY_RATIO = 0.3
MAX_LATENCY_RATIO = 4.0
# Time until a service whose upstreams all leave may have others, for callers.
ALL_LEAVING_S = 0.5
# Average time to the first byte of a service before the first sample.
DEFAULT_FIRST_BYTE_S = 0.15


@dataclass
class Upstream:
    """One incarnation of an upstream as observed by this entry.

    Attributes:
        record: Its record in the registry.
        running: Requests of this entry that run there.
        paused_until: Monotonic time until which it is paused, in seconds.
        failures: Consecutive failures.
        refusals: Consecutive refusals for lack of room.
        failure_share: Moving average of the share of its answers that are server
            errors or time-outs.
        latency_ratio: Moving average of its time to the first byte in proportion to
            the average of its service.
        answered_at: Monotonic time of its latest answer, in seconds.
        moved: Record whose address turned out to belong to another incarnation or
            upstream; None if there is none. The upstream is paused until its record
            changes.
        is_leaving: Whether it stated in an answer that it leaves.
        wants_none_until: Monotonic time until which it stated that it wants no request,
            in seconds.
        unreachable_until: Monotonic time until which its record may be of a former
            start, as no connection could be opened, in seconds.
        lost_until: Monotonic time until which it may have ended, as it lost an answer,
            in seconds.
        has_restarted: Whether its guard saw a later start than the listed one.
    """

    record: UpstreamRecord
    running: int = 0
    paused_until: float = 0.0
    failures: int = 0
    refusals: int = 0
    failure_share: float = 0.0
    latency_ratio: float = 1.0
    answered_at: float = 0.0
    moved: UpstreamRecord | None = None
    is_leaving: bool = False
    wants_none_until: float = 0.0
    unreachable_until: float = 0.0
    lost_until: float = 0.0
    has_restarted: bool = False

    @property
    def instance(self) -> str:
        """Name of the upstream instance."""
        return self.record.instance

    def is_paused(self, now: float) -> bool:
        """Return whether it is paused at `now`, a monotonic time in seconds."""
        return now < self.paused_until or self.moved == self.record


class Upstreams:
    """Tracks the upstreams that the fleet lists.

    Args:
        fleet: Lists the upstreams.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        tracked: Upstreams by instance and Unix start time in milliseconds.
        first_byte_averages_s: Average time to the first byte of each service, in
            seconds.
        average_failure_share: Average share of failed answers of each service.
        on_accepting: Called with a service one of whose upstreams wants requests again.
        may_begin: Returns whether streams may begin at an upstream's version.
    """

    def __init__(
        self, fleet: Fleet, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.fleet = fleet
        self.clock = clock
        self.tracked: dict[Incarnation, Upstream] = {}
        self.first_byte_averages_s: dict[str, float] = {}
        self.average_failure_share: dict[str, float] = {}
        self.on_accepting: Callable[[str], None] = lambda service: None
        self.may_begin: Callable[[UpstreamRecord], bool] = lambda record: True
        self.log = events.get_logger("direct.upstreams")
        fleet.on_upstreams.append(self.drop_removed)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests."""
        return [upstream for upstream in self.listed(service) if self.accepts(upstream)]

    def listed(self, service: str) -> Iterator[Upstream]:
        """Yield the upstreams of a service that the registry lists as ready."""
        return map(self.get, self.fleet.upstreams(service))

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether an upstream has stated nothing against new requests."""
        return not upstream.is_leaving and self.clock() >= upstream.wants_none_until

    def none_accepting_s(self, service: str) -> float | None:
        """Return the time until an upstream of a service accepts requests, in seconds.

        Returns None if one accepts them now, or if none is listed.
        """
        if any(map(self.accepts, self.listed(service))):
            return None
        listed = list(self.listed(service))
        if not listed:
            return None
        waits_s = [
            upstream.wants_none_until - self.clock()
            for upstream in listed
            if not upstream.is_leaving
        ]
        return min(waits_s, default=ALL_LEAVING_S)

    def on_head(self, record: UpstreamRecord, head: UpstreamHead) -> None:
        """Take over what an upstream states about itself in an answer."""
        if not head.is_own:
            return
        upstream = self.get(record)
        if head.pause_s:
            self.pause_as_stated(upstream, head.pause_s)
        if head.is_leaving and not upstream.is_leaving:
            upstream.is_leaving = True
            self.log.event(
                _events.UPSTREAM_LEAVING,
                upstream=upstream.instance,
                started_ms=record.started_ms,
            )

    def pause_as_stated(self, upstream: Upstream, pause_s: float) -> None:
        """Send an upstream nothing for as long as it states."""
        until = self.clock() + pause_s
        if until <= upstream.wants_none_until:
            return
        upstream.wants_none_until = until
        self.log.event(
            _events.UPSTREAM_WANTS_NONE, upstream=upstream.instance, pause_s=pause_s
        )
        loop = asyncio.get_running_loop()
        loop.call_later(pause_s, self.on_accepting, upstream.record.service)

    def get(self, record: UpstreamRecord) -> Upstream:
        """Return the upstream of a record, with its record brought up to date."""
        key = record.incarnation
        upstream = self.tracked.get(key)
        if upstream is None:
            upstream = self.tracked[key] = Upstream(record)
        upstream.record = record
        return upstream

    def drop_removed(self) -> None:
        """Drop idle upstreams that were removed or are draining."""
        for key, upstream in list(self.tracked.items()):
            if not upstream.running and not self.fleet.is_current(upstream.record):
                del self.tracked[key]

    def unpaused(self, candidates: Iterable[Upstream]) -> list[Upstream]:
        """Return the candidates that are not paused.

        If all are paused, the one whose pause ends first is returned, so that a
        service always has an upstream.
        """
        now = self.clock()
        listed = list(candidates)
        unpaused = [upstream for upstream in listed if not upstream.is_paused(now)]
        if unpaused or not listed:
            return unpaused
        return [min(listed, key=lambda upstream: upstream.paused_until)]

    def average_first_byte_s(self, service: str) -> float:
        """Return the average time to the first byte of a service, in seconds."""
        return self.first_byte_averages_s.get(service, DEFAULT_FIRST_BYTE_S)

    def on_first_byte(self, upstream: Upstream, first_byte_s: float) -> None:
        """Record the time to the first byte of an answer, in seconds."""
        service = upstream.record.service
        average_s = self.average_first_byte_s(service)
        self.first_byte_averages_s[service] = average_s + EWMA_WEIGHT * (
            first_byte_s - average_s
        )
        ratio = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, first_byte_s / average_s))
        upstream.latency_ratio += EWMA_WEIGHT * (ratio - upstream.latency_ratio)

    def on_full(self, upstream: Upstream) -> None:
        """Pause an upstream that had no room, twice as long each time.

        The pauses grow because an upstream that refuses every request always appears
        idle and would attract more.
        """
        pause_s = doubled_delay_s(
            INITIAL_FULL_PAUSE_S, MAX_FULL_PAUSE_S, upstream.refusals
        )
        upstream.refusals += 1
        until = self.clock() + pause_s
        upstream.paused_until = max(upstream.paused_until, until)

    def on_unreachable(self, upstream: Upstream, reason: str) -> None:
        """Pause an upstream to which no connection could be opened."""
        self.on_down(upstream.record)
        self.on_failure(upstream, reason)

    def on_down(self, record: UpstreamRecord) -> None:
        """Record that an upstream may start again before the registry lists it anew."""
        self.get(record).unreachable_until = self.clock() + REGISTRY_LAG_S

    def on_answer_lost(self, upstream: Upstream, reason: str) -> None:
        """Pause an upstream that may have ended, as it lost an answer."""
        upstream.lost_until = self.clock() + REGISTRY_LAG_S
        self.on_failure(upstream, reason)

    def on_restarted(self, record: UpstreamRecord, started_ms: int) -> None:
        """Record that an upstream runs under the record of a former start.

        Args:
            record: The record.
            started_ms: Unix time of its present start, in milliseconds.
        """
        self.get(record).has_restarted = True

    def may_have_ended(self, record: UpstreamRecord) -> bool:
        """Return whether another start may run under an upstream's record."""
        return self.is_restarting(record) or self.clock() < self.get(record).lost_until

    def is_restarting(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream may have started again since its record."""
        upstream = self.get(record)
        return upstream.has_restarted or self.clock() < upstream.unreachable_until

    def on_moved(self, upstream: Upstream) -> None:
        """Pause an upstream until its record changes, as another one has its address.

        The registry keeps the record of a lost incarnation until the record expires.
        """
        upstream.moved = upstream.record
        self.on_failure(upstream, "moved")

    def on_failure(self, upstream: Upstream, reason: str) -> None:
        """Pause an upstream that failed, twice as long each time."""
        pause_s = doubled_delay_s(INITIAL_PAUSE_S, MAX_PAUSE_S, upstream.failures)
        upstream.failures += 1
        upstream.paused_until = self.clock() + pause_s
        self.log.event(
            _events.UPSTREAM_PAUSED,
            upstream=upstream.instance,
            reason=reason,
            failures=upstream.failures,
            pause_s=pause_s,
        )

    def on_timeout(self, upstream: Upstream, reason: str, *, since: float) -> None:
        """Record that a request got no answer in time.

        The upstream is paused unless it answered another request since the monotonic
        time `since`, as some requests just take longer than their timeout. The time-out
        also counts as a failed answer, so that an upstream with more time-outs than its
        peers is avoided.
        """
        self.on_answer(upstream, is_error=True)
        if upstream.answered_at < since:
            self.on_failure(upstream, reason)

    def on_answer(self, upstream: Upstream, *, is_error: bool) -> None:
        """Record whether an answer failed, in the averages of upstream and service."""
        service = upstream.record.service
        average = self.average_failure_share.get(service, 0.0)
        self.average_failure_share[service] = average + EWMA_WEIGHT * (
            is_error - average
        )
        upstream.failure_share += EWMA_WEIGHT * (is_error - upstream.failure_share)

    def excess_failures(self, upstream: Upstream) -> float:
        """Return by how much its share of failed answers exceeds what is tolerated."""
        average = self.average_failure_share.get(upstream.record.service, 0.0)
        return max(
            0.0, upstream.failure_share - average - TOLERATED_EXCESS_FAILURE_SHARE
        )

    def on_success(self, upstream: Upstream) -> None:
        """Record that the upstream answered, and reset its consecutive failures."""
        upstream.answered_at = self.clock()
        upstream.refusals = 0
        if upstream.failures:
            self.log.event(_events.UPSTREAM_REGAINED, upstream=upstream.instance)
        upstream.failures = 0
