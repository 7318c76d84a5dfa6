"""A platform stand-in that runs in the test's own process."""

from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from skylarkdoor_standins.platform import create_app


class Platform:
    """A running platform stand-in, its URL and a session."""

    def __init__(self, url: str, session: aiohttp.ClientSession):
        self.url = url
        self.session = session

    async def fault(self, service: str, **settings: object) -> None:
        """Inject a fault into a service."""
        url = f"{self.url}/faults"
        async with self.session.post(url, json={service: settings}) as response:
            response.raise_for_status()


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    """Start a platform stand-in whose instance list does not lag."""
    server = TestServer(create_app(list_lag_s=0.0, weight_rate=0.01, weight_burst=1))
    async with server, aiohttp.ClientSession() as session:
        yield Platform(str(server.make_url("")).rstrip("/"), session)
