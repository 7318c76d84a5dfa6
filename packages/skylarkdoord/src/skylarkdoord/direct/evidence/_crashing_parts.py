"""Quarantines parts of prompts that crash upstreams, whatever else a request holds.

At each crash, every part in flight is a suspect. Most of them are innocent: an answer
to a request with a part speaks for it, and a part whose crashes another one explains is
left alone.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from skylarkdoor import events
from skylarkdoor.suspicion import MAX_SUSPICIONS, Suspicions, crashed_incarnation
from skylarkdoord import _events
from skylarkdoord.direct._metrics import QUARANTINED_PARTS
from skylarkdoord.direct.evidence._answered import Answered
from skylarkdoord.direct.evidence._part_evidence import (
    ANSWER_TIME_S,
    MAX_PART_CRASHES,
    PartEvidence,
    find_culprits,
    find_leading,
)
from skylarkdoord.direct.evidence._suspect_keys import SharedPart

# Time from the latest crash to the first trial of a part, if it was answered shortly
# before its quarantine or not, and the factor for each further trial.
ANSWERED_TRIAL_S = 1.0
UNANSWERED_TRIAL_S = 20.0
TRIAL_BACKOFF = 8.0


@dataclass
class Quarantine:
    """A part of which no request is sent, except for trials.

    Attributes:
        name: Name of the part.
        crashes: Crashes of which it is suspected.
        trial_delay_s: Time from the latest crash to the next trial, in seconds.
        trial_at: Monotonic time from which a trial is due, in seconds.
    """

    name: str
    crashes: frozenset[str]
    trial_delay_s: float
    trial_at: float

    def update(self, crashes: frozenset[str], now: float) -> None:
        """Record the crashes that count; a new one delays the next trial.

        A crash at a time when a trial was due is the outcome of that trial.
        """
        if crashes - self.crashes:
            if now >= self.trial_at:
                self.trial_delay_s *= TRIAL_BACKOFF
            self.trial_at = now + self.trial_delay_s
        self.crashes = crashes


class CrashingParts:
    """Finds and quarantines the parts of prompts that crash upstreams.

    Args:
        suspicions: Crashes of which each request and each part is suspected.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        known_at: Monotonic time at which each crash of a suspected part became known,
            in seconds, by fingerprint and crash.
        repeated: Parts suspected of `MAX_PART_CRASHES` or more.
        quarantined: Parts that must not be sent, by fingerprint.
        answered: Parts that upstreams answered lately.
        is_trial_owner: Returns whether this entry, of all entries, makes the trials of
            a part.
        is_in_flight: Returns whether a request with a part is in flight.
        request_culprits: Returns the crashes of each request that crashes upstreams by
            itself.
        review_at: Monotonic time at which a suspect's time for another answer ends, in
            seconds; infinite if there is none.
    """

    def __init__(self, suspicions: Suspicions, clock: Callable[[], float]) -> None:
        self.suspicions = suspicions
        self.clock = clock
        self.known_at: dict[int, dict[str, float]] = {}
        self.repeated: set[int] = set()
        self.quarantined: dict[int, Quarantine] = {}
        self.answered = Answered(clock)
        self.is_trial_owner: Callable[[int], bool] = lambda fingerprint: True
        self.is_in_flight: Callable[[int], bool] = lambda fingerprint: False
        self.request_culprits: Callable[[], Iterable[frozenset[str]]] = lambda: ()
        self.review_at = math.inf
        self.log = events.get_logger("direct.crashing_parts")

    def find_quarantined(self, parts: Iterable[SharedPart]) -> SharedPart | None:
        """Return a part because of which a request must not be sent now, if any."""
        if self.clock() >= self.review_at:
            self.review_without_news()
        if not self.quarantined:
            return None
        for part in parts:
            quarantine = self.quarantined.get(part.fingerprint)
            if quarantine and not self.may_try(part.fingerprint, quarantine):
                return part
        return None

    def may_try(self, fingerprint: int, quarantine: Quarantine) -> bool:
        """Return whether a request with a quarantined part may be sent, as a trial.

        One entry sends one at a time, which crashes one upstream at most.
        """
        if self.clock() < quarantine.trial_at or not self.is_trial_owner(fingerprint):
            return False
        return not self.is_in_flight(fingerprint)

    def update(self, fingerprint: int) -> None:
        """Bring the state of a part up to date with its suspicions."""
        crashes = self.suspicions.get(fingerprint).times_by_crash()
        if len(crashes) < MAX_PART_CRASHES:
            self.repeated.discard(fingerprint)
        else:
            self.repeated.add(fingerprint)
        if not crashes:
            self.known_at.pop(fingerprint, None)
            return
        now = self.clock()
        known_at = self.known_at.get(fingerprint, {})
        self.known_at[fingerprint] = {
            crash: known_at.get(crash, now) for crash in crashes
        }
        if len(self.known_at) > MAX_SUSPICIONS:
            others = (part for part in self.known_at if part not in self.quarantined)
            dropped = next(others, fingerprint)
            self.known_at.pop(dropped)
            self.repeated.discard(dropped)

    def on_answered(self, part: SharedPart, began_at: float) -> set[str]:
        """Record an answer to a request with a part; return the crashes that it clears.

        Args:
            part: The part.
            began_at: Monotonic time at which the answer began, in seconds. It says
                nothing about crashes that became known later.
        """
        self.answered.add(part.fingerprint)
        known_at = self.known_at.get(part.fingerprint)
        if known_at is None:
            return set()
        cleared = {crash for crash, at in known_at.items() if at <= began_at}
        return {
            crash
            for crash in self.suspicions.get(part.fingerprint).open
            if crashed_incarnation(crash) in cleared
        }

    def review(self, requests: Iterable[frozenset[str]] = ()) -> None:
        """Release parts that were answered, and quarantine those found guilty.

        Args:
            requests: Crashes of each request that crashes upstreams by itself.
        """
        now = self.clock()
        for fingerprint, quarantine in list(self.quarantined.items()):
            crashes = frozenset(self.known_at.get(fingerprint, ()))
            if len(crashes) < MAX_PART_CRASHES:
                self.release(fingerprint)
            else:
                quarantine.update(crashes, now)
        suspects = self.suspects(now)
        for culprit in find_culprits(suspects, self.explained(), requests):
            self.quarantine(culprit)
        self.plan_review(suspects, now)

    def review_without_news(self) -> None:
        """Quarantine a part whose time for another answer ended while none could come.

        Crashes and answers cause reviews, but there are none while all upstreams are
        down. The requests sent after that must not all be sent to those that are back.
        """
        now = self.clock()
        suspects = self.suspects(now)
        leading = find_leading(suspects, self.request_culprits())
        if leading is not None and not self.quarantined:
            self.quarantine(leading)
        self.plan_review(suspects, now)

    def plan_review(self, suspects: Iterable[PartEvidence], now: float) -> None:
        """Set the time of the next review without news.

        Args:
            suspects: The parts that are suspected of several crashes.
            now: Monotonic time, in seconds.
        """
        ages_s = [suspect.age_s for suspect in suspects]
        pending = [age_s for age_s in ages_s if age_s < ANSWER_TIME_S]
        self.review_at = now + ANSWER_TIME_S - max(pending, default=-math.inf)

    def suspects(self, now: float) -> list[PartEvidence]:
        """Return what speaks against the parts that are not quarantined yet.

        Args:
            now: Monotonic time, in seconds.
        """
        return [
            self.evidence(fingerprint, now)
            for fingerprint in self.repeated
            if fingerprint not in self.quarantined
        ]

    def evidence(self, fingerprint: int, now: float) -> PartEvidence:
        """Return what speaks against a part at a monotonic time, in seconds."""
        known_at = self.known_at[fingerprint]
        return PartEvidence(
            fingerprint,
            crashes=frozenset(known_at),
            was_answered=fingerprint in self.answered,
            age_s=now - min(known_at.values()),
        )

    def explained(self) -> frozenset[str]:
        """Return the crashes of the quarantined parts."""
        crashes = (quarantine.crashes for quarantine in self.quarantined.values())
        return frozenset().union(*crashes)

    def quarantine(self, culprit: PartEvidence) -> None:
        """Refuse requests with a part from now on."""
        fingerprint = culprit.fingerprint
        delay_s = ANSWERED_TRIAL_S if culprit.was_answered else UNANSWERED_TRIAL_S
        quarantine = Quarantine(
            name=self.suspicions.get(fingerprint).part,
            crashes=culprit.crashes,
            trial_delay_s=delay_s,
            trial_at=max(self.known_at[fingerprint].values()) + delay_s,
        )
        self.quarantined[fingerprint] = quarantine
        QUARANTINED_PARTS.set(len(self.quarantined))
        self.log.event(
            _events.PART_QUARANTINED,
            part=quarantine.name,
            crashes=sorted(quarantine.crashes),
            answered=culprit.was_answered,
            trial_in_s=delay_s,
        )

    def release(self, fingerprint: int) -> None:
        """Send requests with a part again."""
        quarantine = self.quarantined.pop(fingerprint)
        QUARANTINED_PARTS.set(len(self.quarantined))
        self.log.event(_events.PART_RELEASED, part=quarantine.name)
