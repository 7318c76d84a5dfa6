"""Records of requests that were running at an upstream when it crashed.

Such a request is a suspect: it may be a poison request, which crashes every upstream
that runs it. Processes merge their records by set union, so updates may arrive
repeatedly and in any order. The id of a crash contains the time of the crash.
"""

import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile

from skylarkdoor.wire import pb

# Uncleared crashes at which a request is quarantined.
QUARANTINE_CRASHES = 2
# Time after which a crash no longer counts against a request.
RETENTION_S = 24 * 3600.0
# Requests for which one process keeps records.
MAX_SUSPICIONS = 10_000
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
    """The crashes that occurred while one request was running.

    Attributes:
        fingerprint: Hash of the request's customer, call and body.
        crashes: Ids of the crashes.
        cleared: Ids of the crashes that no longer count, because the request has
            since completed while it ran alone.
        revision: Number of the latest change within this process.
    """

    fingerprint: int
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    revision: int = 0

    @property
    def open(self) -> set[str]:
        """Ids of the crashes that still count against the request."""
        return {crash for crash in self.crashes - self.cleared if is_fresh(crash)}

    def crash_times(self) -> list[int]:
        """Return the Unix time of each crash that counts, in seconds, in order.

        A crash that several processes observed counts once, at the earliest time.
        """
        times: dict[str, int] = {}
        for crash in sorted(self.open, key=_time_of):
            times.setdefault(crashed_incarnation(crash), _time_of(crash))
        return list(times.values())

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
        )


class Suspicions:
    """The suspicions recorded by one process.

    Above `MAX_SUSPICIONS`, the least recently updated ones are removed.

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
    ) -> bool:
        """Add crashes and clearances of a request; return whether any is new."""
        recorded = self.get(fingerprint)
        new = set(crashes) - recorded.crashes, set(cleared) - recorded.cleared
        if not any(new):
            return False
        recorded.crashes |= new[0]
        recorded.cleared |= new[1]
        self.revision += 1
        recorded.revision = self.revision
        self.by_fingerprint[fingerprint] = recorded
        self.by_fingerprint.move_to_end(fingerprint)
        while len(self.by_fingerprint) > MAX_SUSPICIONS:
            self.by_fingerprint.popitem(last=False)
        return True

    def changed_since(self, revision: int) -> list[Suspicion]:
        """Return the suspicions that changed after a revision, oldest change first."""
        newest_first = reversed(self.by_fingerprint.values())
        changed = takewhile(lambda recorded: recorded.revision > revision, newest_first)
        return list(changed)[::-1]

    def merge_message(self, message: pb.Suspect) -> bool:
        """Add the content of a peer's message; return whether any of it is new."""
        return self.merge(message.fingerprint, message.crash_ids, message.cleared_ids)
