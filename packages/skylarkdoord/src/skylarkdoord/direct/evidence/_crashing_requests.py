"""Requests that are suspected of crashes, and the trials of those in quarantine."""

from collections.abc import Callable, Iterator

from skylarkdoor.suspicion import MAX_SUSPICIONS, Suspicions
from skylarkdoord.direct.evidence._answered import Answered
from skylarkdoord.direct.evidence._crash_state import MAX_CRASHES, Suspect

# Answers since the latest crash that clear a request. One answer says little if only
# some of the upstreams crash, as while a release is rolled out.
CLEARING_ANSWERS = 5


class CrashingRequests:
    """Tracks the requests that are suspected of crashes.

    Args:
        suspicions: Crashes of which each request and each part is suspected.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        suspected: State of each request that is suspected of a crash, by fingerprint.
        repeated: Requests suspected of `MAX_CRASHES` or more.
        answered: Requests that upstreams answered lately.
        is_trial_owner: Returns whether this entry, of all entries, makes the trials of
            a request.
        is_in_flight: Returns whether a request is in flight.
    """

    def __init__(self, suspicions: Suspicions, clock: Callable[[], float]) -> None:
        self.suspicions = suspicions
        self.clock = clock
        self.suspected: dict[int, Suspect] = {}
        self.repeated: set[int] = set()
        self.answered = Answered(clock)
        self.is_trial_owner: Callable[[int], bool] = lambda fingerprint: True
        self.is_in_flight: Callable[[int], bool] = lambda fingerprint: False

    def crashes_of(self, fingerprint: int) -> frozenset[str]:
        """Return the crashes during which a request was in flight."""
        return frozenset(self.suspicions.get(fingerprint).times_by_crash())

    def culprits(self) -> Iterator[frozenset[str]]:
        """Yield the crashes of each request that crashes upstreams by itself."""
        return map(self.crashes_of, self.repeated)

    def may_try(self, fingerprint: int) -> bool:
        """Return whether a quarantined request may be sent once, as a trial.

        Upstreams answered it lately, so that it may have been in flight by chance when
        they crashed. One entry sends one copy at a time, which crashes one upstream at
        most.
        """
        suspect = self.suspected.get(fingerprint)
        if suspect is None or not suspect.is_trial_due(self.clock()):
            return False
        if self.is_in_flight(fingerprint) or not self.is_trial_owner(fingerprint):
            return False
        return fingerprint in self.answered

    def on_answered(self, fingerprint: int, sent_at: float) -> set[str]:
        """Record an answer to a request; return the ids of the crashes it clears.

        Args:
            fingerprint: The request.
            sent_at: Monotonic time at which the answered attempt was sent, in seconds.
                An attempt from before a crash says nothing about the crash.
        """
        self.answered.add(fingerprint)
        suspect = self.suspected.get(fingerprint)
        if suspect is None or sent_at < suspect.crashed_at:
            return set()
        suspect.answers += 1
        if suspect.answers < CLEARING_ANSWERS:
            return set()
        return self.suspicions.get(fingerprint).open

    def update(self, fingerprint: int) -> None:
        """Bring the state of a request up to date with its suspicions."""
        times = self.suspicions.get(fingerprint).crash_times()
        if len(times) < MAX_CRASHES:
            self.repeated.discard(fingerprint)
        else:
            self.repeated.add(fingerprint)
        if not times:
            self.suspected.pop(fingerprint, None)
            return
        suspect = self.suspected.setdefault(fingerprint, Suspect())
        suspect.set_crashes(times, self.clock())
        if len(self.suspected) > MAX_SUSPICIONS:
            oldest = next(iter(self.suspected))
            del self.suspected[oldest]
            self.repeated.discard(oldest)
