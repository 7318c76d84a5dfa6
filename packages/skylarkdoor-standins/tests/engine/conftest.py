"""Engines to talk to, in the test's own process."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import pytest
from aiohttp.test_utils import TestClient, TestServer

from skylarkdoor_standins.engine import EngineSettings, create_app

FAST = 10_000.0

StartEngine = Callable[..., Awaitable[TestClient]]


@pytest.fixture
async def start_engine():
    """Return a function that starts an engine and returns a client of it."""
    async with AsyncExitStack() as stack:

        async def start(**changes: Any) -> TestClient:
            settings = EngineSettings(model="m", time_scale=FAST, load_lag_s=0.0)
            app = create_app(settings._replace(**changes))
            server = TestServer(app)
            return await stack.enter_async_context(TestClient(server))

        yield start


@pytest.fixture
async def engine(start_engine):
    """Return a client of a fast engine."""
    return await start_engine()
