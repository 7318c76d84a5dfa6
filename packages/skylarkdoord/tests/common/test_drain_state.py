"""Tests of the drain state and its reasons."""

import pytest

from skylarkdoor.exceptions import InvariantBrokenError
from skylarkdoord.common import DrainState
from skylarkdoord.common import _drain_state as drain_state
from skylarkdoord.sidecar._listing import Listing


def fail(reason, is_draining):
    """Raise an error."""
    raise KeyError(reason)


def break_invariant(reason, is_draining):
    """Raise the error of a broken invariant."""
    raise InvariantBrokenError(reason)


class TestDrainState:
    """`DrainState`."""

    def test_shutdown_outlasts_list(self):
        """The instance list cannot cancel the drain of a process that shuts down."""
        state = DrainState()
        state.start_drain(drain_state.INSTANCE_LIST)
        state.start_drain(drain_state.SHUTDOWN)
        state.cancel_drain(drain_state.INSTANCE_LIST)
        assert state.is_draining

    def test_notified_once(self):
        """Listeners are notified when the drain starts, not of each reason."""
        notified = []
        state = DrainState()
        state.listeners.append(lambda reason, holds: notified.append((reason, holds)))
        state.start_drain(drain_state.INSTANCE_LIST)
        state.start_drain(drain_state.OPERATOR)
        assert notified == [(drain_state.INSTANCE_LIST, True)]

    # Guards against a drain that a part of the process never hears of.
    def test_listener_fails(self, caplog):
        """The other listeners are notified of the start and the end of the drain."""
        caplog.set_level("INFO", "skylarkdoor")
        notified = []
        state = DrainState()
        state.listeners.append(fail)
        state.listeners.append(lambda reason, holds: notified.append((reason, holds)))
        state.start_drain(drain_state.INSTANCE_LIST)
        state.cancel_drain(drain_state.INSTANCE_LIST)
        assert notified == [
            (drain_state.INSTANCE_LIST, True),
            (drain_state.INSTANCE_LIST, False),
        ]
        failures = [r for r in caplog.records if r.event_name == "listener_failed"]
        assert [failure.listener for failure in failures] == ["fail", "fail"]

    def test_invariant_broken(self):
        """A broken invariant in a listener still reaches the caller."""
        state = DrainState()
        state.listeners.append(break_invariant)
        with pytest.raises(InvariantBrokenError):
            state.start_drain(drain_state.INSTANCE_LIST)

    def test_new_work_too_late(self):
        """New work after the grace time breaks the invariant."""
        state = DrainState()
        state.check_new_work()
        state.start_drain(drain_state.OPERATOR)
        state.check_new_work()
        state.since -= drain_state.NEW_WORK_GRACE_S + 0.1
        with pytest.raises(InvariantBrokenError):
            state.check_new_work()


class TestListing:
    """Drains that entries report from the instance list."""

    def test_any_entry(self):
        """The sidecar drains while any entry's latest report says that it should."""
        state = DrainState()
        listing = Listing(state)
        listing.on_report("entry-1", True)
        listing.on_report("entry-2", False)
        assert state.is_draining
        listing.on_report("entry-1", False)
        assert not state.is_draining

    def test_stream_lost(self):
        """An entry's report is discarded when its stream ends."""
        state = DrainState()
        listing = Listing(state)
        listing.on_report("entry-1", True)
        listing.remove_report("entry-1")
        assert not state.is_draining
