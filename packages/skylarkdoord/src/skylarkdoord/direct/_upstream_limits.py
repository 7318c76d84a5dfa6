"""Limits on requests that upstreams in need name in their answers.

A limit counts the requests of all entries together. It is in force until an answer
names none, or the upstream leaves. One that starts again has named nothing yet; it
keeps its limit until its first answer. Entries tell each other of the limits and divide
each among themselves.
"""

import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.direct._adapter import UpstreamHead
from skylarkdoord.direct._metrics import UPSTREAM_LIMITS
from skylarkdoord.direct._model import UpstreamRecord

# Lowest rate in requests a second. An upstream that takes nothing at all still gets a
# request now and then, whose answer tells whether the limit has ended.
MIN_RATE = 0.2
# Requests that may be sent at once after a pause: at least one, else those of this
# time, in seconds.
MIN_BURST = 1.0
BURST_S = 0.1
# Entries that divide a limit of less than one request a second. Each may send one
# request at once, so there is one more for each request a second.
MIN_SHARING_ENTRIES = 4
# Time in which a limit that has risen or ended doubles, and after which it is over.
DOUBLING_S = 1.0
RAMP_S = 5.0
# Bounds on the time until requests that wait for a limit are looked at again.
MIN_WAIT_S = 0.02
MAX_WAIT_S = 1.0


class NamedLimit(NamedTuple):
    """A limit as an upstream named it.

    Attributes:
        per_second: Requests a second from all entries together; infinite once the
            limit has ended.
        revision: Number of changes of the upstream's limit; of two limits, the one
            with more is the later.
    """

    per_second: float = math.inf
    revision: int = 0

    def is_before(self, other: "NamedLimit") -> bool:
        """Return whether another limit replaces this one.

        Of two that entries saw at the same time, the lower one is kept.
        """
        if self.revision != other.revision:
            return self.revision < other.revision
        return other.per_second < self.per_second


NO_LIMIT = NamedLimit()


@dataclass
class RateLimiter:
    """A token bucket whose rate rises slowly and falls at once.

    In any time of T seconds, it admits at most its burst and T times its rate.

    Attributes:
        target: Rate to reach, in requests a second.
        ramp_start: Rate from which it rises, in requests a second.
        ramp_at: Monotonic time at which the rise began, in seconds.
        tokens: Requests that may be sent now.
        refilled_at: Monotonic time of the latest refill, in seconds.
    """

    target: float = math.inf
    ramp_start: float = math.inf
    ramp_at: float = -math.inf
    tokens: float = 0.0
    refilled_at: float = 0.0

    def set_target(self, target: float, now: float) -> None:
        """Change the rate to reach."""
        self.ramp_start = min(self.rate(now), max(target, MIN_RATE))
        self.ramp_at = now
        self.target = max(target, MIN_RATE)

    def rate(self, now: float) -> float:
        """Return the present rate, in requests a second; infinite if there is none."""
        if self.is_over(now):
            return math.inf
        doublings = (now - self.ramp_at) / DOUBLING_S
        if doublings > RAMP_S / DOUBLING_S:
            return self.target
        return min(self.target, self.ramp_start * 2**doublings)

    def is_over(self, now: float) -> bool:
        """Return whether no limit is in force, or none any more."""
        if not math.isinf(self.target):
            return False
        return math.isinf(self.ramp_start) or now - self.ramp_at > RAMP_S

    def refill(self, share: float, now: float) -> None:
        """Add the tokens of the time since the latest refill.

        Args:
            share: This entry's part of the rate.
            now: Monotonic time, in seconds.
        """
        rate = share * self.rate(now)
        burst = max(MIN_BURST, BURST_S * rate)
        refilled = self.tokens + rate * (now - self.refilled_at)
        self.tokens = min(burst, refilled)
        self.refilled_at = now

    def wait_s(self, share: float, now: float) -> float:
        """Return the time until a request may be sent, in seconds."""
        self.refill(share, now)
        rate = share * self.rate(now)
        missing = 1.0 - self.tokens
        if missing <= 0.0:
            return 0.0
        return missing / rate if rate else math.inf


@dataclass
class UpstreamLimit:
    """The limit of one upstream.

    Attributes:
        named: The limit as the upstream named it.
        limiter: Admits this entry's requests.
        change: Number of the latest change within this process.
        was_listed: Whether the registry listed the upstream since.
    """

    named: NamedLimit = NO_LIMIT
    limiter: RateLimiter = field(default_factory=RateLimiter)
    change: int = 0
    was_listed: bool = False


class LimitReport(NamedTuple):
    """Limits to be sent to another entry.

    Attributes:
        limits: The limits.
        change: Number of the change up to which the receiver then knows all.
    """

    limits: list[pb.UpstreamLimit]
    change: int


