"""Fixtures that serve engines in the test's process."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import pytest
from aiohttp.test_utils import TestClient, TestServer

from skylarkdoor_standins.engine import EngineSettings, create_app

FAST_TIME_SCALE = 10_000.0

StartEngine = Callable[..., Awaitable[TestClient]]


@pytest.fixture
async def start_engine():
    """Return a function that starts an engine and returns an HTTP client for it.

    The engine runs at a high time scale; keyword arguments override its settings.
    """
    async with AsyncExitStack() as stack:

        async def start(**changes: Any) -> TestClient:
            settings = EngineSettings(
                model="m", time_scale=FAST_TIME_SCALE, load_lag_s=0.0
            )
            app = create_app(settings._replace(**changes))
            server = TestServer(app)
            return await stack.enter_async_context(TestClient(server))

        yield start


@pytest.fixture
async def engine(start_engine):
    """Return an HTTP client for an engine that runs at a high time scale."""
    return await start_engine()
