"""Output of log lines that never blocks."""

import logging
import os

import pytest

from skylarkdoor._log_output import (
    BURST_LINES,
    LINES_PER_S,
    NOTICE_INTERVAL_S,
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
    """Return a record of that level."""
    return logging.LogRecord("x", level, "x.py", 1, text, (), None)


class TestBoundedOutput:
    """`BoundedOutput`."""

    def test_reader_that_stops_reading(self, pipe):
        """A full pipe loses lines; it takes no time and counts them."""
        clock = Clock()
        output = BoundedOutput(pipe[1], lambda lines: None, clock=clock)
        for _ in range(1000):
            clock.now += 1.0
            output.emit(record(text="x" * 1000))
        assert output.dropped > 500
        assert len(os.read(pipe[0], 1 << 20)) >= 50_000

    def test_reader_that_reads_again(self, pipe):
        """The lines lost are told once somebody reads again."""
        clock = Clock()
        told = []
        output = BoundedOutput(pipe[1], told.append, clock=clock)
        for _ in range(100):
            clock.now += 0.001
            output.emit(record(text="x" * 1000))
        dropped = output.dropped
        os.read(pipe[0], 1 << 20)
        clock.now += NOTICE_INTERVAL_S
        output.emit(record())
        assert told == [dropped]
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

    def test_failures_before_successes(self, pipe):
        """When ordinary lines are dropped, warnings are still written."""
        output = BoundedOutput(pipe[1], lambda lines: None, clock=Clock())
        for _ in range(int(BURST_LINES)):
            output.emit(record(logging.INFO, "i"))
        dropped = output.dropped
        assert dropped > 0
        output.emit(record(logging.WARNING, "w"))
        assert output.dropped == dropped

    def test_reader_that_has_gone(self):
        """A closed pipe loses lines and raises nothing."""
        reading, writing = os.pipe()
        os.close(reading)
        output = BoundedOutput(writing, lambda lines: None, clock=Clock())
        output.emit(record())
        assert output.dropped == 1
        os.close(writing)