class UpstreamLimits:
    """Keeps the limits that upstreams name.

    Args:
        instance: Name of this entry.
        find: Returns the record that the registry lists for an instance; None if there
            is none.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        share_of: Returns this entry's part of the limit of an upstream, from 0 to 1,
            if at most a number of entries divide it.
        limits: Limits by name of the upstream instance.
        malformed: Upstreams that named a malformed limit.
        changes: Number of changes so far.
        on_change: Called after this entry saw a change that others have to know.
    """

    def __init__(
        self,
        instance: str = "",
        *,
        find: Callable[[str], UpstreamRecord | None] = lambda instance: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.instance = instance
        self.find = find
        self.clock = clock
        self.share_of: Callable[[str, int], float] = lambda upstream, most: 1.0
        self.limits: dict[str, UpstreamLimit] = {}
        self.malformed: set[str] = set()
        self.changes = 0
        self.on_change: Callable[[], None] = lambda: None
        self.log = events.get_logger("direct.upstream_limits")

    def on_head(self, record: UpstreamRecord, head: UpstreamHead) -> None:
        """Take over the limit that an upstream names in an answer, or its end.

        A malformed limit changes nothing, and neither does the absence of one in an
        answer without a signature, which may be spoilt.
        """
        if head.has_malformed_limit:
            self.reject(record)
            return
        if head.limit_per_s is None and not head.is_signed:
            return
        known = self.limits.get(record.instance, UpstreamLimit()).named
        per_second = math.inf if head.limit_per_s is None else head.limit_per_s
        if per_second == known.per_second:
            return
        named = NamedLimit(per_second, known.revision + 1)
        self.change(record.instance, named, source=self.instance)
        self.on_change()

    def reject(self, record: UpstreamRecord) -> None:
        """Log a malformed limit, once for each upstream."""
        if record.instance in self.malformed:
            return
        self.malformed.add(record.instance)
        self.log.event(_events.UPSTREAM_LIMIT_REJECTED, upstream=record.instance)

    def change(self, upstream: str, named: NamedLimit, *, source: str) -> None:
        """Put a limit in force, or end it.

        Args:
            upstream: Name of the upstream instance.
            named: The limit.
            source: Name of the entry that saw it, for logs.
        """
        limit = self.limits.setdefault(upstream, UpstreamLimit())
        former, limit.named = limit.named, named
        now = self.clock()
        if math.isinf(former.per_second) and limit.limiter.is_over(now):
            limit.limiter = RateLimiter(refilled_at=now)
        limit.limiter.set_target(named.per_second, now)
        self.changes += 1
        limit.change = self.changes
        kind = _kind_of_change(former, named)
        UPSTREAM_LIMITS.labels(kind).inc()
        self.log.event(
            _events.UPSTREAM_LIMIT_CHANGED,
            upstream=upstream,
            per_second=None if math.isinf(named.per_second) else named.per_second,
            change=kind,
            source=source,
        )

    def in_force(
        self, record: UpstreamRecord, now: float | None = None
    ) -> UpstreamLimit | None:
        """Return the limit of an upstream; None if none is in force.

        Args:
            record: The upstream.
            now: Monotonic time, in seconds; None for the present.
        """
        limit = self.limits.get(record.instance)
        if limit is None or limit.limiter.is_over(now or self.clock()):
            return None
        return limit

    def has_room(self, record: UpstreamRecord) -> bool:
        """Return whether a request may be sent to an upstream now."""
        return self.wait_s(record) <= 0.0

    def wait_s(self, record: UpstreamRecord) -> float:
        """Return the time until a request may be sent to an upstream, in seconds."""
        now = self.clock()
        limit = self.in_force(record, now)
        if limit is None:
            return 0.0
        return limit.limiter.wait_s(self.share(record, limit, now), now)

    def share(self, record: UpstreamRecord, limit: UpstreamLimit, now: float) -> float:
        """Return this entry's part of a limit in force, from 0 to 1."""
        rate = limit.limiter.rate(now)
        return self.share_of(record.instance, MIN_SHARING_ENTRIES + int(rate))

    def reserve(self, record: UpstreamRecord) -> None:
        """Count a request that is sent to an upstream, or offered to its guard."""
        self.add_tokens(record, -1.0)

    def refund(self, record: UpstreamRecord) -> None:
        """Uncount a request that was offered to the guard of an upstream in vain."""
        self.add_tokens(record, 1.0)

    def add_tokens(self, record: UpstreamRecord, tokens: float) -> None:
        """Bring the tokens of an upstream with a limit up to date, and add some."""
        now = self.clock()
        limit = self.in_force(record, now)
        if limit is not None:
            limit.limiter.refill(self.share(record, limit, now), now)
            limit.limiter.tokens += tokens

    def is_room_limited(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream has a limit, and room within it."""
        return self.in_force(record) is not None and self.has_room(record)

    def recheck_s(self, records: Iterable[UpstreamRecord]) -> float | None:
        """Return the time after which to look at the limits again, in seconds.

        Returns None if no limit of these upstreams is in force.
        """
        limited = [record for record in records if self.in_force(record) is not None]
        if not limited:
            return None
        wait_s = min(self.wait_s(record) for record in limited)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))

    def drop_removed(self) -> None:
        """Drop the limits of upstreams that have left."""
        for instance, limit in list(self.limits.items()):
            if self.find(instance) is not None:
                limit.was_listed = True
            elif limit.was_listed:
                del self.limits[instance]
                self.malformed.discard(instance)

    def report(self, since: int = 0) -> LimitReport:
        """Return the limits that changed after a change, for another entry."""
        changed = [
            pb.UpstreamLimit(
                instance=instance,
                per_second=limit.named.per_second,
                ended=math.isinf(limit.named.per_second),
                revision=limit.named.revision,
            )
            for instance, limit in self.limits.items()
            if limit.change > since
        ]
        return LimitReport(changed, self.changes)

    def merge(self, limits: Iterable[pb.UpstreamLimit], source: str) -> None:
        """Take over the limits that another entry reported.

        Args:
            limits: The limits.
            source: Name of that entry, for logs.
        """
        for message in limits:
            per_second = math.inf if message.ended else message.per_second
            named = NamedLimit(per_second, message.revision)
            known = self.limits.get(message.instance, UpstreamLimit()).named
            if known.is_before(named):
                self.change(message.instance, named, source=source)


def _kind_of_change(former: NamedLimit, named: NamedLimit) -> str:
    if math.isinf(named.per_second):
        return "ended"
    return "named" if math.isinf(former.per_second) else "changed"
