"""A caller gets the whole answer to its own request, or sees that it was cut."""

import asyncio
import json
from typing import Any

import aiohttp
import pytest

from skylarkdoor_bench import Cluster, Deployment, EngineSpec, api_key, small_demo
from skylarkdoor_bench.testing import StartCluster

CUSTOMER = "teika-garden"
MODEL = "garden-7b"
COMPLETIONS = "/v1/completions"
END = b"data: [DONE]"
POLL_S = 0.02


def one_engine() -> Deployment:
    """Return an entry and an engine."""
    spec = EngineSpec("engine-1", "teika", "assistant", MODEL, 6000, 120, 32)
    demo = small_demo()
    return demo._replace(upstreams=(spec,), entries=demo.entries[:1])


@pytest.fixture
async def cluster(start_cluster: StartCluster) -> Cluster:
    """Start an entry and an engine."""
    return await start_cluster(one_engine())


def asked(prompt: str, *, max_tokens: int = 8, stream: bool = False) -> dict[str, Any]:
    """Return what a caller sends."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
    return {
        "headers": {"Authorization": f"Bearer {api_key(CUSTOMER)}"},
        "json": body | {"stream": stream},
    }


def url(cluster: Cluster) -> str:
    """Return the address for completions."""
    return f"{cluster.entry_urls[0]}{COMPLETIONS}"


async def metric(cluster: Cluster, name: str, labels: str) -> float:
    """Return the sum of a metric over the daemons."""
    total = 0.0
    for daemon in cluster.daemons.values():
        async with cluster.session.get(f"{daemon.internal_url}/metrics") as answer:
            text = await answer.text()
        for line in text.splitlines():
            if line.startswith(f"{name}{{") and labels in line:
                total += float(line.rpartition(" ")[2])
    return total


class TestOwn:
    """Answers to many requests at once."""

    async def test_not_crossed(self, cluster: Cluster) -> None:
        """Each caller gets the answer to its own prompt, streamed or whole."""

        async def whole(number: int) -> None:
            sent = asked(f"prompt {number} of many")
            async with cluster.session.post(url(cluster), **sent) as answer:
                text = (await answer.json())["choices"][0]["text"]
            assert text == alone[number]

        alone = {}
        for number in range(12):
            sent = asked(f"prompt {number} of many")
            async with cluster.session.post(url(cluster), **sent) as answer:
                alone[number] = (await answer.json())["choices"][0]["text"]
        assert len(set(alone.values())) > 1
        await asyncio.gather(*(whole(number % 12) for number in range(48)))


class TestCut:
    """The engine ends an answer before it is whole."""

    async def test_stream(self, cluster: Cluster) -> None:
        """A cut stream ends in an error and never in the end mark."""
        await cluster.upstream_fault("engine-1", cut_after_chunks=3)
        received = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async with cluster.session.post(
                url(cluster), **asked("seeds", max_tokens=40, stream=True)
            ) as answer:
                async for chunk in answer.content.iter_any():
                    received += chunk
        assert END not in received
        last = received.strip().rpartition(b"data: ")[2]
        assert json.loads(last)["error"]["code"] == "answer_cut"

    async def test_killed(self, cluster: Cluster) -> None:
        """An engine's death while it streams is no clean end either."""
        received = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async with cluster.session.post(
                url(cluster), **asked("seeds", max_tokens=400, stream=True)
            ) as answer:
                async for chunk in answer.content.iter_any():
                    received += chunk
                    if cluster.processes["engine-1"].is_running:
                        await cluster.processes["engine-1"].kill()
        assert END not in received

    async def test_sidecar_killed(self, cluster: Cluster) -> None:
        """A sidecar's death while it relays is no clean end either."""
        received = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async with cluster.session.post(
                url(cluster), **asked("seeds", max_tokens=400, stream=True)
            ) as answer:
                async for chunk in answer.content.iter_any():
                    received += chunk
                    if cluster.processes["sidecar-engine-1"].is_running:
                        await cluster.processes["sidecar-engine-1"].kill()
        assert END not in received

    async def test_sidecar_frozen(self, cluster: Cluster) -> None:
        """A sidecar that freezes while it relays does not hold the caller."""
        received = b""
        sidecar = cluster.processes["sidecar-engine-1"]
        with pytest.raises(aiohttp.ClientPayloadError):
            async with cluster.session.post(
                url(cluster), **asked("seeds", max_tokens=400, stream=True)
            ) as answer:
                async for chunk in answer.content.iter_any():
                    received += chunk
                    sidecar.pause()
        sidecar.resume()
        assert END not in received


