"""Counts what arrives on one connection and is neither body nor a complete head.

The load that it answers: callers whose heads, trailers or lines between chunks have no
end.
"""

from dataclasses import dataclass
from typing import NamedTuple

from skylarkdoord.ingress._limits import KIB, IngressLimits

# The limit on header fields may not include the request line.
REQUEST_LINE_BYTES = 8 * KIB
# A chunk of one byte is sent in six bytes.
FRAMING_RATIO = 8
LINE_ENDS = b"\r\n"
# Objects of a header field that was parsed.
FIELD_BYTES = 512


class Parsed(NamedTuple):
    """What the parser has made of all bytes so far.

    Attributes:
        has_new_head: Whether the latest bytes completed a head.
        is_body_open: Whether the body of the latest head is incomplete.
        body_bytes: Bytes of that body so far.
        is_malformed: Whether the bytes are no HTTP.
    """

    has_new_head: bool
    is_body_open: bool
    body_bytes: int
    is_malformed: bool = False


@dataclass(slots=True)
class Received:
    """Bytes since the latest complete head, or since the end of its body.

    The bytes that arrive together with the end of a head or a body may begin the next
    message; they are not counted.

    Attributes:
        progress_at: Monotonic time at which a head or a part of a body last arrived,
            in seconds.
        head_bytes: Bytes of an incomplete head, and line ends before it.
        head_since: Monotonic time at which that head began, in seconds.
        is_body_open: Whether a body is incomplete.
        body_bytes: Bytes of that body so far.
        framing_bytes: Bytes since a part of that body arrived.
        lines: Lines of an incomplete head or of trailers.
        all_framing_bytes: Bytes since its head that are none of its parts.
        is_malformed: Whether the bytes are no HTTP.
    """

    progress_at: float
    head_bytes: int = 0
    head_since: float | None = None
    is_body_open: bool = False
    body_bytes: int = 0
    framing_bytes: int = 0
    lines: int = 0
    all_framing_bytes: int = 0
    is_malformed: bool = False

    @property
    def unfinished_bytes(self) -> int:
        """Bytes that the parser holds until a head or its trailers are complete."""
        return self.head_bytes + self.framing_bytes + FIELD_BYTES * self.lines

    def update(self, data: bytes, parsed: Parsed, now: float) -> None:
        """Count bytes that were received and parsed.

        Args:
            data: The bytes.
            parsed: What the parser has made of all bytes so far.
            now: Monotonic time, in seconds.
        """
        self.is_malformed = parsed.is_malformed
        if parsed.has_new_head or (self.is_body_open and not parsed.is_body_open):
            self.begin(parsed, now)
        elif parsed.is_body_open:
            self.add_body(data, parsed.body_bytes, now)
        else:
            self.add_head(data, now)

    def begin(self, parsed: Parsed, now: float) -> None:
        """Begin to count after the end of a head or of a body."""
        self.progress_at = now
        self.head_bytes = 0
        self.head_since = None
        self.is_body_open = parsed.is_body_open
        self.body_bytes = parsed.body_bytes
        self.framing_bytes = 0
        self.lines = 0
        self.all_framing_bytes = 0

    def add_body(self, data: bytes, body_bytes: int, now: float) -> None:
        """Count bytes of which some may be parts of the body."""
        size = len(data)
        more = body_bytes - self.body_bytes
        self.body_bytes = body_bytes
        self.all_framing_bytes += size - more
        self.framing_bytes = 0 if more else self.framing_bytes + size
        self.lines = 0 if more else self.lines + data.count(b"\n")
        if more:
            self.progress_at = now

    def add_head(self, data: bytes, now: float) -> None:
        """Count bytes of an incomplete head; line ends before it don't begin it."""
        self.head_bytes += len(data)
        self.lines += data.count(b"\n")
        if self.head_since is None and data.strip(LINE_ENDS):
            self.head_since = now

    def is_head_too_large(self, limits: IngressLimits) -> bool:
        """Return whether an incomplete head has more bytes than it may have."""
        return self.head_bytes > limits.head_bytes + REQUEST_LINE_BYTES

    def is_framing_too_large(self, limits: IngressLimits) -> bool:
        """Return whether too much was sent between the parts of a body, or after."""
        if self.framing_bytes > limits.head_bytes:
            return True
        most = FRAMING_RATIO * self.body_bytes + limits.head_bytes
        return self.all_framing_bytes > most
