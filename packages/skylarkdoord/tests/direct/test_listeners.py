"""Tests of the listeners of `Fleet` and of `StoreEra`."""

import pytest

from skylarkdoor.exceptions import InvariantBrokenError
from skylarkdoord.direct import Row, StoreEra
from skylarkdoord.direct._fleet import Fleet

from .test_fleet import StubAdapter, rows


class Listeners:
    """Three listeners, the second of which raises an error.

    Attributes:
        called: Listeners that were called.
    """

    def __init__(self, error):
        self.error = error
        self.called = []

    def first(self):
        """Be called."""
        self.called.append("first")

    def failing(self):
        """Raise the error."""
        raise self.error

    def last(self):
        """Be called."""
        self.called.append("last")

    def all(self):
        """Return the three in order."""
        return [self.first, self.failing, self.last]


@pytest.fixture
def fleet():
    """Return an empty fleet."""
    return Fleet(StubAdapter())


class TestFailures:
    """A listener that raises an error."""

    # Guards against a version that some components of an entry never learn of.
    def test_config(self, fleet, caplog):
        """The other listeners learn of the configuration, which is in force."""
        caplog.set_level("INFO", "skylarkdoor")
        listeners = Listeners(KeyError("desk"))
        fleet.on_config += listeners.all()
        fleet.apply_config(Row("config", 5, b"7"), source="test")
        assert fleet.table.config.version == 7
        assert listeners.called == ["first", "last"]
        (failure,) = [r for r in caplog.records if r.event_name == "listener_failed"]
        assert (failure.listener, failure.error) == ("Listeners.failing", "KeyError")
        assert failure.at.startswith("test_listeners.py:")

    # Guards against upstreams that get no requests for the failure of another part.
    def test_upstreams(self, fleet):
        """The other listeners learn of the upstreams."""
        listeners = Listeners(ValueError())
        fleet.on_upstreams += listeners.all()
        fleet.apply_snapshot(rows(1, a="ready"))
        fleet.apply_changes(rows(2, b="ready"), source="test")
        assert listeners.called == ["first", "last"] * 2

    # Guards against rows that an entry doesn't write again after the store lost them.
    def test_era(self):
        """The other listeners learn of the new era, and the response is used."""
        era = StoreEra()
        listeners = Listeners(ValueError())
        era.listeners += listeners.all()
        era.observe(1, call="read")
        era.observe(2, call="read")
        assert listeners.called == ["first", "last"]

    def test_invariant(self, fleet):
        """A broken invariant still reaches the kernel, which ends the process."""
        fleet.on_upstreams += Listeners(InvariantBrokenError("x")).all()
        with pytest.raises(InvariantBrokenError):
            fleet.apply_snapshot(rows(1, a="ready"))
