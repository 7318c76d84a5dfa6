"""Structured logs."""

import datetime
import json
import logging
import os

import pytest

from skylarkdoor import events
from skylarkdoor.exceptions import ArgumentError


@pytest.fixture
def lines(monkeypatch):
    """Return a function that decodes the log lines written since its last call."""
    root = logging.getLogger("skylarkdoor")
    monkeypatch.setattr(root, "handlers", list(root.handlers))
    monkeypatch.setattr(root, "propagate", root.propagate)
    level = root.level
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    events.configure(level="info", instance="entry-1", descriptor=writing)
    yield lambda: [json.loads(line) for line in _read_all(reading).splitlines()]
    root.setLevel(level)
    os.close(reading)
    os.close(writing)


def _read_all(descriptor):
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b""


class TestEventLogger:
    """`EventLogger.event`."""

    def test_line(self, lines):
        """A line has the time, the event, the instance and the event's own fields."""
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
        """A number that another event already has is rejected."""
        with pytest.raises(ArgumentError, match="102"):
            events.define(102, "other", logging.INFO, "Other.")
