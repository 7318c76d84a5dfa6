"""Sockets that detect an unreachable peer within seconds."""

import socket
from typing import Any

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The connection is closed if sent data stays unacknowledged for this long.
UNACKNOWLEDGED_MS = 3000


def open_socket(info: tuple[Any, ...]) -> socket.socket:
    """Return a socket that closes its connection once the peer stops responding.

    Args:
        info: Family, type, protocol, canonical name and address, as returned by
            `socket.getaddrinfo`.
    """
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return sock
