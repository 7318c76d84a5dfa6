"""Control streams from entries."""

from skylarkdoor.wire import pb
from skylarkdoord.sidecar import _peers as peers


class TestLoadCache:
    """`LoadCache`."""

    def test_once_for_all_streams(self, monkeypatch):
        """The load is worked out anew only once it has become too old."""
        now = 100.0
        monkeypatch.setattr(peers.time, "monotonic", lambda: now)
        measured = []

        def measure() -> pb.LoadReport:
            measured.append(now)
            return pb.LoadReport(running=len(measured))

        cache = peers.LoadCache(measure)
        assert cache.read().running == 1
        assert cache.read().running == 1
        now += 2 * peers.MAX_LOAD_AGE_S
        assert cache.read().running == 2
