"""Tests of the routes at the callers' address."""

from contextlib import AsyncExitStack

import pytest

from skylarkdoord.common import InternalServer

from .._inprocess import Deployment, until


@pytest.fixture
async def deployment():
    """Return a deployment with an entry that is ready."""
    async with AsyncExitStack() as stack:
        started = Deployment(stack)
        await started.start()
        kernel = await started.run_entry()
        internal = kernel.find("internal", InternalServer)
        await until(lambda: not internal.unready())
        yield started


class TestRoutes:
    """Routes other than those for requests."""

    @pytest.mark.parametrize(
        ("path", "status"),
        [("/healthz", 200), ("/metrics", 404), ("/status", 404), ("/admin", 404)],
    )
    async def test_status(self, deployment, path, status):
        """Only the health is public: other internal routes reveal customers' names."""
        url = f"http://{deployment.callers}{path}"
        async with deployment.session.get(url) as answer:
            assert answer.status == status
