"""What an entry has learned of each upstream by using it."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._model import UpstreamRecord

FIRST_PAUSE_S = 0.4
MAX_PAUSE_S = 3.0
# An upstream that is full has room again after about one short request.
FULL_PAUSE_S = 0.05
MAX_FULL_PAUSE_S = 2.0
# Share of failed answers beyond that of the peers at which an upstream is avoided.
TOLERATED_FAILURES = 0.15
# Weight of the newest measurement in a moving average.
NEWEST = 0.1
# Bounds on how much slower or faster than its peers an upstream is taken to be.
MIN_SLOWNESS = 0.3
MAX_SLOWNESS = 4.0
# Until one is measured.
DEFAULT_FIRST_S = 0.15


@dataclass
class Upstream:
    """An upstream in use.

    Attributes:
        record: What the registry says of it.
        running: Requests of this entry that are under way there.
        paused_until: Monotonic time until which it is spared, in seconds.
        failures: Failures in a row.
        refusals: Times in a row that it had no room.
        failing: Share of its answers that are errors of its own.
        slowness: Time to the first byte in proportion to that of its peers.
        answered_at: Monotonic time of its latest answer, in seconds.
        moved: The record that named an address where another life answers.
    """

    record: UpstreamRecord
    running: int = 0
    paused_until: float = 0.0
    failures: int = 0
    refusals: int = 0
    failing: float = 0.0
    slowness: float = 1.0
    answered_at: float = 0.0
    moved: UpstreamRecord | None = None

    @property
    def instance(self) -> str:
        """Identity of the upstream."""
        return self.record.instance

    def is_paused(self, now: float) -> bool:
        """Return whether it is spared for now."""
        return now < self.paused_until or self.moved == self.record


class Upstreams:
    """Keeps what was learned of the upstreams that the fleet lists.

    Args:
        fleet: Lists the upstreams.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, fleet: Fleet, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.fleet = fleet
        self.clock = clock
        self.known: dict[tuple[str, int], Upstream] = {}
        self.first_s: dict[str, float] = {}
        self.failing: dict[str, float] = {}
        self.log = events.get_logger("direct.upstreams")
        fleet.on_upstreams.append(self.forget_gone)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        return [self.get(record) for record in self.fleet.upstreams(service)]

    def get(self, record: UpstreamRecord) -> Upstream:
        """Return what is known of this life of an upstream."""
        key = (record.instance, record.started_ms)
        upstream = self.known.get(key)
        if upstream is None:
            upstream = self.known[key] = Upstream(record)
        upstream.record = record
        return upstream

    def forget_gone(self) -> None:
        """Drop what was learned of upstreams that are gone and idle."""
        for key, upstream in list(self.known.items()):
            if not upstream.running and not self.fleet.is_current(upstream.record):
                del self.known[key]

    def usable(self, candidates: Iterable[Upstream]) -> list[Upstream]:
        """Return those that are not paused, or the one to be tried again first.

        A service is never left without any upstream.
        """
        now = self.clock()
        listed = list(candidates)
        free = [upstream for upstream in listed if not upstream.is_paused(now)]
        if free or not listed:
            return free
        return [min(listed, key=lambda upstream: upstream.paused_until)]

    def expected_first_s(self, service: str) -> float:
        """Return the usual time to the first byte of a service, in seconds."""
        return self.first_s.get(service, DEFAULT_FIRST_S)

    def on_first(self, upstream: Upstream, first_s: float) -> None:
        """Learn from the time that the first byte of an answer took."""
        service = upstream.record.service
        usual_s = self.expected_first_s(service)
        self.first_s[service] = usual_s + NEWEST * (first_s - usual_s)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, first_s / usual_s))
        upstream.slowness += NEWEST * (ratio - upstream.slowness)

    def on_full(self, upstream: Upstream) -> None:
        """Spare an upstream that had no room, longer each time.

        One that turns everything away always looks idle.
        """
        pause_s = min(MAX_FULL_PAUSE_S, FULL_PAUSE_S * 2**upstream.refusals)
        upstream.refusals += 1
        until = self.clock() + pause_s
        upstream.paused_until = max(upstream.paused_until, until)

    def on_moved(self, upstream: Upstream) -> None:
        """Spare an upstream whose address has another life, until its record changes.

        The registry keeps the record of a lost life until it lapses.
        """
        upstream.moved = upstream.record
        self.on_failure(upstream, "moved")

    def on_failure(self, upstream: Upstream, reason: str) -> None:
        """Spare an upstream that failed, longer each time."""
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**upstream.failures)
        upstream.failures += 1
        upstream.paused_until = self.clock() + pause_s
        self.log.event(
            _events.UPSTREAM_PAUSED,
            upstream=upstream.instance,
            reason=reason,
            failures=upstream.failures,
            pause_s=pause_s,
        )

    def on_silence(self, upstream: Upstream, reason: str, *, since: float) -> None:
        """Spare an upstream that was silent, unless it answered others meanwhile.

        Some requests just take longer than their time. An upstream that is silent
        to more of its requests than its peers are is avoided as for errors.
        """
        self.on_answer(upstream, is_error=True)
        if upstream.answered_at < since:
            self.on_failure(upstream, reason)

    def on_answer(self, upstream: Upstream, *, is_error: bool) -> None:
        """Learn from an answer's status."""
        service = upstream.record.service
        usual = self.failing.get(service, 0.0)
        self.failing[service] = usual + NEWEST * (is_error - usual)
        upstream.failing += NEWEST * (is_error - upstream.failing)

    def excess_failures(self, upstream: Upstream) -> float:
        """Return by how much more of its answers are errors than is usual."""
        usual = self.failing.get(upstream.record.service, 0.0)
        return max(0.0, upstream.failing - usual - TOLERATED_FAILURES)

    def on_success(self, upstream: Upstream) -> None:
        """Note that the upstream answered."""
        upstream.answered_at = self.clock()
        upstream.refusals = 0
        if upstream.failures:
            self.log.event(_events.UPSTREAM_REGAINED, upstream=upstream.instance)
        upstream.failures = 0
