"""Records of the versions of the software that began resumable streams."""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from skylarkdoor.wire import pb
from skylarkdoord.direct._model import Admitted


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
        begun_at: Monotonic time at which this process learned of it, in seconds.
    """

    version: str | None
    begun_at: float


class StreamRecords:
    """Keeps the versions of the latest streams.

    Args:
        max_streams: Most streams that are kept.
        retention_s: Time for which a stream is kept, in seconds; None for no limit.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        begun: Streams that began, oldest first.
    """

    def __init__(
        self,
        max_streams: int,
        *,
        retention_s: float | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.max_streams = max_streams
        self.retention_s = retention_s
        self.clock = clock
        self.begun: dict[StreamKey, BegunStream] = {}

    def remember(self, key: StreamKey, version: str | None) -> None:
        """Record the version of a stream; one that began at two has none.

        Attempts without an id can't be told apart, so they are not recorded.
        """
        if not key.request_id:
            return
        now = self.clock()
        former = self.begun.pop(key, None)
        if former is not None and former.version != version:
            version = None
        self.begun[key] = BegunStream(version, now)
        while self.is_oldest_dropped(now):
            del self.begun[next(iter(self.begun))]

    def is_oldest_dropped(self, now: float) -> bool:
        """Return whether the oldest stream is too old, or one too many."""
        if len(self.begun) > self.max_streams:
            return True
        oldest = next(iter(self.begun.values()))
        return self.retention_s is not None and now - oldest.begun_at > self.retention_s

    def merge(self, streams: Iterable[pb.BegunStream]) -> list[StreamKey]:
        """Record streams that another process knows; return their keys."""
        keys = []
        for stream in streams:
            key = from_wire(stream)
            self.remember(key, None if stream.ambiguous else stream.version)
            keys.append(key)
        return keys

    def answer(self, wanted: Iterable[pb.BegunStream]) -> list[pb.BegunStream]:
        """Return those of the streams for which another process asks that are known."""
        keys = (from_wire(stream) for stream in wanted)
        return [
            to_wire(key, self.begun[key].version) for key in keys if key in self.begun
        ]


def key_of(admitted: Admitted, request_id: str) -> StreamKey:
    """Return the key of a stream that an attempt of the same customer began."""
    customer = admitted.customer.name if admitted.customer else ""
    return StreamKey(customer, admitted.service, request_id)


def to_wire(key: StreamKey, version: str | None) -> pb.BegunStream:
    """Return a stream as a message between processes."""
    return pb.BegunStream(
        customer=key.customer,
        service=key.service,
        request_id=key.request_id,
        version=version or "",
        ambiguous=version is None,
    )


def from_wire(stream: pb.BegunStream) -> StreamKey:
    """Return the key of a stream in a message."""
    return StreamKey(stream.customer, stream.service, stream.request_id)
