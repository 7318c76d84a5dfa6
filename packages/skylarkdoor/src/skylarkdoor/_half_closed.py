"""Connections on which the response ended before the request was received.

A server may end its response and reset the connection while the request is still being
sent. The reset shows that it gave up, so the response may not be complete, but it can
arrive shortly after the end.
"""

import asyncio
import fcntl
import os
import socket
import sys
import termios
from collections.abc import Callable

POLL_INTERVAL_S = 0.01
# Longest time for which the end of a response is held back.
MAX_WAIT_S = 1.0
# Size of the number of bytes that the system returns.
COUNT_BYTES = 4


def unreceived_bytes(transport: asyncio.Transport) -> int:
    """Return how many sent bytes the other side has not acknowledged.

    Bytes in the system's buffer are left out if it does not tell their number.
    """
    sock = transport.get_extra_info("socket")
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT_BYTES))
    except OSError:
        count = b""
    return transport.get_write_buffer_size() + int.from_bytes(count, sys.byteorder)


class HalfClosed:
    """Closes a connection once the other side has received the request.

    Args:
        transport: The connection; the other side has ended its response.
        on_reset: Called with the error if it resets the connection instead.

    Attributes:
        ends_at: Time of the event loop at which the connection is closed at the latest.
    """

    def __init__(
        self, transport: asyncio.Transport, on_reset: Callable[[OSError], None]
    ) -> None:
        self.transport = transport
        self.on_reset = on_reset
        self.loop = asyncio.get_running_loop()
        self.ends_at = self.loop.time() + MAX_WAIT_S

    def poll(self) -> None:
        """Close the connection, or look at it again after an interval."""
        if self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            self.on_reset(OSError(number, os.strerror(number)))
        elif not unreceived_bytes(self.transport) or self.loop.time() > self.ends_at:
            self.transport.close()
        else:
            self.loop.call_later(POLL_INTERVAL_S, self.poll)
