"""Checks of network addresses that somebody else wrote."""

import re
from typing import NamedTuple

MAX_PORT = 65_535
MAX_HOST_CHARS = 253
LABEL = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
HOST = re.compile(rf"{LABEL}(\.{LABEL})*|\[[0-9A-Fa-f:.]{{2,45}}\]", re.ASCII)
PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


class HostPort(NamedTuple):
    """A network address.

    Attributes:
        host: Name or IP address of the host; an IPv6 address is in brackets.
        port: Port, from 1 to 65,535.
    """

    host: str
    port: int


def parse_address(address: str) -> HostPort:
    """Return the parts of an address `host:port`.

    Raises:
        ValueError: It is no address to which a connection can be opened.
    """
    host, _, port = address.rpartition(":")
    if len(host) > MAX_HOST_CHARS or not HOST.fullmatch(host):
        raise ValueError("expected host:port")
    if not PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return HostPort(host, int(port))
