"""Sockets that detect an unreachable peer within seconds."""

from skylarkdoord.direct._sockets import open_socket

__all__ = ["open_socket"]
