"""Tests of spans in the log and of the W3C trace context."""

import logging

import pytest
from multidict import CIMultiDict

from skylarkdoor import events, tracing

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT_ID = "b7ad6b7169203331"


def headers(flags: str) -> CIMultiDict[str]:
    """Return trace headers of a caller with the given trace flags."""
    traceparent = f"00-{TRACE_ID}-{PARENT_ID}-{flags}"
    return CIMultiDict({"Traceparent": traceparent, "Tracestate": "garden=1"})


class _SpanRecorder(logging.Handler):
    """Records the spans that are logged."""

    def __init__(self):
        super().__init__()
        self.spans: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Record a log record that is a span."""
        if getattr(record, "event", 0) == events.SPAN_ENDED.number:
            self.spans.append(record)


@pytest.fixture
def spans(monkeypatch):
    """Return a function that lists the spans logged so far."""
    recorder = _SpanRecorder()
    root = logging.getLogger("skylarkdoor")
    monkeypatch.setattr(root, "handlers", [recorder])
    level = root.level
    root.setLevel(logging.INFO)
    yield lambda: list(recorder.spans)
    root.setLevel(level)


@pytest.fixture
def sampled():
    """Sample every trace that starts in this process."""
    tracing.configure(instance="entry-1", sample_ratio=1.0)


class TestSpan:
    """`tracing.span`."""

    def test_continues(self, sampled, spans):
        """A span continues the caller's trace as a child of the caller's span."""
        with tracing.span("entry", tracing.extract(headers("01")), size=3):
            pass
        (span,) = spans()
        assert (span.trace_id, span.parent_id) == (TRACE_ID, PARENT_ID)
        assert span.attributes == {"size": 3}

    def test_nested(self, sampled, spans):
        """A span that is opened within another one is its child."""
        with tracing.span("entry") as outer:
            with tracing.span("offer", outer):
                pass
        offer, entry = spans()
        assert offer.parent_id == entry.span_id
        assert offer.trace_id == entry.trace_id

    def test_unsampled(self, sampled, spans):
        """A trace that the caller does not sample is not logged."""
        with tracing.span("entry", tracing.extract(headers("00"))):
            pass
        assert spans() == []

    def test_ratio(self, spans):
        """The ratio determines whether a trace that starts here is sampled."""
        tracing.configure(instance="entry-1", sample_ratio=0.0)
        with tracing.span("entry"):
            pass
        assert spans() == []

    def test_error(self, sampled, spans):
        """The type of an exception is recorded on the span, but not its message."""
        with pytest.raises(ValueError), tracing.span("entry"):
            raise ValueError("body text")
        (span,) = spans()
        assert span.attributes == {"error": "ValueError"}


class TestContext:
    """Propagation of the trace context."""

    @pytest.mark.parametrize("flags", ["00", "01"])
    def test_passed_on(self, sampled, flags):
        """An outgoing request carries the trace, its state and its sampling flag."""
        sent: dict[str, str] = {}
        with tracing.span("entry", tracing.extract(headers(flags))) as here:
            tracing.inject(sent, here)
        version, trace_id, span_id, sent_flags = sent["traceparent"].split("-")
        assert (version, trace_id, sent_flags) == ("00", TRACE_ID, flags)
        assert span_id != PARENT_ID
        assert sent["tracestate"] == "garden=1"

    @pytest.mark.parametrize("sent", ["", "garbage", "00-0-0-01"])
    def test_malformed(self, sampled, spans, sent):
        """A malformed context starts a new trace."""
        with tracing.span("entry", tracing.extract(CIMultiDict(traceparent=sent))):
            pass
        (span,) = spans()
        assert span.parent_id == ""
