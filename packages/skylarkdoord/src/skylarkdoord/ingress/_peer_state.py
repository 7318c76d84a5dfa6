"""Tells whether the other side of a connection has closed it, without reading."""

import asyncio
import socket

# States of TCP after the other side has ended the connection.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8


def has_left(transport: asyncio.BaseTransport) -> bool:
    """Return whether a caller has closed its connection.

    While a connection is not read, its end is hidden behind what has arrived.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    try:
        (state,) = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return state in (TCP_CLOSE, TCP_CLOSE_WAIT)
