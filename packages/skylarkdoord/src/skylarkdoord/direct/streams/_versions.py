"""Finds the version of the software that began a resumable stream.

What two versions write doesn't fit together, so a caller that takes a stream up again
has to be sent to the version that began it, by whichever entry it reaches.

Load that it answers: callers that come back after entries were killed, one or all.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord._listeners import call_all
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._metrics import STREAMS_RESUMED
from skylarkdoord.direct._model import Admitted
from skylarkdoord.direct.exceptions import VersionUnknownError
from skylarkdoord.direct.streams._history import VersionHistory
from skylarkdoord.direct.streams._records import (
    StreamKey,
    StreamRecords,
    key_of,
    to_wire,
)

# Bounds on the streams that an entry keeps; later, others are asked.
RETENTION_S = 60.0
MAX_STREAMS = 50_000
# Longest wait for an entry or a guard that knows a stream, from when all are asked.
ASK_TIMEOUT_S = 0.3
# Time after the first answer in which another one may contradict it: a round trip
# between data centres.
CONTRADICTION_TIMEOUT_S = 0.1
# Longest wait for streams to entries and guards that are being opened.
OPENING_TIMEOUT_S = 1.0
OPENING_POLL_S = 0.02


class FoundVersion(NamedTuple):
    """Result of a look-up.

    Attributes:
        version: The version; None if it is unknown.
        source: What told it, for logs.
    """

    version: str | None
    source: str


class StreamVersions:
    """Remembers the version of each stream that began, with the other entries.

    Args:
        fleet: Lists the upstreams.
        is_first_start: Whether the whole deployment starts for the first time.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        history: Versions that services have had.
        records: Streams that began.
        asked: Look-ups under way, by stream; set at the first answer.
        share: Sends a stream that began to the entries that keep it as well.
        share_with_guards: Sends it to the guards that keep it, with the name of the
            upstream at which it began.
        ask: Functions that ask others for a stream.
        is_opening: Functions that return whether streams to others that may know the
            streams of a service are being opened.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        is_first_start: bool = False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.fleet = fleet
        self.history = VersionHistory(fleet, is_first_start=is_first_start)
        self.records = StreamRecords(MAX_STREAMS, retention_s=RETENTION_S, clock=clock)
        self.asked: dict[StreamKey, asyncio.Event] = {}
        self.share: Callable[[pb.BegunStream], None] = lambda stream: None
        self.share_with_guards: Callable[[pb.BegunStream, str], None] = (
            lambda stream, upstream: None
        )
        self.ask: list[Callable[[pb.BegunStream], None]] = []
        self.is_opening: list[Callable[[str], bool]] = [
            lambda service: not fleet.is_read
        ]
        self.log = events.get_logger("direct.stream_versions")

    def on_begun(
        self, admitted: Admitted, version: str | None, upstream: str = ""
    ) -> None:
        """Record that a stream began at a version, or went on at it.

        Args:
            admitted: The request.
            version: The version; None if it is uncertain, so that nobody may go on.
            upstream: Name of the upstream instance.
        """
        key = key_of(admitted, admitted.request.request_id)
        if not key.request_id:
            return
        self.records.remember(key, version)
        stream = to_wire(key, self.records.begun[key].version)
        self.share(stream)
        self.share_with_guards(stream, upstream)

    async def find(self, admitted: Admitted) -> str:
        """Return the version of the stream that a request takes up again.

        Raises:
            VersionUnknownError: The version is unknown.
        """
        request = admitted.request
        found = await self.look_up(admitted, key_of(admitted, request.resumes))
        source = found.source if found.version is not None else "none"
        STREAMS_RESUMED.labels(source).inc()
        self.log.event(
            _events.STREAM_VERSION_FOUND,
            request_id=request.request_id,
            resumes=request.resumes,
            version=found.version,
            source=found.source,
        )
        if found.version is None:
            raise VersionUnknownError(
                "version_unknown", "the version that began the stream is unknown"
            )
        return found.version

    async def look_up(self, admitted: Admitted, key: StreamKey) -> FoundVersion:
        """Return the version of a stream, and what told it."""
        known = self.records.begun.get(key)
        if known is not None:
            return FoundVersion(known.version, "own")
        opening_s = min(OPENING_TIMEOUT_S, max(0.0, admitted.remaining_s()))
        if key.request_id:
            # Without other versions, nobody has to be asked.
            if not self.is_any_opening(key.service):
                only = self.history.only_version(key.service)
                if only is not None:
                    return FoundVersion(only, "registry")
            version = await self.ask_others(key, opening_s)
            if key in self.records.begun:
                return FoundVersion(version, "others")
        else:
            await self.wait_until_open(key.service, opening_s)
        only = self.history.only_version(key.service)
        if only is not None:
            return FoundVersion(only, "registry")
        return FoundVersion(None, "others" if key.request_id else "unnamed")

    def is_any_opening(self, service: str) -> bool:
        """Return whether others may know more once streams to them are open."""
        return any(is_opening(service) for is_opening in self.is_opening)

    async def wait_until_open(self, service: str, timeout_s: float) -> None:
        """Wait until all streams to others are open, or can't be opened."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while self.is_any_opening(service) and loop.time() < until:
            await asyncio.sleep(OPENING_POLL_S)

    async def ask_others(self, key: StreamKey, opening_s: float) -> str | None:
        """Return the version that others know; None if none does or two differ.

        Args:
            key: The stream.
            opening_s: Longest wait for streams to others that are being opened.
        """
        answered = self.asked.get(key)
        if answered is None:
            answered = self.asked[key] = asyncio.Event()
            self.ask_all(key)
        try:
            await self.wait_for_answers(key.service, answered, opening_s)
        finally:
            if self.asked.get(key) is answered:
                del self.asked[key]
        known = self.records.begun.get(key)
        return known.version if known else None

    async def wait_for_answers(
        self, service: str, answered: asyncio.Event, opening_s: float
    ) -> None:
        """Wait for the first answer, and then for others that contradict it."""
        try:
            async with asyncio.timeout(opening_s + ASK_TIMEOUT_S) as timeout:
                opening = asyncio.create_task(self.wait_until_open(service, opening_s))
                first = asyncio.create_task(answered.wait())
                try:
                    await asyncio.wait(
                        {opening, first}, return_when=asyncio.FIRST_COMPLETED
                    )
                    now = asyncio.get_running_loop().time()
                    timeout.reschedule(now + ASK_TIMEOUT_S)
                    await first
                    await asyncio.sleep(min(CONTRADICTION_TIMEOUT_S, ASK_TIMEOUT_S))
                finally:
                    opening.cancel()
                    first.cancel()
        except TimeoutError:
            pass

    def ask_all(self, key: StreamKey) -> None:
        """Ask all others that are connected."""
        call_all(self.ask, to_wire(key, None))

    def wanted(self) -> list[pb.BegunStream]:
        """Return the streams that are looked up, for others that connect meanwhile."""
        return [to_wire(key, None) for key in self.asked]

    def merge(self, streams: Iterable[pb.BegunStream]) -> None:
        """Take over streams that others know."""
        for key in self.records.merge(streams):
            if key in self.asked:
                self.asked[key].set()

    def answer(self, wanted: Iterable[pb.BegunStream]) -> list[pb.BegunStream]:
        """Return those of the streams for which another entry asks that are known."""
        return self.records.answer(wanted)
