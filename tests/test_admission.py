"""Enforcement of customer limits and deadlines, as callers see it."""

import asyncio
import json

import pytest

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Customer, Team
from skylarkdoor_bench import EntrySpec, small_demo

MODEL = "garden-7b"
LIMITED = "limited-garden"
UNLIMITED = "unlimited-garden"


def deployment():
    """Return one entry, one engine, and a limited and an unlimited customer."""
    demo = small_demo()

    def customer(name, **limits):
        return Customer((key_hash(f"{name}-key"),), "swap", ("assistant",), **limits)

    team = Team(
        {
            LIMITED: customer(LIMITED, max_concurrent=1, tokens_per_s=1.0),
            UNLIMITED: customer(UNLIMITED),
        }
    )
    return demo._replace(
        entries=(EntrySpec("entry-1", "teika"),),
        upstreams=demo.upstreams[:1],
        teams={"gardens": team},
    )


@pytest.fixture
async def send(start_cluster):
    """Return a function that sends a request; it returns status, headers and body."""
    cluster = await start_cluster(deployment())

    async def send_request(name, *, max_tokens, timeout_s=None):
        body = {"model": MODEL, "prompt": "seed", "max_tokens": max_tokens}
        headers = {"Authorization": f"Bearer {name}-key"}
        if timeout_s is not None:
            headers["X-Request-Timeout"] = str(timeout_s)
        url = f"{cluster.entry_urls[0]}/v1/completions"
        async with cluster.session.post(url, json=body, headers=headers) as response:
            return response.status, response.headers, json.loads(await response.text())

    return send_request


class TestCustomerLimits:
    """Requests that exceed the customer's limits."""

    async def test_refused_with_retry_after(self, send):
        """One of two concurrent requests is refused as not run, with Retry-After."""
        responses = await asyncio.gather(
            *(send(LIMITED, max_tokens=20) for _ in range(2))
        )
        assert sorted(status for status, _, _ in responses) == [200, 429]
        refused = next(response for response in responses if response[0] == 429)
        assert int(refused[1]["Retry-After"]) >= 1
        assert refused[2]["error"]["code"] == "concurrency_limited"
        assert refused[2]["error"]["not_run"] is True

    async def test_token_limit(self, send):
        """A customer over its token limit is refused; another customer is not."""
        assert (await send(LIMITED, max_tokens=20))[0] == 200
        status, _, body = await send(LIMITED, max_tokens=1)
        assert (status, body["error"]["code"]) == (429, "tokens_limited")
        assert (await send(UNLIMITED, max_tokens=1))[0] == 200


class TestDeadline:
    """A request that cannot finish before its deadline."""

    async def test_refused_without_run(self, send):
        """Once the engine's speed is known, the request is refused without a run."""
        for _ in range(2):
            assert (await send(UNLIMITED, max_tokens=40))[0] == 200
        status, headers, body = await send(UNLIMITED, max_tokens=400, timeout_s=0.5)
        assert (status, body["error"]["code"]) == (504, "deadline")
        assert int(headers["Retry-After"]) >= 1
        assert body["error"]["not_run"] is True
