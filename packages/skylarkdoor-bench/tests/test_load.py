"""Tests of the load generator and of its classification of replies."""

import json
from collections.abc import AsyncIterator, Callable

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from skylarkdoor_bench._load import (
    NO_RETRY_STORM,
    LoadGenerator,
    LoadReport,
    RetryStorm,
)
from skylarkdoor_bench._replies import Outcome
from skylarkdoor_bench._run import scaled_deployment
from skylarkdoor_bench._trace import Arrival
from skylarkdoor_standins import chat_prompt, expected_text

DEPLOYMENT = scaled_deployment("seed-exchange", "late-binding")
STREAM = Arrival(
    0.0, "teika-garden", "chat", True, 5, max_tokens=4, deadline_s=2.0, key="k"
)
ALWAYS_RETRY = RetryStorm(0.0, 60.0)


class FakeEntry:
    """A fake entry whose answers the test determines.

    Attributes:
        refusals: Number of requests that are refused first.
        ending: Bytes sent after the tokens of a stream.
        crossed: Whether the answer is the text for another request.
        keys: Idempotency key of each request received.
    """

    def __init__(self) -> None:
        self.refusals = 0
        self.ending = b"data: [DONE]\n\n"
        self.crossed = False
        self.keys: list[str] = []

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Refuse the request, or stream an answer."""
        self.keys.append(request.headers["Idempotency-Key"])
        body = await request.json()
        if len(self.keys) <= self.refusals:
            error = {"code": "overloaded", "not_run": True}
            headers = {"Retry-After": "1"}
            return web.json_response({"error": error}, status=503, headers=headers)
        prompt = "other" if self.crossed else chat_prompt(body["messages"])
        response = web.StreamResponse()
        await response.prepare(request)
        for index, word in enumerate(expected_text(prompt, 4).split()):
            text = f" {word}" if index else word
            event = json.dumps({"choices": [{"delta": {"content": text}}]})
            await response.write(f"data: {event}\n\n".encode())
        await response.write(self.ending)
        return response


@pytest.fixture
def entry() -> FakeEntry:
    """Return a fake entry."""
    return FakeEntry()


@pytest.fixture
async def run(entry: FakeEntry) -> AsyncIterator[Callable[..., LoadReport]]:
    """Return a function that sends one streamed request to the fake entry."""
    app = web.Application()
    app.router.add_post("/v1/chat/completions", entry.answer)
    async with TestServer(app) as server, aiohttp.ClientSession() as session:

        async def run_load(*, retry_storm: RetryStorm = NO_RETRY_STORM) -> LoadReport:
            url = str(server.make_url("")).rstrip("/")
            load = LoadGenerator(
                session, DEPLOYMENT, [url], [STREAM], retry_storm=retry_storm
            )
            return await load.run()

        yield run_load


class TestStream:
    """Tests of the outcome of a stream."""

    async def test_whole(self, run: Callable[..., LoadReport]) -> None:
        """A complete stream with the expected text is answered, with token times."""
        [result] = (await run()).results
        assert result.reply.outcome is Outcome.ANSWERED
        assert result.first_token_s is not None
        assert len(result.gaps_s) == 3

    async def test_cut(self, entry: FakeEntry, run: Callable[..., LoadReport]) -> None:
        """A stream without its end marker has the outcome `CUT`."""
        entry.ending = b""
        [result] = (await run()).results
        assert result.reply.outcome is Outcome.CUT

    async def test_crossed(
        self, entry: FakeEntry, run: Callable[..., LoadReport]
    ) -> None:
        """A stream with another request's text has the outcome `WRONG`."""
        entry.crossed = True
        [result] = (await run()).results
        assert result.reply.outcome is Outcome.WRONG


class TestRetry:
    """Tests of retries within and outside a retry storm."""

    async def test_calm(self, entry: FakeEntry, run: Callable[..., LoadReport]) -> None:
        """A refused request is not retried outside a retry storm."""
        entry.refusals = 1
        [result] = (await run()).results
        assert (result.reply.outcome, result.attempts) == (Outcome.REFUSED, 1)

    async def test_storm(
        self, entry: FakeEntry, run: Callable[..., LoadReport]
    ) -> None:
        """A refused request is retried with its key, after its Retry-After delay."""
        entry.refusals = 1
        [result] = (await run(retry_storm=ALWAYS_RETRY)).results
        assert (result.reply.outcome, result.attempts) == (Outcome.ANSWERED, 2)
        assert entry.keys == ["k", "k"]
        assert result.ended_s - result.sent_s >= 1.0
