"""Customers' limits and deadlines as callers see them."""

import asyncio
import json

import pytest

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Customer, Team
from skylarkdoor_bench import EntrySpec, small_demo

MODEL = "garden-7b"
LIMITED = "limited-garden"
FREE = "free-garden"


def deployment():
    """Return one entry, one engine and a customer with limits."""
    demo = small_demo()

    def customer(name, **limits):
        return Customer((key_hash(f"{name}-key"),), "swap", ("assistant",), **limits)

    team = Team(
        {
            LIMITED: customer(LIMITED, max_concurrent=1, tokens_per_s=1.0),
            FREE: customer(FREE),
        }
    )
    return demo._replace(
        entries=(EntrySpec("entry-1", "teika"),),
        upstreams=demo.upstreams[:1],
        teams={"gardens": team},
    )


@pytest.fixture
async def send(start_cluster):
    """Return a function that sends a request and returns status, headers, body."""
    cluster = await start_cluster(deployment())

    async def ask(name, *, max_tokens, timeout_s=None):
        body = {"model": MODEL, "prompt": "seed", "max_tokens": max_tokens}
        headers = {"Authorization": f"Bearer {name}-key"}
        if timeout_s is not None:
            headers["X-Request-Timeout"] = str(timeout_s)
        url = f"{cluster.entry_urls[0]}/v1/completions"
        async with cluster.session.post(url, json=body, headers=headers) as answer:
            return answer.status, answer.headers, json.loads(await answer.text())

    return ask


class TestCustomerLimits:
    """A customer beyond its limits."""

    async def test_refused_with_retry_after(self, send):
        """One of two at once is refused, truly not run, with a time to come back."""
        answers = await asyncio.gather(
            *(send(LIMITED, max_tokens=20) for _ in range(2))
        )
        assert sorted(status for status, _, _ in answers) == [200, 429]
        refused = next(answer for answer in answers if answer[0] == 429)
        assert int(refused[1]["Retry-After"]) >= 1
        assert refused[2]["error"]["code"] == "concurrency_limited"
        assert refused[2]["error"]["not_run"] is True

    async def test_tokens(self, send):
        """A customer in debt of tokens is refused; another is not touched."""
        assert (await send(LIMITED, max_tokens=20))[0] == 200
        status, _, body = await send(LIMITED, max_tokens=1)
        assert (status, body["error"]["code"]) == (429, "tokens_limited")
        assert (await send(FREE, max_tokens=1))[0] == 200


class TestDeadline:
    """A request that can't finish in time."""

    async def test_refused_at_once(self, send):
        """Once the speed is known, it is refused long before its deadline."""
        for _ in range(2):
            assert (await send(FREE, max_tokens=40))[0] == 200
        status, headers, body = await send(FREE, max_tokens=400, timeout_s=0.5)
        assert (status, body["error"]["code"]) == (504, "deadline")
        assert int(headers["Retry-After"]) >= 1
        assert body["error"]["not_run"] is True
