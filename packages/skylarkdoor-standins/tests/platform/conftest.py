"""A platform to talk to, in the test's own process."""

from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestClient, TestServer

from skylarkdoor_standins.platform import create_app


@pytest.fixture
async def platform() -> AsyncIterator[TestClient]:
    """Return a client of a platform whose instance list does not lag."""
    server = TestServer(create_app(list_lag_s=0.0))
    async with TestClient(server) as client:
        yield client
