"""What is known of requests that were inside upstreams as these crashed.

A crash is named by an id that bears its time. What several processes know is
joined by union, so it does no harm to hear of a crash twice or late.
"""

import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from skylarkdoor.wire import pb

QUARANTINE_CRASHES = 2
RETENTION_S = 24 * 3600.0
MAX_SUSPICIONS = 10_000
SEPARATOR = "/"


def crash_id(instance: str, incarnation: int, number: int) -> str:
    """Return the id of a crash of the upstream beside an instance."""
    parts = (str(int(time.time())), instance, str(incarnation), str(number))
    return SEPARATOR.join(parts)


def is_fresh(crash: str) -> bool:
    """Return whether a crash still counts."""
    at, _, _ = crash.partition(SEPARATOR)
    return at.isdigit() and int(at) > time.time() - RETENTION_S


@dataclass
class Suspicion:
    """Crashes with one request inside.

    Attributes:
        fingerprint: Hash of the request's customer, call and body.
        crashes: Ids of the crashes.
        cleared: Those of which a run alone to its end has cleared it.
    """

    fingerprint: int
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)

    @property
    def open(self) -> set[str]:
        """The crashes that still count against the request."""
        return {crash for crash in self.crashes - self.cleared if is_fresh(crash)}

    @property
    def is_suspect(self) -> bool:
        """Whether the request may only run alone."""
        return bool(self.open)

    @property
    def is_quarantined(self) -> bool:
        """Whether the request may not run."""
        return len(self.open) >= QUARANTINE_CRASHES

    def message(self) -> pb.Suspect:
        """Return what peers are told."""
        return pb.Suspect(
            fingerprint=self.fingerprint,
            crashes=len(self.open),
            crash_ids=sorted(self.crashes),
            cleared_ids=sorted(self.cleared),
        )


class Suspicions:
    """The suspicions that one process knows, the latest ones if too many."""

    def __init__(self) -> None:
        self.by_fingerprint: OrderedDict[int, Suspicion] = OrderedDict()

    def __iter__(self) -> Iterator[Suspicion]:
        return iter(list(self.by_fingerprint.values()))

    def of(self, fingerprint: int) -> Suspicion:
        """Return what is known of a request."""
        known = self.by_fingerprint.get(fingerprint)
        return known or Suspicion(fingerprint)

    def learn(
        self,
        fingerprint: int,
        crashes: Iterable[str],
        cleared: Iterable[str] = (),
    ) -> bool:
        """Add what is told of a request; returns whether any of it is new."""
        known = self.by_fingerprint.setdefault(fingerprint, Suspicion(fingerprint))
        new = set(crashes) - known.crashes, set(cleared) - known.cleared
        known.crashes |= new[0]
        known.cleared |= new[1]
        if not any(new):
            return False
        self.by_fingerprint.move_to_end(fingerprint)
        while len(self.by_fingerprint) > MAX_SUSPICIONS:
            self.by_fingerprint.popitem(last=False)
        return True

    def hear(self, told: pb.Suspect) -> bool:
        """Add what a peer tells; returns whether any of it is new."""
        return self.learn(told.fingerprint, told.crash_ids, told.cleared_ids)
