"""Finds free ports on the loopback interface."""

import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral range, from which the system takes ports for connections.
_PORT_RANGE = range(20_000, 32_000)
_MAX_ATTEMPTS = 1000

# A bound UDP socket reserves a port against launchers in other processes until
# this process ends. The TCP port of the same number stays free for the server.
_reservations: dict[int, socket.socket] = {}
_random = random.SystemRandom()


class NoFreePortError(Exception):
    """No free port was found."""


def free_port() -> int:
    """Return a port that is not in use and was not returned before.

    Raises:
        NoFreePortError: No free port was found in 1000 attempts.
    """
    for _ in range(_MAX_ATTEMPTS):
        port = _random.choice(_PORT_RANGE)
        if port not in _reservations and _reserve(port):
            return port
    raise NoFreePortError


def _reserve(port: int) -> bool:
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((HOST, port))
    except OSError:
        reservation.close()
        return False
    _reservations[port] = reservation
    return _is_free(port)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
