"""Fixtures of the tests of direct dispatch."""

import asyncio
import time

import pytest

from ._virtual_time import VirtualTimeLoop


def pytest_asyncio_loop_factories(config, item):
    """Return the event loop of a test, by whether it uses `virtual_time`."""
    if "virtual_time" in item.fixturenames:
        return {"virtual": VirtualTimeLoop}
    return {"default": asyncio.new_event_loop}


@pytest.fixture
async def virtual_time(monkeypatch):
    """Let event loop and monotonic clock stand still unless all tasks wait."""
    monkeypatch.setattr(time, "monotonic", asyncio.get_running_loop().time)
