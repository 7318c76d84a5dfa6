"""Fixtures of the tests with clients that don't behave."""

import pytest

from skylarkdoor_bench.testing import start_cluster
from tests.adapter._standins import Store

__all__ = ["start_cluster", "store"]


@pytest.fixture
async def store():
    """Return a running store."""
    async with Store() as running:
        yield running
