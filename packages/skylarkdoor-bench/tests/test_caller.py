"""Tests of the HTTP client for entries."""

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from skylarkdoor_bench._caller import Caller, CutStreamError

EVENT = 'data: {{"choices": [{{"delta": {{"content": "{}"}}}}]}}\n\n'
MESSAGES = [{"role": "user", "content": "hello"}]


@pytest.fixture
async def start_caller():
    """Return a function that starts a server and a caller connected to it."""
    servers = []
    session = aiohttp.ClientSession()

    async def start(answer: str, *, status: int = 200) -> tuple[Caller, list]:
        requests = []

        async def handle(request: web.Request) -> web.Response:
            requests.append(request)
            return web.Response(
                text=answer, status=status, headers={"X-Request-Id": "r1"}
            )

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        server = TestServer(app)
        await server.start_server()
        servers.append(server)
        url = str(server.make_url("")).rstrip("/")
        return Caller(session, url, key="k"), requests

    yield start
    await session.close()
    for server in servers:
        await server.close()


class TestSend:
    """Tests of `Caller.send`."""

    async def test_answer(self, start_caller):
        """The answer is complete and has the request id and the trace id."""
        caller, requests = await start_caller("text")
        answer = await caller.send("GET", "/a", headers={"X-Other": "1"})
        assert (answer.status, answer.body, answer.request_id) == (200, "text", "r1")
        sent = requests[0].headers
        assert sent["Authorization"] == "Bearer k"
        assert sent["X-Other"] == "1"
        assert answer.trace_id in sent["traceparent"]


class TestStreamChat:
    """Tests of `Caller.stream_chat`."""

    async def test_whole(self, start_caller):
        """The pieces of a stream are concatenated."""
        events = EVENT.format("a") + EVENT.format(" b") + "data: [DONE]\n\n"
        caller, _ = await start_caller(events)
        answer = await caller.stream_chat("m", MESSAGES, max_tokens=2)
        assert answer.body == "a b"

    async def test_cut(self, start_caller):
        """A stream without its final event raises `CutStreamError`."""
        caller, _ = await start_caller(EVENT.format("a"))
        with pytest.raises(CutStreamError):
            await caller.stream_chat("m", MESSAGES, max_tokens=2)

    async def test_refused(self, start_caller):
        """A refusal is returned with its text."""
        caller, _ = await start_caller("not run", status=503)
        answer = await caller.stream_chat("m", MESSAGES, max_tokens=2)
        assert (answer.status, answer.body) == (503, "not run")
