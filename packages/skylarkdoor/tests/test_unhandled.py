"""Tests of reports of libraries and of exceptions that nothing handles."""

import logging

import pytest

from skylarkdoor import events
from skylarkdoor._unhandled import MAX_REPORTS, REPEAT_INTERVAL_S, Reports


class Clock:
    """A clock that the test sets."""

    now = 0.0

    def __call__(self):
        """Return the time."""
        return self.now


@pytest.fixture
def clock():
    """Return a clock."""
    return Clock()


@pytest.fixture
def reports(clock, caplog):
    """Return the reports of a process."""
    caplog.set_level(logging.INFO, "skylarkdoor")
    return Reports(clock=clock)


class TestReports:
    """`Reports`."""

    # Guards against a process without descriptors that logs thousands of lines.
    def test_equal(self, reports, clock, caplog):
        """Equal reports are logged once in an interval, with the number of the rest."""
        for _ in range(1000):
            reports.log(events.LIBRARY_WARNED, "odd", error="OSError(24)")
        clock.now += REPEAT_INTERVAL_S
        reports.log(events.LIBRARY_WARNED, "odd", error="OSError(24)")
        assert [record.left_out for record in caplog.records] == [0, 999]

    def test_different(self, reports, caplog):
        """Reports with another text, error or event are all logged."""
        reports.log(events.LIBRARY_WARNED, "odd", error="OSError(24)")
        reports.log(events.LIBRARY_WARNED, "odd", error="OSError(23)")
        reports.log(events.LIBRARY_WARNED, "even", error="OSError(24)")
        reports.log(events.CONNECTION_ENDED, "odd", error="OSError(24)")
        assert len(caplog.records) == 4

    def test_many_different(self, reports, caplog):
        """The number of reports that are remembered is bounded."""
        for number in range(3 * MAX_REPORTS):
            reports.log(events.LIBRARY_WARNED, str(number))
        assert len(reports.logged_at) <= MAX_REPORTS
        assert len(caplog.records) == 3 * MAX_REPORTS
