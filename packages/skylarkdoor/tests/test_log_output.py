"""Tests of the log output that never blocks."""

import logging
import os

import pytest

from skylarkdoor._log_output import (
    BURST_LINES,
    DROP_REPORT_INTERVAL_S,
    LINES_PER_S,
    BoundedOutput,
)


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        """Return the time."""
        return self.now


@pytest.fixture
def pipe():
    """Return the two ends of a pipe."""
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def record(level=logging.INFO, text="line"):
    """Return a log record."""
    return logging.LogRecord("x", level, "x.py", 1, text, (), None)


class TestBoundedOutput:
    """`BoundedOutput`."""

    def test_reader_that_stops_reading(self, pipe):
        """Lines for a full pipe are dropped and counted without blocking."""
        clock = Clock()
        output = BoundedOutput(pipe[1], lambda lines: None, clock=clock)
        for _ in range(1000):
            clock.now += 1.0
            output.emit(record(text="x" * 1000))
        assert output.dropped > 500
        assert len(os.read(pipe[0], 1 << 20)) >= 50_000

    def test_reader_that_reads_again(self, pipe):
        """The number of dropped lines is reported once the pipe is read again."""
        clock = Clock()
        reports = []
        output = BoundedOutput(pipe[1], reports.append, clock=clock)
        for _ in range(100):
            clock.now += 0.001
            output.emit(record(text="x" * 1000))
        dropped = output.dropped
        os.read(pipe[0], 1 << 20)
        clock.now += DROP_REPORT_INTERVAL_S
        output.emit(record())
        assert reports == [dropped]
        assert output.dropped == 0

    def test_too_many_lines(self, pipe):
        """Beyond the burst, only as many lines are written as the rate allows."""
        clock = Clock()
        output = BoundedOutput(pipe[1], lambda lines: None, clock=clock)
        for _ in range(int(BURST_LINES)):
            output.emit(record(logging.ERROR, "e"))
        assert output.dropped == 0
        output.emit(record(logging.ERROR, "e"))
        assert output.dropped == 1
        clock.now += 1.5 / LINES_PER_S
        output.emit(record(logging.ERROR, "e"))
        assert output.dropped == 1

    def test_warnings_before_info(self, pipe):
        """Warnings are written while lines of lower levels are dropped."""
        output = BoundedOutput(pipe[1], lambda lines: None, clock=Clock())
        for _ in range(int(BURST_LINES)):
            output.emit(record(logging.INFO, "i"))
        dropped = output.dropped
        assert dropped > 0
        output.emit(record(logging.WARNING, "w"))
        assert output.dropped == dropped

    def test_reader_that_closed(self):
        """Lines for a closed pipe are dropped and counted without an error."""
        reading, writing = os.pipe()
        os.close(reading)
        output = BoundedOutput(writing, lambda lines: None, clock=Clock())
        output.emit(record())
        assert output.dropped == 1
        os.close(writing)
