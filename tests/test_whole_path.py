"""A request is served from end to end by separate processes."""

import asyncio
import hashlib
import json
import random
from typing import NamedTuple

import aiohttp

from skylarkdoor_bench import Cluster, api_key, small_demo
from skylarkdoor_bench.testing import StartCluster
from skylarkdoor_standins import chat_prompt, expected_text

CUSTOMER = "teika-garden"
MODEL = "garden-7b"
SEED = 11
REQUESTS = 48
TIME_SCALE = 20.0


class Expected(NamedTuple):
    """A request and the text that must come back."""

    kind: str
    prompt: str
    max_tokens: int


def plan(rng: random.Random, number: int) -> Expected:
    """Return one request of a random kind and length."""
    words = rng.randint(1, 60)
    prompt = " ".join(f"w{number}-{word}" for word in range(words))
    kind = rng.choice(["chat stream", "chat", "completion", "packet"])
    return Expected(kind, prompt, rng.randint(1, 40))


async def send(cluster: Cluster, expected: Expected, entry: int) -> None:
    """Send a request through one entry and check its answer."""
    sent = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
    base = cluster.entry_urls[entry]
    if expected.kind == "packet":
        url = f"{base}/services/registry/packets/{expected.max_tokens}"
        async with cluster.session.get(
            url, headers=sent, data=expected.prompt
        ) as answer:
            told = await answer.json()
        body_hash = hashlib.sha256(expected.prompt.encode()).hexdigest()
        assert told["path"] == f"/packets/{expected.max_tokens}"
        assert told["body_sha256"] == body_hash
        return
    body = {"model": MODEL, "max_tokens": expected.max_tokens}
    path = "/v1/completions"
    prompt = expected.prompt
    if expected.kind == "completion":
        body["prompt"] = expected.prompt
    else:
        path = "/v1/chat/completions"
        messages = [{"role": "user", "content": expected.prompt}]
        prompt = chat_prompt(messages)
        body |= {"messages": messages, "stream": expected.kind == "chat stream"}
    async with cluster.session.post(base + path, json=body, headers=sent) as answer:
        text = await read_text(answer, expected.kind)
    assert text == expected_text(prompt, expected.max_tokens)


async def read_text(answer: aiohttp.ClientResponse, kind: str) -> str:
    """Return the text of an answer in any of the forms."""
    assert answer.status == 200, await answer.text()
    if kind == "completion":
        return (await answer.json())["choices"][0]["text"]
    if kind == "chat":
        return (await answer.json())["choices"][0]["message"]["content"]
    raw = (await answer.text()).strip().split("\n\n")
    assert raw.pop() == "data: [DONE]"
    events = [json.loads(event.removeprefix("data: ")) for event in raw]
    return "".join(
        choice["delta"].get("content", "")
        for event in events
        for choice in event["choices"]
    )


class TestWholePath:
    """Two entries, two unlike engines and a plain service."""

    async def test_crossed_answers(self, start_cluster: StartCluster):
        """Each caller gets its own answer, byte for byte, whatever overlaps."""
        rng = random.Random(SEED)
        cluster = await start_cluster(small_demo()._replace(time_scale=TIME_SCALE))
        plans = [plan(rng, number) for number in range(REQUESTS)]
        await asyncio.gather(
            *(send(cluster, wanted, n % 2) for n, wanted in enumerate(plans))
        )

    async def test_span_for_each_hop(self, start_cluster: StartCluster):
        """A request leaves a span at the entry, the offer, the sidecar, the engine."""
        cluster = await start_cluster(small_demo()._replace(time_scale=TIME_SCALE))
        await send(cluster, Expected("chat", "hello", 2), 0)
        names = {span.name for span in cluster.spans()}
        assert {"entry", "offer", "sidecar", "upstream"} <= names


class TestRefusals:
    """Requests that can't be taken as they are."""

    async def test_clear_errors(self, start_cluster: StartCluster):
        """Each has its status and code, and says that nothing was run."""
        cluster = await start_cluster(small_demo())
        base = cluster.entry_urls[0]
        own = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
        chat = f"{base}/v1/chat/completions"
        cases = [
            (chat, {}, b"{}", 401, "key_missing"),
            (chat, {"Authorization": "Bearer no"}, b"{}", 401, "key_unknown"),
            (chat, own, b"{", 400, "body_malformed"),
            (chat, own, b"[]", 400, "body_malformed"),
            (chat, own, b"{}", 400, "model_missing"),
            (chat, own, b'{"model": "none", "prompt": "x"}', 404, "model_unknown"),
            (
                chat,
                own,
                b'{"model": "garden-7b", "prompt": "x", "max_tokens": 0}',
                400,
                "max_tokens_invalid",
            ),
            (
                chat,
                own | {"X-Request-Timeout": "soon"},
                b'{"model": "garden-7b", "prompt": "x"}',
                400,
                "timeout_invalid",
            ),
            (f"{base}/services/none/x", own, b"", 404, "pool_unknown"),
            (
                f"{base}/services/registry/handovers",
                own,
                b"",
                400,
                "idempotency_key_missing",
            ),
            (f"{base}/nothing", own, b"", 404, "not_found"),
        ]
        for url, headers, body, status, code in cases:
            async with cluster.session.post(url, data=body, headers=headers) as answer:
                error = (await answer.json())["error"]
            assert (answer.status, error["code"]) == (status, code)
            assert error["not_run"] is True
