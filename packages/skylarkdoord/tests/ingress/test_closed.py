"""Tests of reports on closed connections."""

from skylarkdoord.ingress import ClosedConnections, ConnectionState, Reason


class TestClosedConnections:
    """`ClosedConnections.record`."""

    # Guards against a crowd that floods the log, and against one that leaves no trace.
    def test_crowd(self, monkeypatch):
        """Five lines are logged in a second; the next one tells how many were not."""
        now, logged = [10.2], []
        closed = ClosedConnections(lambda: now[0])
        monkeypatch.setattr(
            closed.log, "event", lambda event, **fields: logged.append(fields)
        )
        for _ in range(40):
            closed.record(Reason.UNREAD_BYTES, ConnectionState.opened(9.2))
        assert len(logged) == 5
        now[0] = 11.2
        closed.record(Reason.UNREAD_BYTES, ConnectionState.opened(9.2))
        assert logged[5]["not_logged"] == 35
        assert logged[5]["open_s"] == 2.0
