"""What the callers' address serves."""

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
    """Routes besides those of requests."""

    @pytest.mark.parametrize(
        ("path", "status"),
        [("/healthz", 200), ("/metrics", 404), ("/status", 404), ("/admin", 404)],
    )
    async def test_status(self, deployment, path, status):
        """The balancer sees the health; what names customers stays inside."""
        url = f"http://{deployment.callers}{path}"
        async with deployment.session.get(url) as answer:
            assert answer.status == status
