"""Suspicions of requests and of parts of prompts, shared between entries."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from skylarkdoor.suspicion import Suspicion, Suspicions
from skylarkdoor.wire import pb
from skylarkdoord.direct.evidence._crashing_parts import CrashingParts
from skylarkdoord.direct.evidence._crashing_requests import CrashingRequests

# Limits the size of an update sent to other entries.
MAX_REPORTED_SUSPECTS = 400


class SuspicionReport(NamedTuple):
    """Suspicions to be sent to another entry.

    Attributes:
        suspects: The suspicions.
        revision: Revision up to which the receiver then knows all.
    """

    suspects: list[pb.Suspect]
    revision: int


class SharedSuspicions:
    """What this entry and the others suspect.

    Args:
        clock: Returns the monotonic time, in seconds.

    Attributes:
        suspicions: Crashes of which each request is suspected.
        observed: Those of the suspicions, and of their clearances, that this entry
            observed itself.
        requests: Requests that are suspected.
        parts: Parts of prompts that are suspected.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.suspicions = Suspicions()
        self.observed = Suspicions()
        self.requests = CrashingRequests(self.suspicions, clock)
        self.parts = CrashingParts(self.suspicions, clock)
        self.parts.request_culprits = self.requests.culprits

    def review_parts(self) -> None:
        """Find the parts that are guilty, after suspicions have changed."""
        self.parts.review(self.requests.culprits())

    def observe(
        self,
        fingerprint: int,
        crashes: Iterable[str],
        cleared: Iterable[str] = (),
        *,
        part: str = "",
    ) -> None:
        """Add crashes and clearances that this entry observed.

        Args:
            fingerprint: The request or the part.
            crashes: Ids of the crashes.
            cleared: Ids of the crashes that no longer count.
            part: Name of the part; empty for a request.
        """
        crashes, cleared = list(crashes), list(cleared)
        self.observed.merge(fingerprint, crashes, cleared, part=part)
        self.suspicions.merge(fingerprint, crashes, cleared, part=part)
        self.update(fingerprint)

    def update(self, fingerprint: int) -> None:
        """Bring the state of a request or part up to date with its suspicions."""
        if self.suspicions.get(fingerprint).part:
            self.parts.update(fingerprint)
        else:
            self.requests.update(fingerprint)

    def restore(self, observed: Iterable[Suspicion]) -> None:
        """Add what a former incarnation of this entry observed."""
        for suspicion in observed:
            self.observe(
                suspicion.fingerprint,
                suspicion.crashes,
                suspicion.cleared,
                part=suspicion.part,
            )
        self.review_parts()

    def report(self, since: int = 0) -> SuspicionReport:
        """Return the suspicions that changed after a revision, for another entry.

        At most `MAX_REPORTED_SUSPECTS` are returned; the next report continues after
        them.
        """
        changed = self.suspicions.changed_since(since)[:MAX_REPORTED_SUSPECTS]
        if not changed:
            return SuspicionReport([], since)
        messages = [suspicion.message() for suspicion in changed]
        return SuspicionReport(messages, changed[-1].revision)

    def merge(self, suspects: Iterable[pb.Suspect]) -> None:
        """Add the suspicions reported by another entry."""
        is_changed = False
        for suspect in suspects:
            if self.suspicions.merge_message(suspect):
                self.update(suspect.fingerprint)
                is_changed = True
        if is_changed:
            self.review_parts()
