"""Tests that the W3C trace context is propagated from a caller to an upstream."""

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
    """Plain service that records the request headers."""

    def __init__(self):
        self.received: list[dict[str, str]] = []
        self.app = web.Application()
        self.app.router.add_get("/health", self.get_health)
        self.app.router.add_get("/packets/{number}", self.get_packet)

    async def get_health(self, request: web.Request) -> web.Response:
        """Return 200."""
        return web.Response()

    async def get_packet(self, request: web.Request) -> web.Response:
        """Record the headers and return an empty object."""
        self.received.append(dict(request.headers))
        sent = {"X-Request-Id": request.headers["X-Request-Id"]}
        return web.json_response({}, headers=sent)


@pytest.fixture
async def registry():
    """Return a service behind an entry and a sidecar."""
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


async def request_packet(registry: Registry, headers: dict[str, str]) -> None:
    """Request a packet; retry until the service counts as healthy."""
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

    async def test_propagated(self, registry):
        """The upstream receives the caller's trace id with a new parent span."""
        sent = {"traceparent": TRACEPARENT, "tracestate": "garden=1"}
        await request_packet(registry, sent)
        received = registry.received[-1]
        version, trace_id, span_id, flags = received["traceparent"].split("-")
        assert (version, trace_id, flags) == ("00", TRACE_ID, "01")
        assert span_id != PARENT_ID
        assert received["tracestate"] == "garden=1"

    async def test_started(self, registry):
        """Without a trace context from the caller, the upstream receives a new one."""
        await request_packet(registry, {})
        assert len(registry.received[-1]["traceparent"].split("-")[1]) == 32

    async def test_key_not_forwarded(self, registry):
        """The caller's API key is not forwarded to the upstream."""
        await request_packet(registry, {})
        assert "Authorization" not in registry.received[-1]
