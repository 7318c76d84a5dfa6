"""Versions of the software that began resumable streams.

What two versions write doesn't fit together, so a caller that takes a stream up again
has to be sent to the version that began it, by whichever entry it reaches.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from skylarkdoor import events
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._model import Admitted
from skylarkdoord.direct.exceptions import VersionUnknownError

# Time within which a caller may take a stream up again, and the most streams kept.
RETENTION_S = 60.0
MAX_STREAMS = 50_000
# Time within which the registry tells the version of a stream that no entry knows, in
# timeouts of its route: it may have been taken up again before.
HORIZON_TIMEOUTS = 2.0
# Longest wait for another entry that knows a stream.
ASK_TIMEOUT_S = 0.3


class StreamKey(NamedTuple):
    """Identifies a stream.

    Attributes:
        customer: Name of the customer; empty if there is none.
        service: Name of the service that runs it.
        request_id: Id of the attempt that brought its first event.
    """

    customer: str
    service: str
    request_id: str


class BegunStream(NamedTuple):
    """The version that began a stream.

    Attributes:
        version: The version; None if several attempts with this id began at several.
        begun_at: Monotonic time at which this entry learned of it, in seconds.
    """

    version: str | None
    begun_at: float


class VersionHistory:
    """Which versions of each service the registry listed, and until when.

    Args:
        fleet: Lists the upstreams.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        started_at: Monotonic time since which the history is complete, in seconds.
        listed: Services with each of their versions that is listed, draining or not.
        left_at: Monotonic time at which a service's version was listed last, in
            seconds.
    """

    def __init__(self, fleet: Fleet, clock: Callable[[], float]) -> None:
        self.fleet = fleet
        self.clock = clock
        self.started_at = clock()
        self.listed: set[tuple[str, str]] = set()
        self.left_at: dict[tuple[str, str], float] = {}
        fleet.on_upstreams.append(self.update)

    def update(self) -> None:
        """Take over the versions that are listed now."""
        now = self.clock()
        records = (cached.record for cached in self.fleet.cached_rows.values())
        listed = {
            (record.service, record.version) for record in records if record is not None
        }
        for left in self.listed - listed:
            self.left_at[left] = now
        self.listed = listed
        self.left_at = {
            left: at for left, at in self.left_at.items() if now - at < RETENTION_S
        }

    def only_version(self, service: str, horizon_s: float) -> str | None:
        """Return the only version of a service within the last `horizon_s` seconds.

        Returns None if there were several, or if it can't be told.
        """
        since = self.clock() - horizon_s
        if self.started_at > since:
            return None
        recent = {left for left, at in self.left_at.items() if at >= since}
        versions = {
            version for name, version in self.listed | recent if name == service
        }
        return versions.pop() if len(versions) == 1 else None


class StreamVersions:
    """Remembers the version of each stream that began, with the other entries.

    Args:
        fleet: Lists the upstreams.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        history: Versions that the registry listed.
        begun: Streams that began, oldest first.
        asked: Futures of the versions for which other entries were asked.
        share: Sends a stream that began to the entries that keep it as well.
        ask: Asks the other entries for a stream.
    """

    def __init__(
        self, fleet: Fleet, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.history = VersionHistory(fleet, clock)
        self.begun: dict[StreamKey, BegunStream] = {}
        self.asked: dict[StreamKey, asyncio.Future[str | None]] = {}
        self.share: Callable[[pb.BegunStream], None] = lambda stream: None
        self.ask: Callable[[pb.BegunStream], None] = lambda stream: None
        self.log = events.get_logger("direct.stream_versions")

    def on_begun(self, admitted: Admitted, version: str) -> None:
        """Record that a stream began at a version, or went on at it."""
        key = key_of(admitted, admitted.request.request_id)
        self.remember(key, version)
        self.share(to_wire(key, self.begun[key].version))

    def remember(self, key: StreamKey, version: str | None) -> None:
        """Record the version of a stream; one that began at two has none."""
        now = self.clock()
        former = self.begun.pop(key, None)
        if former is not None and former.version != version:
            version = None
        self.begun[key] = BegunStream(version, now)
        while self.is_oldest_dropped(now):
            del self.begun[next(iter(self.begun))]

    def is_oldest_dropped(self, now: float) -> bool:
        """Return whether the oldest stream is too old, or one too many."""
        oldest = next(iter(self.begun.values()))
        return len(self.begun) > MAX_STREAMS or now - oldest.begun_at > RETENTION_S

    async def find(self, admitted: Admitted) -> str:
        """Return the version of the stream that a request takes up again.

        Raises:
            VersionUnknownError: Neither this entry nor another one knows it.
        """
        request = admitted.request
        key = key_of(admitted, request.resumes)
        version, source = await self.look_up(admitted, key)
        self.log.event(
            _events.STREAM_VERSION_FOUND,
            request_id=request.request_id,
            resumes=request.resumes,
            version=version,
            source=source,
        )
        if version is None:
            raise VersionUnknownError(
                "version_unknown", "the version that began the stream is unknown"
            )
        return version

    async def look_up(
        self, admitted: Admitted, key: StreamKey
    ) -> tuple[str | None, str]:
        """Return the version of a stream, None if it is unknown, and its source."""
        if key in self.begun:
            return self.begun[key].version, "own"
        horizon_s = HORIZON_TIMEOUTS * admitted.route.timeout_s
        only = self.history.only_version(admitted.service, horizon_s)
        if only is not None:
            return only, "registry"
        if not key.request_id:
            return None, "unnamed"
        return await self.ask_others(key), "entries"

    async def ask_others(self, key: StreamKey) -> str | None:
        """Return the version that another entry knows; None if none does."""
        future = self.asked.get(key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self.asked[key] = future
            self.ask(to_wire(key, None))
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await asyncio.shield(future)
        except TimeoutError:
            return None
        finally:
            if self.asked.get(key) is future:
                del self.asked[key]

    def merge(self, streams: Iterable[pb.BegunStream]) -> None:
        """Take over streams that another entry knows."""
        for stream in streams:
            key = StreamKey(stream.customer, stream.service, stream.request_id)
            self.remember(key, None if stream.ambiguous else stream.version)
            future = self.asked.pop(key, None)
            if future is not None and not future.done():
                future.set_result(self.begun[key].version)

    def answer(self, wanted: Iterable[pb.BegunStream]) -> list[pb.BegunStream]:
        """Return those of the streams for which another entry asks that are known."""
        keys = (
            StreamKey(stream.customer, stream.service, stream.request_id)
            for stream in wanted
        )
        return [
            to_wire(key, self.begun[key].version) for key in keys if key in self.begun
        ]


def key_of(admitted: Admitted, request_id: str) -> StreamKey:
    """Return the key of a stream that an attempt of the same customer began."""
    customer = admitted.customer.name if admitted.customer else ""
    return StreamKey(customer, admitted.service, request_id)


def to_wire(key: StreamKey, version: str | None) -> pb.BegunStream:
    """Return a stream as a message between entries."""
    return pb.BegunStream(
        customer=key.customer,
        service=key.service,
        request_id=key.request_id,
        version=version or "",
        ambiguous=version is None,
    )
