"""What a stream between processes raises once its connection is gone."""

import contextlib
from collections.abc import Iterator

from grpclib.exceptions import GRPCError, StreamTerminatedError
from h2.exceptions import ProtocolError

from skylarkdoor.exceptions import OutboxFullError

# ProtocolError comes of sending on a stream that the other end has just closed.
LOST_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    OSError,
    TimeoutError,
    OutboxFullError,
)
# grpclib's connections lose this attribute as they close.
_CLOSED_ATTRIBUTE = "_transport"


@contextlib.contextmanager
def closed_connections() -> Iterator[None]:
    """Tell the use of a connection that has just closed from a fault in the code.

    Raises:
        ConnectionResetError: The connection has closed.
    """
    try:
        yield
    except AttributeError as error:
        if error.name != _CLOSED_ATTRIBUTE:
            raise
        raise ConnectionResetError("the connection has closed") from None
