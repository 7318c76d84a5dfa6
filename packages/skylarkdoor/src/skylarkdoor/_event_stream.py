"""Splits a stream of bytes into server-sent events and checks their form."""

import re
import sys
from collections.abc import Iterator

from skylarkdoor.exceptions import EventStreamError

# Source: the WHATWG HTML standard, section "Server-sent events".
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
FIELDS = frozenset({b"data", b"event", b"id", b"retry"})
# Servers may add fields of their own, which readers ignore.
FIELD_NAME = re.compile(rb"[A-Za-z][\w-]*")
ID_FIELD = b"id:"


class EventSplitter:
    """Splits a stream's bytes into complete events.

    Args:
        max_event_bytes: Largest size of an event, in bytes.

    Attributes:
        incomplete: Received bytes of an event that is not yet complete.
    """

    def __init__(self, max_event_bytes: int = sys.maxsize) -> None:
        self.max_event_bytes = max_event_bytes
        self.incomplete = b""

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield the events that the chunk completes, each with its blank line.

        Raises:
            EventStreamError: The stream has bytes that are no event, or a larger event
                than allowed.
        """
        received = self.incomplete + chunk
        start = 0
        for end in EVENT_END.finditer(received):
            event = received[start : end.end()]
            if not is_event(event):
                raise EventStreamError("the stream has bytes that are no event")
            start = end.end()
            yield event
        self.incomplete = received[start:]
        if len(self.incomplete) > self.max_event_bytes:
            raise EventStreamError("an event of the stream is too large")


def is_event(event: bytes) -> bool:
    """Return whether bytes have the form of an event, or of comments.

    An upstream that fails in the middle of a stream may go on with the head or the text
    of an error.
    """
    is_known = has_others = False
    for line in event.splitlines():
        name, colon, _ = line.partition(b":")
        if name in FIELDS:
            is_known = True
        elif name and colon and FIELD_NAME.fullmatch(name):
            has_others = True
        elif name:
            return False
    return is_known or not has_others


def event_id(event: bytes) -> str:
    """Return an event's id; empty if it has none."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("ascii", "replace")
    return ""
