"""Server-sent events in a stream of bytes."""

import pytest

from skylarkdoor.event_stream import EventSplitter, event_id, is_event
from skylarkdoor.exceptions import EventStreamError


class TestEventSplitter:
    """`EventSplitter`."""

    @pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
    @pytest.mark.parametrize("size", [1, 3, 100])
    def test_chunks(self, end, size):
        """Events are whole however the stream is cut into chunks."""
        events = [b"id: 1\ndata: a" + end, b"data: b" + end]
        stream = b"".join(events) + b"data: half"
        splitter = EventSplitter()
        seen = []
        for at in range(0, len(stream), size):
            seen += splitter.feed(stream[at : at + size])
        assert seen == events
        assert splitter.incomplete == b"data: half"

    def test_too_large(self):
        """An event above the limit is an error, before it is complete."""
        splitter = EventSplitter(max_event_bytes=10)
        with pytest.raises(EventStreamError, match="too large"):
            list(splitter.feed(b"data: " + b"x" * 20))

    def test_events_before_an_error(self):
        """The events before bytes that are no event are still yielded."""
        seen = []
        with pytest.raises(EventStreamError, match="no event"):
            for event in EventSplitter().feed(b"data: a\n\nHTTP/1.1 500 Error\n\n"):
                seen.append(event)
        assert seen == [b"data: a\n\n"]


class TestIsEvent:
    """`is_event`."""

    @pytest.mark.parametrize(
        "event",
        [
            b"id: 1\ndata: word\n\n",
            b"data\n\n",
            b"data:\n\n",
            b": comment\n\n",
            b"retry: 3000\r\n\r\n",
            b"weight-versions: 3\nid: 2\ndata: word\n\n",
            b'data: {"error": "x"}\ndata: <html>\n\n',
            b"\n\n",
        ],
    )
    def test_events(self, event):
        """Known fields, comments and fields of servers' own beside known ones."""
        assert is_event(event)

    @pytest.mark.parametrize(
        "text",
        [
            b"HTTP/1.1 500 Internal Server Error\n\n",
            b"Content-Type: text/plain\nContent-Length: 5\n\n",
            b"error: internal\n\n",
            b'{"error": "internal"}\n\n',
            b"<html><body>error</body></html>\n\n",
            b"data: a\nHTTP/1.1 500 Internal Server Error\n\n",
        ],
    )
    def test_others(self, text):
        """Heads and texts of errors are no events."""
        assert not is_event(text)


class TestEventId:
    """`event_id`."""

    @pytest.mark.parametrize(
        ("event", "identity"),
        [(b"id: 7\ndata: a\n\n", "7"), (b"data: a\nid:8\n\n", "8"), (b"data\n\n", "")],
    )
    def test_id(self, event, identity):
        """The id of an event, if it has one."""
        assert event_id(event) == identity
