"""The W3C trace context from a caller through to an upstream."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from aiohttp import web

from skylarkdoor.settings import Upstream
from skylarkdoor_bench import api_key

from ._inprocess import Deployment, connected, until

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT_ID = "b7ad6b7169203331"
TRACEPARENT = f"00-{TRACE_ID}-{PARENT_ID}-01"
CUSTOMER = "teika-garden"


class Registry:
    """A plain service that keeps the headers that it is sent."""

    def __init__(self):
        self.received: list[dict[str, str]] = []
        self.app = web.Application()
        self.app.router.add_get("/health", self.get_health)
        self.app.router.add_get("/packets/{number}", self.get_packet)

    async def get_health(self, request: web.Request) -> web.Response:
        """Answer that it is up."""
        return web.Response()

    async def get_packet(self, request: web.Request) -> web.Response:
        """Keep the headers and answer."""
        self.received.append(dict(request.headers))
        sent = {"X-Request-Id": request.headers["X-Request-Id"]}
        return web.json_response({}, headers=sent)


@pytest.fixture
async def registry():
    """Return a service that an entry and a sidecar stand before."""
    async with AsyncExitStack() as stack:
        deployment = Deployment(stack)
        await deployment.start()
        service = Registry()
        url = await deployment.serve(service.app)
        await deployment.run_sidecar(Upstream(url, "registry"))
        kernel = await deployment.run_entry()
        await until(lambda: connected(kernel))
        service.deployment = deployment
        yield service


async def look_up(registry: Registry, headers: dict[str, str]) -> None:
    """Look a packet up; until the service's health is known, it is refused."""
    deployment = registry.deployment
    url = f"http://{deployment.callers}/services/registry/packets/1"
    key = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
    async with asyncio.timeout(20):
        while True:
            async with deployment.session.get(url, headers=headers | key) as answer:
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)


class TestTraceContext:
    """`traceparent` and `tracestate`."""

    async def test_passed_on(self, registry):
        """The upstream's span is in the caller's trace, below our own."""
        sent = {"traceparent": TRACEPARENT, "tracestate": "garden=1"}
        await look_up(registry, sent)
        received = registry.received[-1]
        version, trace_id, span_id, flags = received["traceparent"].split("-")
        assert (version, trace_id, flags) == ("00", TRACE_ID, "01")
        assert span_id != PARENT_ID
        assert received["tracestate"] == "garden=1"

    async def test_started(self, registry):
        """Without a caller's context, the upstream still gets one."""
        await look_up(registry, {})
        assert len(registry.received[-1]["traceparent"].split("-")[1]) == 32

    async def test_secrets_stay(self, registry):
        """The caller's key does not reach the upstream."""
        await look_up(registry, {})
        assert "Authorization" not in registry.received[-1]
