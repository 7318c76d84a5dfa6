"""Fixtures of the tests with crowds."""

import pytest

from tests.adapter._standins import Store

from ._crowd import CrowdedEntry


@pytest.fixture
async def store():
    """Return a running store."""
    async with Store() as running:
        yield running


@pytest.fixture
async def entry(store, tmp_path):
    """Return an entry with low limits, as a process."""
    async with CrowdedEntry(store, tmp_path) as running:
        yield running
