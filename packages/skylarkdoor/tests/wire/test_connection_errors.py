"""Tests of the errors of lost connections."""

import pytest
from grpclib.protocol import Connection
from h2.exceptions import StreamClosedError

from skylarkdoor.wire import LOST_ERRORS, closed_connections


class TestLostErrors:
    """`LOST_ERRORS`."""

    def test_closed_by_the_peer(self):
        """Sending on a stream that the peer has just closed is a lost connection.

        Under load, the replay of the trace graceful_shutdown once failed because the
        sidecar treated this error as an internal fault.
        """
        assert issubclass(StreamClosedError, LOST_ERRORS)


class TestClosedConnections:
    """`closed_connections`."""

    def test_closed(self):
        """The use of a closed connection raises `ConnectionResetError`."""
        closed = Connection.__new__(Connection)
        with pytest.raises(ConnectionResetError):
            with closed_connections():
                closed.get_peer()

    def test_fault(self):
        """An `AttributeError` for another attribute is not translated."""
        with pytest.raises(AttributeError):
            with closed_connections():
                object().missing  # noqa: B018
