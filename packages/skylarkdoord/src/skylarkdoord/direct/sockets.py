"""Sockets that notice a silent peer."""

from skylarkdoord.direct._sockets import open_socket

__all__ = ["open_socket"]
