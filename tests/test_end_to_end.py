"""Requests served end to end by separate processes."""

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


class RequestSpec(NamedTuple):
    """A request, whose expected response follows from its fields."""

    kind: str
    prompt: str
    max_tokens: int


def random_request(rng: random.Random, number: int) -> RequestSpec:
    """Return one request of a random kind and length."""
    words = rng.randint(1, 60)
    prompt = " ".join(f"w{number}-{word}" for word in range(words))
    kind = rng.choice(["chat stream", "chat", "completion", "packet"])
    return RequestSpec(kind, prompt, rng.randint(1, 40))


async def send(cluster: Cluster, spec: RequestSpec, entry: int) -> None:
    """Send a request through one entry and check its response."""
    headers = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
    base = cluster.entry_urls[entry]
    if spec.kind == "packet":
        url = f"{base}/services/registry/packets/{spec.max_tokens}"
        async with cluster.session.get(
            url, headers=headers, data=spec.prompt
        ) as response:
            reported = await response.json()
        body_hash = hashlib.sha256(spec.prompt.encode()).hexdigest()
        assert reported["path"] == f"/packets/{spec.max_tokens}"
        assert reported["body_sha256"] == body_hash
        return
    body = {"model": MODEL, "max_tokens": spec.max_tokens}
    path = "/v1/completions"
    prompt = spec.prompt
    if spec.kind == "completion":
        body["prompt"] = spec.prompt
    else:
        path = "/v1/chat/completions"
        messages = [{"role": "user", "content": spec.prompt}]
        prompt = chat_prompt(messages)
        body |= {"messages": messages, "stream": spec.kind == "chat stream"}
    async with cluster.session.post(
        base + path, json=body, headers=headers
    ) as response:
        text = await read_text(response, spec.kind)
    assert text == expected_text(prompt, spec.max_tokens)


async def read_text(response: aiohttp.ClientResponse, kind: str) -> str:
    """Return the generated text of a response of any kind."""
    assert response.status == 200, await response.text()
    if kind == "completion":
        return (await response.json())["choices"][0]["text"]
    if kind == "chat":
        return (await response.json())["choices"][0]["message"]["content"]
    raw = (await response.text()).strip().split("\n\n")
    assert raw.pop() == "data: [DONE]"
    events = [json.loads(event.removeprefix("data: ")) for event in raw]
    return "".join(
        choice["delta"].get("content", "")
        for event in events
        for choice in event["choices"]
    )


class TestEndToEnd:
    """Two entries, two different engines and a plain service."""

    async def test_responses_not_crossed(self, start_cluster: StartCluster):
        """Each of many concurrent callers gets exactly its own response."""
        rng = random.Random(SEED)
        cluster = await start_cluster(small_demo()._replace(time_scale=TIME_SCALE))
        specs = [random_request(rng, number) for number in range(REQUESTS)]
        await asyncio.gather(
            *(send(cluster, spec, n % 2) for n, spec in enumerate(specs))
        )

    async def test_span_for_each_hop(self, start_cluster: StartCluster):
        """A request records spans for entry, offer, sidecar and upstream."""
        cluster = await start_cluster(small_demo()._replace(time_scale=TIME_SCALE))
        await send(cluster, RequestSpec("chat", "hello", 2), 0)
        names = {span.name for span in cluster.spans()}
        assert {"entry", "offer", "sidecar", "upstream"} <= names


class TestRefusals:
    """Invalid requests."""

    async def test_errors(self, start_cluster: StartCluster):
        """Each is answered with its status and code, and as not run."""
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
            async with cluster.session.post(
                url, data=body, headers=headers
            ) as response:
                error = (await response.json())["error"]
            assert (response.status, error["code"]) == (status, code)
            assert error["not_run"] is True
