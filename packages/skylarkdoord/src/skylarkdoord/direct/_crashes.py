"""Requests that crash the upstreams that run them.

A request is suspected of each crash that it was inside of. After several it is
not sent any more. Entries tell each other what they have seen.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

from skylarkdoor import events
from skylarkdoor.hashing import fingerprint
from skylarkdoor.suspicion import Suspicions, crash_id
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.direct._model import Admitted, UpstreamRecord

MAX_CRASHES = 3
# An upstream that crashed refuses connections for longer than this.
CONFIRM_AFTER_S = 0.15
CONNECT_TIMEOUT_S = 0.5
MAX_TOLD = 50

Life = tuple[str, int]


def mark_of(admitted: Admitted) -> int:
    """Return what a request has in common with its repeats."""
    request = admitted.request
    call = f"{request.method} {request.target}".encode() + b"\0" + request.body
    return fingerprint(admitted.customer.name if admitted.customer else "", call)


async def is_down(record: UpstreamRecord) -> bool:
    """Return whether an upstream accepts no connection."""
    host, _, port = record.address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return True
    writer.close()
    return False


class Crashes:
    """Keeps count of the crashes that requests were inside of.

    Args:
        probe: Returns whether an upstream is down.
    """

    def __init__(
        self, *, probe: Callable[[UpstreamRecord], Awaitable[bool]] = is_down
    ) -> None:
        self.probe = probe
        self.suspicions = Suspicions()
        self.inside: dict[Life, Counter[int]] = {}
        self.suspects: dict[Life, set[int]] = {}
        self.checks: set[asyncio.Task[None]] = set()
        self.log = events.get_logger("direct.crashes")

    def is_quarantined(self, mark: int) -> bool:
        """Return whether a request has crashed too many upstreams."""
        return len(self.suspicions.of(mark).open) >= MAX_CRASHES

    def enter(self, record: UpstreamRecord, mark: int) -> None:
        """Note that a request is sent to an upstream."""
        self.inside.setdefault(_life(record), Counter())[mark] += 1

    def leave(self, record: UpstreamRecord, mark: int) -> None:
        """Note that a request has ended there."""
        marks = self.inside.get(_life(record))
        if marks is None:
            return
        marks[mark] -= 1
        if marks[mark] <= 0:
            del marks[mark]
        if not marks:
            del self.inside[_life(record)]

    def on_lost(self, record: UpstreamRecord, mark: int) -> None:
        """Find out whether an upstream that broke off an answer has crashed."""
        life = _life(record)
        marks = self.suspects.get(life)
        if marks is not None:
            marks.add(mark)
            return
        self.suspects[life] = {mark, *self.inside.get(life, ())}
        task = asyncio.create_task(self.check(record))
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)

    async def check(self, record: UpstreamRecord) -> None:
        """Suspect what was inside an upstream if that is down now."""
        await asyncio.sleep(CONFIRM_AFTER_S)
        down = await self.probe(record)
        marks = self.suspects.pop(_life(record))
        if not down:
            return
        crash = crash_id(record.instance, record.started_ms, 0)
        for mark in marks:
            self.suspicions.learn(mark, [crash])
            self.log.event(
                _events.REQUEST_SUSPECTED,
                fingerprint=f"{mark:016x}",
                upstream=record.instance,
                crashes=len(self.suspicions.of(mark).open),
            )

    def report(self) -> list[pb.Suspect]:
        """Return the latest suspicions."""
        told = [one.message() for one in self.suspicions if one.crashes]
        return told[-MAX_TOLD:]

    def merge(self, suspects: Iterable[pb.Suspect]) -> None:
        """Take over what another entry has seen."""
        for suspect in suspects:
            self.suspicions.hear(suspect)


def _life(record: UpstreamRecord) -> Life:
    return record.instance, record.started_ms
