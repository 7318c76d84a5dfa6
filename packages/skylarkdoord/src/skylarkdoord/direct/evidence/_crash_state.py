"""The state of upstreams that may crash, and of requests that are suspected of it."""

import math
from collections import Counter
from dataclasses import dataclass, field
from itertools import pairwise

from skylarkdoord.direct._model import UpstreamRecord
from skylarkdoord.direct.evidence._suspect_keys import SharedPart

# A request suspected of this many crashes is quarantined.
MAX_CRASHES = 3
# Crashes at shorter intervals may have one cause outside the request, and be noticed
# one after the other. A trial follows the latest crash by at least this.
SETTLE_S = 3.0


@dataclass
class Watched:
    """An incarnation of an upstream, with the requests to suspect if it crashed.

    Attributes:
        record: Its record in the registry.
        in_flight: Fingerprints of the requests in flight, counted.
        unanswered: Monotonic time at which a request ended without an answer, by
            fingerprint, in seconds; oldest first.
        parts: Parts of the prompts of these requests, by fingerprint of the request.
        crashes: Number of crashes under this record.
        crashed_at: Monotonic time of the latest crash, in seconds.
        restarts: Number of later starts that its guard reported.
        is_replaced: Whether another upstream has its address.
        listed_start: Start of the instance that the registry listed when it was last
            examined, as `UpstreamRecord.started_ms`; None if none was listed.
        is_checked: Whether a check is pending.
        is_unconfirmed: Whether a check found it running, but could not ask the registry
            whether it has restarted.
    """

    record: UpstreamRecord
    listed_start: int | None
    in_flight: Counter[int] = field(default_factory=Counter)
    unanswered: dict[int, float] = field(default_factory=dict)
    parts: dict[int, tuple[SharedPart, ...]] = field(default_factory=dict)
    crashes: int = 0
    crashed_at: float = -math.inf
    restarts: int = 0
    is_checked: bool = False
    is_unconfirmed: bool = False
    is_replaced: bool = False

    def suspects(self) -> set[int]:
        """Return the fingerprints to suspect if the upstream crashed."""
        return {*self.in_flight, *self.unanswered}

    def suspected_parts(self) -> set[SharedPart]:
        """Return the parts of prompts to suspect if the upstream crashed."""
        return {part for parts in self.parts.values() for part in parts}

    def add_parts(self, fingerprint: int, parts: tuple[SharedPart, ...]) -> None:
        """Remember the parts of a request's prompt."""
        if parts:
            self.parts[fingerprint] = parts

    def drop_parts(self, fingerprint: int) -> None:
        """Forget the parts of a request that is no suspect any more."""
        if fingerprint not in self.in_flight and fingerprint not in self.unanswered:
            self.parts.pop(fingerprint, None)

    def forget_unanswered(self, fingerprint: int) -> None:
        """Forget a request that ended without an answer."""
        del self.unanswered[fingerprint]
        self.drop_parts(fingerprint)

    def forget_all_unanswered(self) -> None:
        """Forget all requests that ended without an answer."""
        for fingerprint in list(self.unanswered):
            self.forget_unanswered(fingerprint)

    def on_answered_elsewhere(self, fingerprint: int, sent_at: float) -> None:
        """Forget a request that another upstream answered afterwards.

        Args:
            fingerprint: The request.
            sent_at: Monotonic time at which it was sent there, in seconds.
        """
        if self.unanswered.get(fingerprint, math.inf) <= sent_at:
            self.forget_unanswered(fingerprint)

    def drop_ended_before(self, since: float) -> None:
        """Forget the requests that ended before a monotonic time, in seconds."""
        while self.unanswered:
            oldest = next(iter(self.unanswered))
            if self.unanswered[oldest] >= since:
                return
            self.forget_unanswered(oldest)


def are_apart(times: list[int]) -> bool:
    """Return whether crashes have several causes, or one in the request.

    Args:
        times: Unix time of each crash, in seconds, in order.
    """
    return any(later - earlier >= SETTLE_S for earlier, later in pairwise(times))


@dataclass
class Suspect:
    """What this entry learned about a suspected request since the latest crash.

    Attributes:
        crashes: Number of crashes of which the request is suspected.
        crashed_at: Monotonic time at which the latest one became known, in seconds.
        answers: Answers to attempts that were sent since.
        is_single_event: Whether all crashes became known within `SETTLE_S` of each
            other, so that one cause outside the request may explain them.
    """

    crashes: int = 0
    crashed_at: float = -math.inf
    answers: int = 0
    is_single_event: bool = True

    def set_crashes(self, times: list[int], now: float) -> None:
        """Record the crashes that are known.

        Args:
            times: Unix time of each crash, in seconds, in order.
            now: Monotonic time, in seconds.
        """
        crashes = len(times)
        if crashes <= self.crashes:
            self.crashes = crashes
            return
        is_settled = self.crashes > 0 and now - self.crashed_at >= SETTLE_S
        # This entry may hear of crashes only afterwards, and all at once.
        if is_settled or are_apart(times):
            self.is_single_event = False
        self.crashes = crashes
        self.crashed_at = now
        self.answers = 0

    def is_trial_due(self, now: float) -> bool:
        """Return whether a trial is allowed, if the request is quarantined."""
        return self.is_single_event and now - self.crashed_at >= SETTLE_S
