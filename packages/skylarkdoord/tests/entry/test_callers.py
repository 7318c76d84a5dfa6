"""Tests of the routes at the callers' address."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from skylarkdoor.settings import Limits
from skylarkdoor_bench import api_key
from skylarkdoord.common import InternalServer

from .._inprocess import Deployment, until

MAX_BODY_BYTES = 256 * 1024
LIMITS = Limits(max_body_bytes=MAX_BODY_BYTES, max_waiting_bytes=MAX_BODY_BYTES)
STEP_BYTES = 16 * 1024
STEP_S = 0.05
HEADERS = {"Authorization": f"Bearer {api_key('teika-garden')}"}


@pytest.fixture
async def deployment():
    """Return a deployment with an entry that is ready."""
    async with AsyncExitStack() as stack:
        started = Deployment(stack)
        await started.start()
        kernel = await started.run_entry(limits=LIMITS)
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


class TestBodies:
    """Bodies about as large as the limits."""

    async def post(self, deployment, body):
        """Send a body that is JSON without a model; return status and error."""
        url = f"http://{deployment.callers}/v1/chat/completions"
        async with deployment.session.post(url, headers=HEADERS, data=body) as answer:
            return answer.status, (await answer.json())["error"], answer.headers

    # Guards against bounds that a single legal request meets.
    async def test_largest(self, deployment):
        """One of the largest size is read, in pieces as well; a larger one is not."""
        body = b"{}".ljust(MAX_BODY_BYTES)

        async def send():
            yield body[:1]
            yield body[1:]

        for sent in (body, send()):
            status, error, _ = await self.post(deployment, sent)
            assert (status, error["code"]) == (400, "model_missing")
        status, error, _ = await self.post(deployment, body + b" ")
        assert (status, error["code"]) == (413, "body_too_large")

    # Guards against a refusal after which callers don't know whether to try again.
    async def test_no_room(self, deployment):
        """A body beside another one is refused as not run, with Retry-After."""
        begun = asyncio.Event()

        async def send_slowly():
            for _ in range(MAX_BODY_BYTES // STEP_BYTES):
                yield b" " * STEP_BYTES
                begun.set()
                await asyncio.sleep(STEP_S)

        slow = asyncio.create_task(self.post(deployment, send_slowly()))
        await begun.wait()
        status, error, headers = await self.post(
            deployment, b"{}".ljust(MAX_BODY_BYTES)
        )
        assert (status, error["code"]) == (503, "overloaded")
        assert error["not_run"] is True
        assert "Retry-After" in headers
        assert (await slow)[0] == 400
