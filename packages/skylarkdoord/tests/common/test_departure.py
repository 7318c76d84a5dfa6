"""Tests of the drain state and its reasons."""

import pytest

from skylarkdoor.exceptions import InvariantBrokenError
from skylarkdoord.common import Departure
from skylarkdoord.common import _departure as departure
from skylarkdoord.sidecar._listing import Listing


class TestDeparture:
    """`Departure`."""

    def test_shutdown_outlasts_list(self):
        """The instance list cannot cancel the drain of a process that shuts down."""
        state = Departure()
        state.leave(departure.LISTED)
        state.leave(departure.SHUTDOWN)
        state.rejoin(departure.LISTED)
        assert state.is_leaving

    def test_notified_once(self):
        """Listeners are notified when the drain starts, not of each reason."""
        notified = []
        state = Departure()
        state.listeners.append(lambda reason, holds: notified.append((reason, holds)))
        state.leave(departure.LISTED)
        state.leave(departure.OPERATOR)
        assert notified == [(departure.LISTED, True)]

    def test_new_work_too_late(self):
        """New work after the grace time breaks the invariant."""
        state = Departure()
        state.check_new_work()
        state.leave(departure.OPERATOR)
        state.check_new_work()
        state.since -= departure.NEW_WORK_GRACE_S + 0.1
        with pytest.raises(InvariantBrokenError):
            state.check_new_work()


class TestListing:
    """Drains that entries report from the instance list."""

    def test_any_entry(self):
        """The sidecar drains while any entry's latest report says that it should."""
        state = Departure()
        listing = Listing(state)
        listing.hear("entry-1", True)
        listing.hear("entry-2", False)
        assert state.is_leaving
        listing.hear("entry-1", False)
        assert not state.is_leaving

    def test_stream_lost(self):
        """An entry's report is discarded when its stream ends."""
        state = Departure()
        listing = Listing(state)
        listing.hear("entry-1", True)
        listing.forget("entry-1")
        assert not state.is_leaving