class TestCallerGone:
    """The caller closes its connection."""

    @pytest.mark.parametrize("stream", [True, False])
    async def test_cancelled(self, cluster: Cluster, stream: bool) -> None:
        """The engine stops, and the prompt counts as computed in vain."""
        sent = asked("seeds of kale", max_tokens=1200, stream=stream)
        asking = asyncio.create_task(read(cluster, sent))
        while not (await cluster.upstream_stats("engine-1"))["executions"]:
            await asyncio.sleep(POLL_S)
        asking.cancel()
        while not (await cluster.upstream_stats("engine-1"))["cancelled"]:
            await asyncio.sleep(POLL_S)
        name = "skylarkdoor_wasted_prefill_tokens_total"
        while not await metric(cluster, name, 'reason="caller_gone"'):
            await asyncio.sleep(POLL_S)
        assert await metric(cluster, name, "") == 3

    async def test_room_given_back(self, cluster: Cluster) -> None:
        """Nothing runs any more once every caller has gone."""
        sent = asked("seeds", max_tokens=1200, stream=True)
        asking = [asyncio.create_task(read(cluster, sent)) for _ in range(8)]
        while len((await cluster.upstream_stats("engine-1"))["executions"]) < 8:
            await asyncio.sleep(POLL_S)
        for task in asking:
            task.cancel()
        while (await cluster.status("sidecar-engine-1"))["scheduler"]["running"]:
            await asyncio.sleep(POLL_S)


class TestKeyed:
    """Requests that may be repeated, sent again under their key."""

    async def test_joined(self, cluster: Cluster) -> None:
        """Resends get the one run's answer, while it runs and for a while after."""
        sent = asked("seeds", max_tokens=100)
        sent["headers"]["Idempotency-Key"] = "key-1"
        together = await asyncio.gather(*(read(cluster, sent) for _ in range(4)))
        later = await read(cluster, sent)
        assert set(together) == {later}
        assert len((await cluster.upstream_stats("engine-1"))["executions"]) == 1

    async def test_first_caller_gone(self, cluster: Cluster) -> None:
        """A resend is not left without an answer when the first caller goes."""
        sent = asked("seeds", max_tokens=400)
        sent["headers"]["Idempotency-Key"] = "key-1"
        first = asyncio.create_task(read(cluster, sent))
        while not (await cluster.upstream_stats("engine-1"))["executions"]:
            await asyncio.sleep(POLL_S)
        first.cancel()
        await asyncio.wait({first})
        while b"choices" not in await read(cluster, sent):
            pass


class TestSlowCaller:
    """A caller that reads slowly."""

    async def test_whole(self, cluster: Cluster) -> None:
        """It gets the whole stream though the sidecar ended long before."""
        sent = asked("seeds", max_tokens=100, stream=True)
        async with aiohttp.ClientSession(read_bufsize=256) as session:
            async with session.post(url(cluster), **sent) as answer:
                while not (await cluster.upstream_stats("engine-1"))["completed"]:
                    await asyncio.sleep(POLL_S)
                received = await answer.read()
        assert received.rstrip().endswith(END)


class TestGoodput:
    """What counts as goodput."""

    async def test_counted(self, cluster: Cluster) -> None:
        """Whole answers count with their tokens, cut ones do not."""
        for stream in (False, True):
            await read(cluster, asked("two words", max_tokens=8, stream=stream))
        await cluster.upstream_fault("engine-1", cut_after_chunks=3)
        with pytest.raises(aiohttp.ClientPayloadError):
            await read(cluster, asked("two words", max_tokens=40, stream=True))
        requests = "skylarkdoor_goodput_requests_total"
        assert await metric(cluster, requests, 'tier="1"') == 2
        tokens = "skylarkdoor_goodput_tokens_total"
        assert await metric(cluster, tokens, 'tier="1"') == 2 * (2 + 8)


async def read(cluster: Cluster, sent: dict[str, Any]) -> bytes:
    """Read a whole answer."""
    async with cluster.session.post(url(cluster), **sent) as answer:
        return await answer.read()
