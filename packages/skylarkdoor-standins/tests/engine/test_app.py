"""Tests of the engine's HTTP API."""

import asyncio
import json

import aiohttp
import pytest

from skylarkdoor_standins import chat_prompt, expected_text
from skylarkdoor_standins.engine import Fencing

MESSAGES = [{"role": "user", "content": "when are beans sown"}]
UNREACHABLE_MAX_TOKENS = 10**9
SLOW_SETTINGS = {"time_scale": 1.0, "decode_tps": 100.0}


def chat(**changes):
    """Return the body of a chat request, with some fields overridden."""
    return {"model": "m", "messages": MESSAGES, "max_tokens": 6, **changes}


async def read_events(response):
    """Return the data of each event in a streamed response."""
    lines = (await response.text()).split("\n\n")
    return [line.removeprefix("data: ") for line in lines if line]


async def wait_until(condition):
    """Poll until an async condition is true."""
    while not await condition():
        await asyncio.sleep(0.005)


async def stats_of(engine):
    """Return the engine's counters."""
    return await (await engine.get("/stats")).json()


class TestCompletions:
    """Whole and streamed completions."""

    async def test_full_chat_response(self, engine):
        """A response that is not streamed has the expected text and the usage."""
        headers = {"X-Request-Id": "r1"}
        response = await engine.post(
            "/v1/chat/completions", json=chat(), headers=headers
        )
        answer = await response.json()
        text = answer["choices"][0]["message"]["content"]
        assert text == expected_text(chat_prompt(MESSAGES), 6)
        assert answer["usage"]["prompt_tokens"] == 5
        assert answer["usage"]["completion_tokens"] == 6
        assert response.headers["X-Request-Id"] == "r1"
        assert (await stats_of(engine))["executions"] == {"r1": 1}

    async def test_streamed_chat(self, engine):
        """The chunks of a stream form the expected text; the last event is DONE."""
        body = chat(stream=True, stream_options={"include_usage": True})
        response = await engine.post("/v1/chat/completions", json=body)
        *chunks, done = await read_events(response)
        *pieces, usage = [json.loads(chunk) for chunk in chunks]
        text = "".join(piece["choices"][0]["delta"]["content"] for piece in pieces)
        assert text == expected_text(chat_prompt(MESSAGES), 6)
        assert pieces[-1]["choices"][0]["finish_reason"] == "length"
        assert usage["usage"]["completion_tokens"] == 6
        assert done == "[DONE]"

    async def test_completion(self, engine):
        """A text completion has the expected text for its prompt."""
        body = {"model": "m", "prompt": "a b", "max_tokens": 2}
        answer = await (await engine.post("/v1/completions", json=body)).json()
        assert answer["choices"][0]["text"] == expected_text("a b", 2)

    async def test_concurrent(self, engine):
        """Each of several concurrent requests gets the completion of its own prompt."""

        async def ask(prompt: str) -> str:
            body = {"model": "m", "prompt": prompt, "max_tokens": 20}
            answer = await (await engine.post("/v1/completions", json=body)).json()
            return answer["choices"][0]["text"]

        prompts = [f"prompt {index}" for index in range(40)]
        answers = await asyncio.gather(*(ask(prompt) for prompt in prompts))
        assert answers == [expected_text(prompt, 20) for prompt in prompts]

    async def test_unknown_model(self, engine):
        """A request for a model that is not loaded is refused and not executed."""
        response = await engine.post("/v1/chat/completions", json=chat(model="other"))
        assert response.status == 404
        assert (await stats_of(engine))["executions"] == {}

    async def test_bad_request(self, engine):
        """A request without a prompt is refused."""
        response = await engine.post("/v1/completions", json={"model": "m"})
        assert response.status == 400


