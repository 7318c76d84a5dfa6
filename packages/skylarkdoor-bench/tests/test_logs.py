"""Tests of reading spans from logs."""

import json

import pytest

from skylarkdoor_bench import Span, read_spans
from skylarkdoor_bench._logs import span_tree


def span(span_id: str, parent_id: str = "outside") -> Span:
    """Return a span of the trace `t1`."""
    return Span("hop", "entry-1", "t1", span_id, parent_id, 1.0, {})


class TestReadSpans:
    """Tests of `read_spans`."""

    @pytest.fixture
    def log_path(self, tmp_path):
        """Return the path of a log with two spans, an event and other lines."""
        records = [
            {"span": "entry", "trace_id": "t1", "instance": "entry-1"},
            {"event": 1},
            {"span": "offer", "trace_id": "t2"},
        ]
        lines = [json.dumps(record) for record in records]
        path = tmp_path / "entry-1.log"
        path.write_text("\n".join([*lines, "Traceback:", "[1]", '{"span": "cut']))
        return path

    def test_spans_alone(self, log_path):
        """Other records, and lines that are not JSON, are skipped."""
        assert [found.name for found in read_spans(log_path)] == ["entry", "offer"]

    def test_one_trace(self, log_path):
        """Only the spans of the requested trace are returned."""
        (found,) = read_spans(log_path, trace_id="t2")
        assert found.name == "offer"


class TestSpanTree:
    """Tests of `span_tree`."""

    def test_depths(self):
        """Each span follows its parent, one level deeper."""
        spans = [span("c", "b"), span("a"), span("b", "a"), span("d", "a")]
        found = [(depth, item.span_id) for depth, item in span_tree(spans)]
        assert found == [(0, "a"), (1, "b"), (2, "c"), (1, "d")]
