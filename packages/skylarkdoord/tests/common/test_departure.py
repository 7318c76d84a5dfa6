"""Reasons to leave."""

import pytest

from skylarkdoor.exceptions import InvariantBrokenError
from skylarkdoord.common import Departure
from skylarkdoord.common import _departure as departure
from skylarkdoord.sidecar._listing import Listing


class TestDeparture:
    """`Departure`."""

    def test_shutdown_outlasts_list(self):
        """The list can't call back a process that is shutting down."""
        leaving = Departure()
        leaving.leave(departure.LISTED)
        leaving.leave(departure.SHUTDOWN)
        leaving.rejoin(departure.LISTED)
        assert leaving.is_leaving

    def test_told_once(self):
        """Listeners hear of the change, not of each reason."""
        heard = []
        leaving = Departure()
        leaving.listeners.append(lambda reason, holds: heard.append((reason, holds)))
        leaving.leave(departure.LISTED)
        leaving.leave(departure.OPERATOR)
        assert heard == [(departure.LISTED, True)]

    def test_new_work_too_late(self):
        """New work after the bound breaks the invariant."""
        leaving = Departure()
        leaving.check_new_work()
        leaving.leave(departure.OPERATOR)
        leaving.check_new_work()
        leaving.since -= departure.LEAVING_BOUND_S + 0.1
        with pytest.raises(InvariantBrokenError):
            leaving.check_new_work()


class TestListing:
    """What entries read on the list."""

    def test_any_entry(self):
        """The sidecar leaves while any entry's last word says so."""
        leaving = Departure()
        listing = Listing(leaving)
        listing.hear("entry-1", True)
        listing.hear("entry-2", False)
        assert leaving.is_leaving
        listing.hear("entry-1", False)
        assert not leaving.is_leaving

    def test_stream_lost(self):
        """An entry's word ends with its stream."""
        leaving = Departure()
        listing = Listing(leaving)
        listing.hear("entry-1", True)
        listing.forget("entry-1")
        assert not leaving.is_leaving
