"""Decides how many bytes an entry holds for callers and upstreams.

The load that it answers: many callers that send large bodies slowly, and many that read
their answers slowly, at an entry with little memory.
"""

import time
from collections.abc import Callable, Mapping
from typing import Self, TypeVar

from skylarkdoord.direct.exceptions import MemoryFullError
from skylarkdoord.ingress import IncompleteBodies

KIB = 1024
# Bodies above this size may use only a share of the bound together, so that a few
# callers that send large bodies slowly do not shut out all others.
SMALL_BODY_BYTES = 64 * KIB
LARGE_BODIES_SHARE = 0.5
# Smaller heads are not counted; larger ones with their copies.
SMALL_HEAD_BYTES = 4 * KIB
HEAD_COPIES = 3
# Share of the bound for requests that are not handled yet.
UNFINISHED_SHARE = 0.25
# Readiness is withdrawn above the one share of the bound, for a time that the load
# balancer's check each second notices, and until the held bytes are below the other.
UNREADY_SHARE = 0.9
READY_SHARE = 0.7
MIN_UNREADY_S = 1.0
# Bytes that one caller may leave unread before its upstream is no longer read. While
# there is memory, they are enough for a whole stream, as upstreams cut off answers that
# are not read for some seconds.
MAX_UNSENT_BYTES = 1024 * KIB
# The same at a held share above these; 64 KiB is the default of asyncio.
UNSENT_BYTES_ABOVE = ((0.8, 16 * KIB), (0.5, 64 * KIB))
RETRY_AFTER_S = 1.0
# Time without reading after which an answer may be given up for others, in seconds.
UNREAD_S = 2.0


