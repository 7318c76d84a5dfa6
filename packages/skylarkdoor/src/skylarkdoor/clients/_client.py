"""Base class of the clients of the platform's services."""

from collections.abc import Sequence
from typing import ClassVar

import aiohttp

from skylarkdoor.clients._endpoints import Endpoints


class Client:
    """A client of one service.

    Args:
        session: HTTP session for all requests.
        endpoints: Base URLs of the service, tried in turn.
        timeout_s: Timeout of one request to one endpoint, in seconds; None for the
            service's default.

    Attributes:
        default_timeout_s: Default timeout of one request to the service, in seconds.
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
