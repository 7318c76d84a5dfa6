"""Structured logs."""

import datetime
import io
import json
import logging
import sys

import pytest

from skylarkdoor import events
from skylarkdoor.exceptions import ArgumentError


@pytest.fixture
def lines(monkeypatch):
    """Return a function that lists the log lines written, decoded."""
    root = logging.getLogger("skylarkdoor")
    monkeypatch.setattr(root, "handlers", list(root.handlers))
    monkeypatch.setattr(root, "propagate", root.propagate)
    level = root.level
    written = io.StringIO()
    monkeypatch.setattr(sys, "stderr", written)
    events.configure(level="info", instance="entry-1")
    yield lambda: [json.loads(line) for line in written.getvalue().splitlines()]
    root.setLevel(level)


class TestEventLogger:
    """`EventLogger.event`."""

    def test_line(self, lines):
        """A line says when, what, where and the event's own fields."""
        log = events.get_logger("kernel")
        log.event(events.TASK_FAILED, task="poll")
        (line,) = lines()
        written = datetime.datetime.fromisoformat(line.pop("timestamp"))
        assert written.utcoffset() == datetime.timedelta(0)
        assert line == {
            "event": 102,
            "event_name": "task_failed",
            "level": "ERROR",
            "message": events.TASK_FAILED.text,
            "part": "skylarkdoor.kernel",
            "instance": "entry-1",
            "task": "poll",
        }

    def test_level(self, lines):
        """An event below the level is not written."""
        events.get_logger("kernel").event(events.SERVICE_STARTED, service="x")
        assert lines() == []


class TestDefine:
    """`events.define`."""

    def test_number_taken(self):
        """A number stands for one event."""
        with pytest.raises(ArgumentError, match="102"):
            events.define(102, "other", logging.INFO, "Other.")