class HeldBytes:
    """Counts held bytes, and refuses requests whose bodies exceed the bound.

    Args:
        max_bytes: Most bytes to hold; None for no bound.
        clock: Returns monotonic time in seconds.

    Attributes:
        bodies: Bytes reserved for bodies of requests.
        large_bodies: Those of them for bodies above `SMALL_BODY_BYTES`.
        heads: Bytes of large heads of requests that are being answered.
        unsent: Bytes of streams that callers have not read.
        writing: Bytes of whole answers that are being written to callers.
        receiving: Returns the bytes of answers that are being received in whole.
        unfinished: Returns the bytes of requests that are not handled yet.
        incomplete: Bodies that are being received.
    """

    def __init__(
        self, max_bytes: int | None, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.max_bytes = max_bytes
        self.clock = clock
        self.bodies = 0
        self.large_bodies = 0
        self.heads = 0
        self.unsent = 0
        self.writing = 0
        self.receiving: Callable[[], int] = lambda: 0
        self.unfinished: Callable[[], int] = lambda: 0
        self.incomplete: IncompleteBodies[BodyHold] = IncompleteBodies(clock)
        self.unready_at: float | None = None

    @property
    def used(self) -> int:
        """Bytes that are held now."""
        answers = self.unsent + self.writing + self.receiving()
        return self.bodies + self.heads + answers + self.unfinished()

    @property
    def share(self) -> float:
        """Held share of the bound; 0 without a bound."""
        return self.used / self.max_bytes if self.max_bytes else 0.0

    @property
    def max_unfinished(self) -> int | None:
        """Most bytes of requests that are not handled yet; None for no bound."""
        if self.max_bytes is None:
            return None
        return int(UNFINISHED_SHARE * self.max_bytes)

    def has_answer_room(self, length: int) -> bool:
        """Return whether a whole answer may be received.

        One is received in any case while no other is held.
        """
        if self.max_bytes is None or not (self.writing or self.receiving()):
            return True
        return self.used + length <= self.max_bytes

    def has_room(self, more: int, *, is_large: bool, more_large: int) -> bool:
        """Return whether further bytes may be held for a body.

        Args:
            more: The bytes.
            is_large: Whether the body is large.
            more_large: Bytes by which `large_bodies` would grow.
        """
        if self.max_bytes is None:
            return True
        if self.used + more > self.max_bytes:
            return False
        large = self.large_bodies + more_large
        return not is_large or large <= LARGE_BODIES_SHARE * self.max_bytes

    def make_room(self, more: int, *, is_large: bool, more_large: int) -> bool:
        """Return whether there is room for a body, after stalled ones are given up.

        Args:
            more: Further bytes of the body.
            is_large: Whether the body is large.
            more_large: Bytes by which `large_bodies` would grow.
        """
        if self.has_room(more, is_large=is_large, more_large=more_large):
            return True
        assert self.max_bytes is not None
        excess = self.used + more - self.max_bytes
        excess_large = self.large_bodies + more_large
        excess_large -= int(LARGE_BODIES_SHARE * self.max_bytes)
        for hold in self.incomplete.choose(excess, excess_large if is_large else 0):
            hold.give_up()
        return self.has_room(more, is_large=is_large, more_large=more_large)

    def max_unsent_bytes(self) -> int:
        """Return the bytes that a caller may now leave unread."""
        share = self.share
        for above, unsent_bytes in UNSENT_BYTES_ABOVE:
            if share > above:
                return unsent_bytes
        return MAX_UNSENT_BYTES

    def is_ready(self) -> bool:
        """Return whether the load balancer may send further callers."""
        now = self.clock()
        share = self.share
        if share > UNREADY_SHARE and self.unready_at is None:
            self.unready_at = now
        elif self.unready_at is not None:
            is_over = now - self.unready_at >= MIN_UNREADY_S
            if is_over and share < READY_SHARE:
                self.unready_at = None
        return self.unready_at is None


class BodyHold:
    """Bytes reserved for one request's body, until the request ends.

    Args:
        held: Counts the bytes.

    Attributes:
        size: Bytes reserved for the body.
        head: Bytes reserved for the head.
        on_given_up: Called if they are needed for others before the body is complete.
    """

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self.size = 0
        self.head = 0
        self.on_given_up: Callable[[], None] = lambda: None

    @property
    def is_large(self) -> bool:
        """Whether the body is large."""
        return self.size > SMALL_BODY_BYTES

    def __enter__(self) -> Self:
        """Return the hold."""
        return self

    def __exit__(self, *_exc: object) -> None:
        """Release the bytes."""
        self.held.incomplete.remove(self)
        self.count(0)
        self.held.heads -= self.head
        self.head = 0

    def add_head(self, size: int) -> None:
        """Reserve the bytes of a large head.

        Raises:
            MemoryFullError: There is no room.
        """
        if size <= SMALL_HEAD_BYTES:
            return
        size *= HEAD_COPIES
        if not self.held.make_room(size, is_large=False, more_large=0):
            raise memory_full()
        self.held.heads += size
        self.head = size

    def begin(self, on_given_up: Callable[[], None]) -> None:
        """Begin to receive the body, which may be given up until it is complete."""
        self.on_given_up = on_given_up
        self.held.incomplete.add(self)

    def complete(self) -> None:
        """Keep the bytes of the complete body."""
        self.held.incomplete.remove(self)

    def give_up(self) -> None:
        """Release the bytes of an incomplete body, whose request is refused."""
        self.held.incomplete.remove(self)
        self.count(0)
        self.on_given_up()

    def grow_to(self, size: int) -> None:
        """Reserve up to a size, unless more is reserved already.

        Raises:
            MemoryFullError: There is no room.
        """
        size = max(size, self.size)
        has_room = self.held.make_room(
            size - self.size,
            is_large=size > SMALL_BODY_BYTES,
            more_large=large_bytes(size) - large_bytes(self.size),
        )
        if not has_room:
            raise memory_full()
        self.count(size)

    def count(self, size: int) -> None:
        """Change the reserved size."""
        self.held.bodies += size - self.size
        self.held.large_bodies += large_bytes(size) - large_bytes(self.size)
        self.size = size


def memory_full() -> MemoryFullError:
    """Return the error for a request for which there is no room."""
    message = "the entry holds too many bytes"
    return MemoryFullError("memory_full", message, retry_after_s=RETRY_AFTER_S)


def large_bytes(size: int) -> int:
    """Return the bytes of a body if it is large, else 0."""
    return size if size > SMALL_BODY_BYTES else 0


class UnsentAnswer:
    """What a caller's connection has not sent yet, and whether the caller reads.

    Args:
        now: Monotonic time, in seconds.

    Attributes:
        read_at: Monotonic time at which the caller last read, or had nothing to read,
            in seconds.
        buffered: Bytes that it has not read.
    """

    def __init__(self, now: float) -> None:
        self.read_at = now
        self.buffered = 0
        self.sent = 0

    def update(self, written: int, buffered: int, now: float) -> None:
        """Record a sample of the connection.

        Args:
            written: Bytes of answers written to the connection so far.
            buffered: Bytes that are not sent yet.
            now: Monotonic time, in seconds.
        """
        sent = written - buffered
        if not buffered or sent > self.sent:
            self.read_at = now
        self.sent = sent
        self.buffered = buffered

    def is_stalled(self, timeout_s: float, now: float) -> bool:
        """Return whether the caller has read nothing for longer than a time.

        Args:
            timeout_s: Timeout of the route, in seconds.
            now: Monotonic time, in seconds.
        """
        return self.buffered > 0 and now - self.read_at > timeout_s


K = TypeVar("K")


def choose_unread(unsent: Mapping[K, UnsentAnswer], excess: int, now: float) -> list[K]:
    """Return connections to close, those first whose callers wait longest to read.

    The last connection with unsent bytes is kept.

    Args:
        unsent: What each connection has not sent.
        excess: Bytes to free.
        now: Monotonic time, in seconds.
    """
    waiting = [key for key, answer in unsent.items() if answer.buffered]
    waiting.sort(key=lambda key: unsent[key].read_at)
    chosen = []
    for key in waiting[:-1]:
        if excess <= 0 or now - unsent[key].read_at < UNREAD_S:
            break
        chosen.append(key)
        excess -= unsent[key].buffered
    return chosen