class TestCancellation:
    """Cancellation when the client disconnects."""

    @pytest.mark.parametrize("stream", [True, False])
    async def test_disconnect(self, start_engine, stream):
        """A disconnect cancels the request; its computed prompt counts as wasted."""
        engine = await start_engine(**SLOW_SETTINGS)
        body = chat(max_tokens=UNREACHABLE_MAX_TOKENS, stream=stream)
        request = asyncio.create_task(engine.post("/v1/chat/completions", json=body))

        async def is_computed():
            return (await stats_of(engine))["prefill"]["computed"] == 5

        await wait_until(is_computed)
        if stream:
            (await request).close()
        request.cancel()

        async def is_cancelled():
            return (await stats_of(engine))["cancelled"] == 1

        await wait_until(is_cancelled)
        assert (await stats_of(engine))["prefill"]["wasted"] == 5


class TestPrefixCache:
    """Prompts with a common prefix."""

    async def test_cached_tokens(self, engine):
        """The complete blocks that a prompt shares with an earlier one are cached."""
        shared = " ".join(f"w{index}" for index in range(130))
        for suffix in ("a", "b"):
            body = {"model": "m", "prompt": f"{shared} {suffix}", "max_tokens": 1}
            answer = await (await engine.post("/v1/completions", json=body)).json()
        details = answer["usage"]["prompt_tokens_details"]
        assert details["cached_tokens"] == 128
        prefill = (await stats_of(engine))["prefill"]
        assert prefill == {"computed": 131 + 3, "cached": 128, "wasted": 0}


class TestOrders:
    """Orders to the engine."""

    async def test_load_model(self, engine):
        """A model loaded by an order is reported and serves requests."""
        order = {"fence": 1, "action": "load_model", "name": "n"}
        state = await (await engine.post("/orders", json=order)).json()
        assert state["models"] == ["m", "n"]
        response = await engine.post("/v1/chat/completions", json=chat(model="n"))
        assert response.status == 200

    @pytest.mark.parametrize(
        ("fencing", "status"), [(Fencing.CHECK, 409), (Fencing.IGNORE, 200)]
    )
    async def test_stale_fence(self, start_engine, fencing, status):
        """A lower fencing number is refused only if the engine checks it."""
        engine = await start_engine(fencing=fencing)
        new, old = ({"fence": n, "action": "set_role", "name": "r"} for n in (2, 1))
        assert (await engine.post("/orders", json=new)).status == 200
        assert (await engine.post("/orders", json=old)).status == status

    async def test_unknown_action(self, engine):
        """An order with an unknown action is refused."""
        order = {"fence": 1, "action": "unknown", "name": "n"}
        assert (await engine.post("/orders", json=order)).status == 400


class TestReports:
    """Metrics and cache events."""

    async def test_metrics(self, start_engine):
        """The load is reported in the Prometheus text format."""
        engine = await start_engine(max_batch=1, **SLOW_SETTINGS)
        body = chat(max_tokens=UNREACHABLE_MAX_TOKENS)
        requests = [
            asyncio.create_task(engine.post("/v1/chat/completions", json=body))
            for _ in range(3)
        ]

        async def is_reported():
            text = await (await engine.get("/metrics")).text()
            running = "engine_requests_running 1.0" in text
            return running and "engine_requests_waiting 2.0" in text

        await wait_until(is_reported)
        for request in requests:
            request.cancel()

    async def test_cache_events(self, engine):
        """The event of a stored block is reported once its lag has passed."""
        prompt = " ".join(f"w{index}" for index in range(64))
        body = {"model": "m", "prompt": prompt, "max_tokens": 1}
        await engine.post("/v1/completions", json=body)

        async def is_reported():
            events = await (await engine.get("/cache_events?since=0")).json()
            return [event["kind"] for event in events] == ["stored"]

        await wait_until(is_reported)
        assert await (await engine.get("/cache_events?since=1")).json() == []


class TestFaults:
    """Injected faults that do not end the process."""

    async def test_cut(self, engine):
        """The connection of one stream is aborted after the given number of chunks."""
        await engine.post("/faults", json={"cut_after_chunks": 2})
        body = chat(stream=True)
        with pytest.raises(aiohttp.ClientError):
            await (await engine.post("/v1/chat/completions", json=body)).read()
        whole = await engine.post("/v1/chat/completions", json=body)
        assert (await read_events(whole))[-1] == "[DONE]"

    async def test_unknown(self, engine):
        """A fault with an unknown name is refused."""
        assert (await engine.post("/faults", json={"unknown": 1})).status == 400
