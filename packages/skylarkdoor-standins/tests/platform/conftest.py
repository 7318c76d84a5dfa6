"""Fixture that serves a platform in the test's process."""

from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestClient, TestServer

from skylarkdoor_standins.platform import create_app


@pytest.fixture
async def platform() -> AsyncIterator[TestClient]:
    """Yield an HTTP client for a platform whose instance list has no lag."""
    server = TestServer(create_app(list_lag_s=0.0))
    async with TestClient(server) as client:
        yield client
