"""Errors of connections that are gone."""

import pytest
from grpclib.protocol import Connection
from h2.exceptions import StreamClosedError

from skylarkdoor.wire import LOST_ERRORS, closed_connections


class TestLostErrors:
    """`LOST_ERRORS`."""

    def test_closed_by_the_peer(self):
        """Sending on a stream that the other end has just closed is a loss.

        Seen once in the trace graceful_shutdown beside other load: the sidecar
        took it for a fault of its own.
        """
        assert issubclass(StreamClosedError, LOST_ERRORS)


class TestClosedConnections:
    """`closed_connections`."""

    def test_closed(self):
        """The use of a closed connection is a reset."""
        closed = Connection.__new__(Connection)
        with pytest.raises(ConnectionResetError):
            with closed_connections():
                closed.get_peer()

    def test_fault(self):
        """Any other absent attribute stays a fault in the code."""
        with pytest.raises(AttributeError):
            with closed_connections():
                object().missing  # noqa: B018
