"""A fake administration API and a function to run the client against it."""

import asyncio
import json
from typing import Any, NamedTuple

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from click.testing import CliRunner, Result

from skylarkdoor_bench.testing import start_cluster
from skylarkdoor_client.cli import main

__all__ = ["FakeAdmin", "ReceivedRequest", "admin", "start_cluster"]


class ReceivedRequest(NamedTuple):
    """A request that the API received."""

    method: str
    path: str
    headers: dict[str, str]
    body: Any


class FakeAdmin:
    """An administration API that returns preset responses and records requests.

    Attributes:
        responses: Status and body of the response, by method and path.
        received: The requests received so far.
        connections_to_abort: Number of requests whose connection is closed without
            a response.
        stops_listening: Whether no connection is accepted after such a request.
    """

    def __init__(self):
        self.responses: dict[tuple[str, str], tuple[int, Any]] = {}
        self.received: list[ReceivedRequest] = []
        self.connections_to_abort = 0
        self.stops_listening = False
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.server = TestServer(app)

    async def handle(self, request: web.Request) -> web.Response:
        """Record a request and respond to it, or abort its connection."""
        text = await request.text()
        body = json.loads(text) if text else None
        self.received.append(
            ReceivedRequest(
                request.method, request.path_qs, dict(request.headers), body
            )
        )
        if self.connections_to_abort:
            self.connections_to_abort -= 1
            if self.stops_listening:
                for site in list(self.server.runner.sites):
                    await site.stop()
            request.transport.abort()
            return web.Response()
        status, content = self.responses[request.method, request.path]
        return web.json_response(content, status=status)

    async def run(
        self, *arguments: str, entry: str | None = None, **env: str
    ) -> Result:
        """Run the client with this API, or another URL, as its entry."""
        url = str(self.server.make_url("")) if entry is None else entry
        return await asyncio.to_thread(
            CliRunner().invoke, main, ["--entry", url, *arguments], env=env
        )


@pytest.fixture
async def admin():
    """Return a running fake API."""
    fake = FakeAdmin()
    await fake.server.start_server()
    yield fake
    await fake.server.close()
