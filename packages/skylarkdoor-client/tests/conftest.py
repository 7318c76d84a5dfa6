"""A small operators' API and a way to run the client against it."""

import asyncio
import json
from typing import Any, NamedTuple

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from click.testing import CliRunner, Result

from skylarkdoor_bench.testing import start_cluster
from skylarkdoor_client.cli import main

__all__ = ["FakeAdmin", "Received", "admin", "start_cluster"]


class Received(NamedTuple):
    """A request that the API was sent."""

    method: str
    path: str
    headers: dict[str, str]
    body: Any


class FakeAdmin:
    """Gives the answers that a test has set and keeps the requests."""

    def __init__(self):
        self.answers: dict[tuple[str, str], tuple[int, Any]] = {}
        self.received: list[Received] = []
        self.cut = 0
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.server = TestServer(app)

    async def handle(self, request: web.Request) -> web.Response:
        """Record a request and answer it, or cut its connection."""
        text = await request.text()
        body = json.loads(text) if text else None
        self.received.append(
            Received(request.method, request.path_qs, dict(request.headers), body)
        )
        if self.cut:
            self.cut -= 1
            request.transport.abort()
            return web.Response()
        status, answer = self.answers[request.method, request.path]
        return web.json_response(answer, status=status)

    async def run(
        self, *arguments: str, entry: str | None = None, **env: str
    ) -> Result:
        """Run the client with this API as its entry."""
        url = str(self.server.make_url("")) if entry is None else entry
        return await asyncio.to_thread(
            CliRunner().invoke, main, ["--entry", url, *arguments], env=env
        )


@pytest.fixture
async def admin():
    """Return a running API."""
    fake = FakeAdmin()
    await fake.server.start_server()
    yield fake
    await fake.server.close()
