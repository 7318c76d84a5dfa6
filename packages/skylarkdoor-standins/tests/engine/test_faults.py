"""Tests of fault injection into the engine."""

import pytest

from skylarkdoor_standins.engine._faults import EngineFaults, UnknownFaultError


class TestEngineFaults:
    """`EngineFaults`."""

    def test_freeze_ends(self):
        """A freeze ends after the given number of seconds."""
        now = 10.0
        faults = EngineFaults(clock=lambda: now)
        faults.update({"freeze": 3.0})
        assert faults.remaining_freeze_s == 3.0
        now = 14.0
        assert faults.remaining_freeze_s == 0.0

    def test_cut_applies_once(self):
        """A cut applies to one stream only."""
        faults = EngineFaults()
        faults.update({"cut_after_chunks": 0})
        assert (faults.take_stream_cut(), faults.take_stream_cut()) == (0, None)

    def test_unknown(self):
        """If one fault has an unknown name, no fault is set."""
        faults = EngineFaults()
        with pytest.raises(UnknownFaultError):
            faults.update({"slow_factor": 2.0, "unknown": 1})
        assert faults.slow_factor == 1.0
