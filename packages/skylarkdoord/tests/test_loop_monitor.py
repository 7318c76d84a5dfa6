"""Tests of the measurement of the event loop's lag."""

import pytest

from skylarkdoord._loop_monitor import LoopMonitor


class TestLoopMonitor:
    """`LoopMonitor.record`."""

    @pytest.mark.parametrize(
        ("lag_s", "lines"), [(0.3, []), (1.25, [{"stalled_s": 1.25}])]
    )
    def test_stall(self, monkeypatch, lag_s, lines):
        """Only a long stall has a line in the log."""
        monitor, logged = LoopMonitor(), []
        monkeypatch.setattr(
            monitor.log, "event", lambda event, **fields: logged.append(fields)
        )
        monitor.record(lag_s)
        assert logged == lines
