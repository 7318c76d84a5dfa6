"""What a caller may send, and how long it may take."""

from collections.abc import Callable
from typing import NamedTuple

KIB = 1024


class IngressLimits(NamedTuple):
    """Limits on each connection of a caller.

    Attributes:
        head_bytes: Maximum size of the header fields of a request, in bytes.
        head_timeout_s: Time that a head may take from its first byte, in seconds.
        idle_timeout_s: Time for which a connection may be idle, or a body get no
            further, in seconds.
    """

    head_bytes: int = 64 * KIB
    head_timeout_s: float = 15.0
    idle_timeout_s: float = 15.0


LimitSource = Callable[[], IngressLimits]
