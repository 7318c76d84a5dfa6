"""Records of what was running at an upstream when it crashed.

A request that was running is a suspect: it may be a poison request, which crashes every
upstream that runs it. So is each part of its prompt that other requests share.
Processes merge their records by set union, so updates may arrive repeatedly and in any
order. The id of a crash contains the time of the crash.
"""

import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice, takewhile

from skylarkdoor.wire import pb

# Uncleared crashes at which a request is quarantined.
QUARANTINE_CRASHES = 2
# Time after which a crash no longer counts against a request.
RETENTION_S = 24 * 3600.0
# Requests and parts of prompts for which one process keeps records.
MAX_SUSPICIONS = 10_000
# Least recently updated records of which one with a single crash is removed first.
MAX_SPARED = 100
SEPARATOR = "/"


def crash_id(instance: str, incarnation: int, number: int) -> str:
    """Return the id of a crash of the upstream beside an instance.

    Args:
        instance: Name of the instance.
        incarnation: Incarnation of that instance.
        number: Number of the crash within that incarnation.
    """
    parts = (str(int(time.time())), instance, str(incarnation), str(number))
    return SEPARATOR.join(parts)


def crashed_incarnation(crash: str) -> str:
    """Return the part of a crash's id that is the same for all of its observers.

    It consists of the instance, its incarnation and the number of the crash.
    """
    _, _, incarnation = crash.partition(SEPARATOR)
    return incarnation


def is_fresh(crash: str) -> bool:
    """Return whether a crash is recent enough to count."""
    return _time_of(crash) > time.time() - RETENTION_S


def _time_of(crash: str) -> int:
    """Return the Unix time in a crash's id, in seconds; 0 if it is malformed."""
    at, _, _ = crash.partition(SEPARATOR)
    return int(at) if at.isdecimal() else 0


@dataclass
class Suspicion:
    """The crashes that occurred while one request, or one part of prompts, was running.

    Attributes:
        fingerprint: Hash of the request's customer, call and body, or of the part.
        crashes: Ids of the crashes.
        cleared: Ids of the crashes that no longer count, because the request has
            since completed while it ran alone.
        revision: Number of the latest change within this process.
        part: Name of the part; empty for a whole request.
    """

    fingerprint: int
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    revision: int = 0
    part: str = ""

    @property
    def open(self) -> set[str]:
        """Ids of the crashes that still count against the request."""
        return {crash for crash in self.crashes - self.cleared if is_fresh(crash)}

    def times_by_crash(self) -> dict[str, int]:
        """Return the Unix time of each crash that counts, in seconds, oldest first.

        A crash that several processes observed counts once, at the earliest time. The
        keys are what `crashed_incarnation` returns.
        """
        times: dict[str, int] = {}
        for crash in sorted(self.open, key=_time_of):
            times.setdefault(crashed_incarnation(crash), _time_of(crash))
        return times

    def crash_times(self) -> list[int]:
        """Return the Unix time of each crash that counts, in seconds, in order."""
        return list(self.times_by_crash().values())

    @property
    def is_suspect(self) -> bool:
        """Whether the request may run only while no other request does."""
        return bool(self.open)

    @property
    def is_expired(self) -> bool:
        """Whether no crash is recent enough to count."""
        return not any(map(is_fresh, self.crashes))

    @property
    def is_quarantined(self) -> bool:
        """Whether the request must not run at all."""
        return len(self.open) >= QUARANTINE_CRASHES

    def message(self) -> pb.Suspect:
        """Return the message that reports this suspicion to peers."""
        return pb.Suspect(
            fingerprint=self.fingerprint,
            crashes=len(self.open),
            crash_ids=sorted(self.crashes),
            cleared_ids=sorted(self.cleared),
            part=self.part,
        )


class Suspicions:
    """The suspicions recorded by one process.

    Above `MAX_SUSPICIONS`, the least recently updated ones are removed, first those of
    a single crash.

    Attributes:
        by_fingerprint: Suspicions in the order of their latest changes.
        revision: Number of changes so far.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.by_fingerprint: OrderedDict[int, Suspicion] = OrderedDict()

    def __iter__(self) -> Iterator[Suspicion]:
        return iter(list(self.by_fingerprint.values()))

    def get(self, fingerprint: int) -> Suspicion:
        """Return the suspicion of a request, empty if none is recorded."""
        recorded = self.by_fingerprint.get(fingerprint)
        return recorded or Suspicion(fingerprint)

    def merge(
        self,
        fingerprint: int,
        crashes: Iterable[str],
        cleared: Iterable[str] = (),
        *,
        part: str = "",
    ) -> bool:
        """Add crashes and clearances of a suspect; return whether any is new.

        Args:
            fingerprint: The suspect.
            crashes: Ids of the crashes.
            cleared: Ids of the crashes that no longer count.
            part: Name of the part of prompts; empty for a whole request.
        """
        recorded = self.get(fingerprint)
        new = set(crashes) - recorded.crashes, set(cleared) - recorded.cleared
        if not any(new):
            return False
        recorded.crashes |= new[0]
        recorded.cleared |= new[1]
        self.revision += 1
        recorded.revision = self.revision
        recorded.part = part or recorded.part
        self.by_fingerprint[fingerprint] = recorded
        self.by_fingerprint.move_to_end(fingerprint)
        while len(self.by_fingerprint) > MAX_SUSPICIONS:
            self.remove_oldest()
        return True

    def remove_oldest(self) -> None:
        """Remove the least recently updated suspicion, a repeated one last."""
        oldest = list(islice(self.by_fingerprint.values(), MAX_SPARED))
        single = (recorded for recorded in oldest if len(recorded.open) < 2)
        removed = next(single, oldest[0])
        del self.by_fingerprint[removed.fingerprint]

    def changed_since(self, revision: int) -> list[Suspicion]:
        """Return the suspicions that changed after a revision, oldest change first."""
        newest_first = reversed(self.by_fingerprint.values())
        changed = takewhile(lambda recorded: recorded.revision > revision, newest_first)
        return list(changed)[::-1]

    def merge_message(self, message: pb.Suspect) -> bool:
        """Add the content of a peer's message; return whether any of it is new."""
        return self.merge(
            message.fingerprint,
            message.crash_ids,
            message.cleared_ids,
            part=message.part,
        )
