"""Tests of the errors of lost connections."""

import pytest
from grpclib.protocol import Connection
from h2.exceptions import StreamClosedError

from skylarkdoor.wire import CONNECTION_LOST_ERRORS, translate_closed_connection


class TestConnectionLostErrors:
    """`CONNECTION_LOST_ERRORS`."""

    def test_closed_by_the_peer(self):
        """Sending on a stream that the peer has just closed is a lost connection.

        Under load, the replay of the trace graceful_shutdown once failed because the
        sidecar treated this error as an internal fault.
        """
        assert issubclass(StreamClosedError, CONNECTION_LOST_ERRORS)


class TestTranslateClosedConnection:
    """`translate_closed_connection`."""

    def test_closed(self):
        """The use of a closed connection raises `ConnectionResetError`."""
        closed = Connection.__new__(Connection)
        with pytest.raises(ConnectionResetError):
            with translate_closed_connection():
                closed.get_peer()

    def test_fault(self):
        """An `AttributeError` for another attribute is not translated."""
        with pytest.raises(AttributeError):
            with translate_closed_connection():
                object().missing  # noqa: B018
