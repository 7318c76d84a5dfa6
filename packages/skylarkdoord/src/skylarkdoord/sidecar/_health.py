"""Periodic health check of the upstream."""

import asyncio
from collections.abc import Callable

import aiohttp

from skylarkdoor import bounded_http

HEALTH_INTERVAL_S = 0.5
HEALTH_TIMEOUT_S = 2.0


class UpstreamWatch:
    """Checks the upstream's health at a fixed interval.

    Args:
        url: Base URL of the upstream.
        on_health: Called after each check with whether the upstream is healthy.
    """

    def __init__(self, url: str, on_health: Callable[[bool], None]) -> None:
        self.url = url
        self.on_health = on_health

    async def run(self) -> None:
        """Check until cancelled."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        async with bounded_http.open_session(timeout=timeout) as session:
            while True:
                self.on_health(await self._healthy(session))
                await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _healthy(self, session: aiohttp.ClientSession) -> bool:
        try:
            async with session.get(f"{self.url}/health") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
