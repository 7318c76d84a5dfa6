"""Detects requests that crash the upstreams that run them, and quarantines them.

A request that was in flight at an upstream when it crashed is suspected of that
crash, until an upstream answers it. A request suspected of several crashes is
quarantined: it is not sent any more.
Entries share their suspicions with each other.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

from skylarkdoor import events
from skylarkdoor.hashing import fingerprint
from skylarkdoor.suspicion import Suspicions, crash_id, crashed_incarnation
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.direct._model import Admitted, UpstreamRecord

# A request suspected of this many crashes is quarantined.
MAX_CRASHES = 3
# Delay of the probe after a lost answer. A crashed upstream refuses connections for
# longer than this.
PROBE_DELAY_S = 0.15
CONNECT_TIMEOUT_S = 0.5
# Limits the size of an update sent to other entries.
MAX_REPORTED_SUSPECTS = 50

# Instance of an upstream and Unix time of its start in milliseconds.
Incarnation = tuple[str, int]


def fingerprint_of(admitted: Admitted) -> int:
    """Return the fingerprint of a request, which its repeats share.

    It covers the customer, method, target and body.
    """
    request = admitted.request
    call = f"{request.method} {request.target}".encode() + b"\0" + request.body
    return fingerprint(admitted.customer.name if admitted.customer else "", call)


async def is_down(record: UpstreamRecord) -> bool:
    """Return whether an upstream does not accept connections."""
    host, _, port = record.address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return True
    writer.close()
    return False


class Crashes:
    """Tracks which requests were in flight at upstreams that crashed.

    Args:
        probe: Returns whether an upstream is down.

    Attributes:
        suspicions: Crashes of which each request is suspected.
        in_flight: Fingerprints of the requests in flight at each upstream, counted.
        pending_suspects: Fingerprints to suspect if a pending check finds the upstream
            down.
        checks: Tasks of the pending checks.
    """

    def __init__(
        self, *, probe: Callable[[UpstreamRecord], Awaitable[bool]] = is_down
    ) -> None:
        self.probe = probe
        self.suspicions = Suspicions()
        self.in_flight: dict[Incarnation, Counter[int]] = {}
        self.pending_suspects: dict[Incarnation, set[int]] = {}
        self.checks: set[asyncio.Task[None]] = set()
        self.log = events.get_logger("direct.crashes")

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request is suspected of too many crashes.

        An upstream that is still being checked counts as crashed.
        """
        unchecked = sum(
            fingerprint in suspects for suspects in self.pending_suspects.values()
        )
        return self.count(fingerprint) + unchecked >= MAX_CRASHES

    def count(self, fingerprint: int) -> int:
        """Return the number of crashes of which a request is suspected.

        Entries observe a crash at different times; it counts once.
        """
        crashes = self.suspicions.get(fingerprint).open
        return len({crashed_incarnation(crash) for crash in crashes})

    def on_answered(self, fingerprint: int) -> None:
        """Clear a request that an upstream answered of its former suspicions."""
        crashes = self.suspicions.get(fingerprint).open
        if not crashes:
            return
        self.suspicions.merge(fingerprint, (), crashes)
        self.log.event(
            _events.REQUEST_CLEARED,
            fingerprint=f"{fingerprint:016x}",
            crashes=len(crashes),
        )

    def add_in_flight(self, record: UpstreamRecord, fingerprint: int) -> None:
        """Record that a request is sent to an upstream."""
        self.in_flight.setdefault(_incarnation(record), Counter())[fingerprint] += 1

    def remove_in_flight(self, record: UpstreamRecord, fingerprint: int) -> None:
        """Record that a request is no longer in flight at an upstream."""
        fingerprints = self.in_flight.get(_incarnation(record))
        if fingerprints is None:
            return
        fingerprints[fingerprint] -= 1
        if fingerprints[fingerprint] <= 0:
            del fingerprints[fingerprint]
        if not fingerprints:
            del self.in_flight[_incarnation(record)]

    def on_answer_lost(self, record: UpstreamRecord, fingerprint: int) -> None:
        """Start a check whether an upstream that lost an answer has crashed."""
        incarnation = _incarnation(record)
        fingerprints = self.pending_suspects.get(incarnation)
        if fingerprints is not None:
            fingerprints.add(fingerprint)
            return
        self.pending_suspects[incarnation] = {
            fingerprint,
            *self.in_flight.get(incarnation, ()),
        }
        task = asyncio.create_task(self.check(record))
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)

    async def check(self, record: UpstreamRecord) -> None:
        """Suspect the requests that were in flight at an upstream if it is down."""
        await asyncio.sleep(PROBE_DELAY_S)
        down = await self.probe(record)
        fingerprints = self.pending_suspects.pop(_incarnation(record))
        self.log.event(
            _events.CRASH_CHECKED,
            upstream=record.instance,
            started_ms=record.started_ms,
            down=down,
            requests=len(fingerprints),
        )
        if not down:
            return
        crash = crash_id(record.instance, record.started_ms, 0)
        for suspect in fingerprints:
            self.suspicions.merge(suspect, [crash])
            self.log.event(
                _events.REQUEST_SUSPECTED,
                fingerprint=f"{suspect:016x}",
                upstream=record.instance,
                crashes=self.count(suspect),
            )

    def report(self) -> list[pb.Suspect]:
        """Return the latest suspicions, to be sent to other entries."""
        reported = [
            suspicion.message() for suspicion in self.suspicions if suspicion.crashes
        ]
        return reported[-MAX_REPORTED_SUSPECTS:]

    def merge(self, suspects: Iterable[pb.Suspect]) -> None:
        """Add the suspicions reported by another entry."""
        for suspect in suspects:
            self.suspicions.merge_message(suspect)


def _incarnation(record: UpstreamRecord) -> Incarnation:
    return record.instance, record.started_ms
