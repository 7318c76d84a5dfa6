"""Faults of an engine."""

import pytest

from skylarkdoor_standins.engine._faults import EngineFaults, UnknownFaultError


class TestEngineFaults:
    """`EngineFaults`."""

    def test_freeze_ends(self):
        """A freeze ends by the clock."""
        now = 10.0
        faults = EngineFaults(clock=lambda: now)
        faults.update({"freeze": 3.0})
        assert faults.freeze_s == 3.0
        now = 14.0
        assert faults.freeze_s == 0.0

    def test_cut_is_taken_once(self):
        """A cut meets one stream."""
        faults = EngineFaults()
        faults.update({"cut_after_chunks": 0})
        assert (faults.take_cut(), faults.take_cut()) == (0, None)

    def test_unknown(self):
        """An unknown name sets nothing."""
        faults = EngineFaults()
        with pytest.raises(UnknownFaultError):
            faults.update({"slow_factor": 2.0, "dance": 1})
        assert faults.slow_factor == 1.0
