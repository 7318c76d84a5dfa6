"""Errors that a stream between processes raises after its connection is lost."""

import contextlib
from collections.abc import Iterator

from grpclib.exceptions import GRPCError, StreamTerminatedError
from h2.exceptions import ProtocolError

from skylarkdoor.exceptions import OutboxFullError

# ProtocolError is raised by sending on a stream that the peer has just closed.
CONNECTION_LOST_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    OSError,
    TimeoutError,
    OutboxFullError,
)
# Those that tell no more than that the connection has ended.
CLOSED_CONNECTION_ERRORS = (StreamTerminatedError, ProtocolError, ConnectionError)
# grpclib deletes this attribute of a connection when the connection closes.
_CLOSED_ATTRIBUTE = "_transport"


@contextlib.contextmanager
def translate_closed_connection() -> Iterator[None]:
    """Translate the use of a closed connection into `ConnectionResetError`.

    grpclib raises `AttributeError` in that case. Other errors are not changed, so that
    faults in the code remain visible.

    Raises:
        ConnectionResetError: The connection is closed.
    """
    try:
        yield
    except AttributeError as error:
        if error.name != _CLOSED_ATTRIBUTE:
            raise
        raise ConnectionResetError("the connection is closed") from None
