"""Spans in logs."""

import json

import pytest

from skylarkdoor_bench import Span, read_spans
from skylarkdoor_bench._logs import span_tree


def span(span_id: str, parent_id: str = "outside") -> Span:
    """Return a span of one trace."""
    return Span("hop", "entry-1", "t1", span_id, parent_id, 1.0, {})


class TestReadSpans:
    """`read_spans`."""

    @pytest.fixture
    def log_path(self, tmp_path):
        """Return a log of two spans, another event and a traceback."""
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
        """Other lines, and those that are no JSON, are left out."""
        assert [found.name for found in read_spans(log_path)] == ["entry", "offer"]

    def test_one_trace(self, log_path):
        """Only the spans of the trace asked for are given."""
        (found,) = read_spans(log_path, trace_id="t2")
        assert found.name == "offer"


class TestSpanTree:
    """`span_tree`."""

    def test_depths(self):
        """Each span follows the one that caused it, a level deeper."""
        spans = [span("c", "b"), span("a"), span("b", "a"), span("d", "a")]
        found = [(depth, item.span_id) for depth, item in span_tree(spans)]
        assert found == [(0, "a"), (1, "b"), (2, "c"), (1, "d")]
