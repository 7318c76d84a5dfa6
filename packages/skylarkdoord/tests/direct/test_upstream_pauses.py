"""Tests of the pauses of upstreams that fail or have no room."""

import pytest

from skylarkdoord.direct import _upstreams as upstreams
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._model import UpstreamRecord

from .._fakes import FakeClock
from .test_fleet import StubAdapter

RECORD = UpstreamRecord("i-1", "desk", "127.0.0.1:9001", "north", slots=1)


class TestPause:
    """An upstream that fails, or has no room, again and again."""

    @pytest.fixture
    def tracked(self):
        """Return the upstreams that an entry tracks."""
        return upstreams.Upstreams(Fleet(StubAdapter()), clock=FakeClock())

    def test_doubles(self, tracked):
        """Each pause is twice as long as the one before, up to the longest."""
        upstream = tracked.get(RECORD)
        for pause_s in (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0):
            upstream.paused_until = 0.0
            tracked.on_full(upstream)
            assert upstream.paused_until == pytest.approx(pause_s)

    # Guards against requests that fail as an upstream has failed 1,024 times in a row.
    def test_many_failures(self, tracked):
        """The pause is the longest after any number of failures."""
        upstream = tracked.get(RECORD)
        for _ in range(2000):
            tracked.on_failure(upstream, "refused")
        assert upstream.paused_until == upstreams.MAX_PAUSE_S

    # Guards against requests that fail as an upstream has refused 1,024 in a row.
    def test_many_refusals(self, tracked):
        """The pause is the longest after any number of refusals."""
        upstream = tracked.get(RECORD)
        for _ in range(2000):
            tracked.on_full(upstream)
        assert upstream.paused_until == upstreams.MAX_FULL_PAUSE_S
