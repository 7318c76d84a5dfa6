"""What the clients of all the platform's services have in common."""

from collections.abc import Sequence
from typing import ClassVar

import aiohttp

from skylarkdoor.clients._endpoints import Endpoints


class Client:
    """A client of one service.

    Args:
        session: The session for all requests.
        endpoints: Base URLs, tried in turn.
        timeout_s: The time for one request; the service's usual one if absent.

    Attributes:
        default_timeout_s: The service's usual time for one request, in seconds.
    """

    default_timeout_s: ClassVar[float]

    def __init__(
        self,
        session: aiohttp.ClientSession,
        endpoints: Sequence[str],
        *,
        timeout_s: float | None = None,
    ):
        self.session = session
        self.endpoints = Endpoints(endpoints)
        total_s = self.default_timeout_s if timeout_s is None else timeout_s
        self.timeout = aiohttp.ClientTimeout(total=total_s)
