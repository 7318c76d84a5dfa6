"""Limits on requests that upstreams in need name in their answers.

A limit belongs to one incarnation of an upstream. It is in force until an answer names
none, or the upstream restarts or leaves.
"""

from dataclasses import dataclass

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._adapter import UpstreamHead
from skylarkdoord.direct._metrics import UPSTREAM_LIMITS
from skylarkdoord.direct._model import UpstreamRecord

# Instance of an upstream and Unix time of its start in milliseconds.
Incarnation = tuple[str, int]


@dataclass
class UpstreamLimit:
    """The limit of one incarnation of an upstream.

    Attributes:
        per_second: Requests a second that it takes from all entries together; None if
            the limit has ended.
    """

    per_second: float | None = None


class UpstreamLimits:
    """Tracks the limits that upstreams name.

    Args:
        instance: Name of this entry.

    Attributes:
        limits: Limits by incarnation of the upstream.
        malformed: Incarnations that named a malformed limit.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.limits: dict[Incarnation, UpstreamLimit] = {}
        self.malformed: set[Incarnation] = set()
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
        known = self.limits.get(_incarnation(record))
        if head.limit_per_s != (known.per_second if known else None):
            self.change(record, head.limit_per_s)

    def reject(self, record: UpstreamRecord) -> None:
        """Log a malformed limit, once for each incarnation."""
        if _incarnation(record) in self.malformed:
            return
        self.malformed.add(_incarnation(record))
        self.log.event(_events.UPSTREAM_LIMIT_REJECTED, upstream=record.instance)

    def change(self, record: UpstreamRecord, per_second: float | None) -> None:
        """Put a limit in force, or end it if it is None."""
        limit = self.limits.setdefault(_incarnation(record), UpstreamLimit())
        kind = "named" if limit.per_second is None else "changed"
        if per_second is None:
            kind = "ended"
        limit.per_second = per_second
        UPSTREAM_LIMITS.labels(kind).inc()
        self.log.event(
            _events.UPSTREAM_LIMIT_CHANGED,
            upstream=record.instance,
            per_second=per_second,
            change=kind,
            source=self.instance,
        )


def _incarnation(record: UpstreamRecord) -> Incarnation:
    return record.instance, record.started_ms
