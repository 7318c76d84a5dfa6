"""A caller gets its own complete response, or sees that it was truncated."""

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
STREAM_END = b"data: [DONE]"
POLL_S = 0.02


def one_engine() -> Deployment:
    """Return a deployment of one entry and one engine."""
    spec = EngineSpec("engine-1", "teika", "assistant", MODEL, 6000, 120, 32)
    demo = small_demo()
    return demo._replace(upstreams=(spec,), entries=demo.entries[:1])


@pytest.fixture
async def cluster(start_cluster: StartCluster) -> Cluster:
    """Start one entry and one engine."""
    return await start_cluster(one_engine())


def completion_request(
    prompt: str, *, max_tokens: int = 8, stream: bool = False
) -> dict[str, Any]:
    """Return the headers and the body of a completion request."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
    return {
        "headers": {"Authorization": f"Bearer {api_key(CUSTOMER)}"},
        "json": body | {"stream": stream},
    }


def completions_url(cluster: Cluster) -> str:
    """Return the URL of the completions endpoint."""
    return f"{cluster.entry_urls[0]}{COMPLETIONS}"


async def metric(cluster: Cluster, name: str, labels: str) -> float:
    """Return the sum of a metric's matching samples over all daemons."""
    total = 0.0
    for daemon in cluster.daemons.values():
        async with cluster.session.get(f"{daemon.internal_url}/metrics") as response:
            text = await response.text()
        for line in text.splitlines():
            if line.startswith(f"{name}{{") and labels in line:
                total += float(line.rpartition(" ")[2])
    return total


class TestConcurrentRequests:
    """Responses to many concurrent requests."""

    async def test_not_crossed(self, cluster: Cluster) -> None:
        """Each caller gets the response to its own prompt."""

        async def check(number: int) -> None:
            request = completion_request(f"prompt {number} of many")
            async with cluster.session.post(
                completions_url(cluster), **request
            ) as response:
                text = (await response.json())["choices"][0]["text"]
            assert text == expected[number]

        expected = {}
        for number in range(12):
            request = completion_request(f"prompt {number} of many")
            async with cluster.session.post(
                completions_url(cluster), **request
            ) as response:
                expected[number] = (await response.json())["choices"][0]["text"]
        assert len(set(expected.values())) > 1
        await asyncio.gather(*(check(number % 12) for number in range(48)))


class TestTruncated:
    """A response ends before it is complete."""

    async def test_stream(self, cluster: Cluster) -> None:
        """A truncated stream ends in an error event, not in the end marker."""
        await cluster.upstream_fault("engine-1", cut_after_chunks=3)
        received = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async with cluster.session.post(
                completions_url(cluster),
                **completion_request("seeds", max_tokens=40, stream=True),
            ) as response:
                async for chunk in response.content.iter_any():
                    received += chunk
        assert STREAM_END not in received
        last = received.strip().rpartition(b"data: ")[2]
        assert json.loads(last)["error"]["code"] == "answer_cut"

    async def test_engine_killed(self, cluster: Cluster) -> None:
        """A stream whose engine is killed does not look complete."""
        received = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async with cluster.session.post(
                completions_url(cluster),
                **completion_request("seeds", max_tokens=400, stream=True),
            ) as response:
                async for chunk in response.content.iter_any():
                    received += chunk
                    if cluster.processes["engine-1"].is_running:
                        await cluster.processes["engine-1"].kill()
        assert STREAM_END not in received

    async def test_sidecar_killed(self, cluster: Cluster) -> None:
        """A stream whose sidecar is killed does not look complete."""
        received = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async with cluster.session.post(
                completions_url(cluster),
                **completion_request("seeds", max_tokens=400, stream=True),
            ) as response:
                async for chunk in response.content.iter_any():
                    received += chunk
                    if cluster.processes["sidecar-engine-1"].is_running:
                        await cluster.processes["sidecar-engine-1"].kill()
        assert STREAM_END not in received

    async def test_sidecar_suspended(self, cluster: Cluster) -> None:
        """A sidecar suspended during a stream does not keep the caller waiting."""
        received = b""
        sidecar = cluster.processes["sidecar-engine-1"]
        with pytest.raises(aiohttp.ClientPayloadError):
            async with cluster.session.post(
                completions_url(cluster),
                **completion_request("seeds", max_tokens=400, stream=True),
            ) as response:
                async for chunk in response.content.iter_any():
                    received += chunk
                    sidecar.pause()
        sidecar.resume()
        assert STREAM_END not in received


class TestResumption:
    """Callers that ask to go on with a stream."""

    # Guards against a stream joined from two versions of the engine's software: the
    # product's interface resumes no stream, so there is nothing to join.
    async def test_begun_anew(self, cluster: Cluster) -> None:
        """The whole stream is sent, from its first event on."""
        request = completion_request("seeds of kale", stream=True)
        whole = await read(cluster, request)
        resume = {"Last-Event-ID": "3", "Resumes": "first"}
        request["headers"] |= resume
        again = await read(cluster, request)
        assert len(texts(whole)) > 1
        assert texts(again) == texts(whole)
        assert again.rstrip().endswith(STREAM_END)


class TestCallerDisconnects:
    """The caller closes its connection before the response is complete."""

    @pytest.mark.parametrize("stream", [True, False])
    async def test_cancelled(self, cluster: Cluster, stream: bool) -> None:
        """The engine stops, and the prompt tokens count as wasted prefill."""
        request = completion_request("seeds of kale", max_tokens=1200, stream=stream)
        reading = asyncio.create_task(read(cluster, request))
        while not (await cluster.upstream_stats("engine-1"))["executions"]:
            await asyncio.sleep(POLL_S)
        reading.cancel()
        while not (await cluster.upstream_stats("engine-1"))["cancelled"]:
            await asyncio.sleep(POLL_S)
        name = "skylarkdoor_wasted_prefill_tokens_total"
        while not await metric(cluster, name, 'reason="caller_gone"'):
            await asyncio.sleep(POLL_S)
        assert await metric(cluster, name, "") == 3

    async def test_slots_released(self, cluster: Cluster) -> None:
        """Nothing is left running once every caller has disconnected."""
        request = completion_request("seeds", max_tokens=1200, stream=True)
        tasks = [asyncio.create_task(read(cluster, request)) for _ in range(8)]
        while len((await cluster.upstream_stats("engine-1"))["executions"]) < 8:
            await asyncio.sleep(POLL_S)
        for task in tasks:
            task.cancel()
        while (await cluster.status("sidecar-engine-1"))["scheduler"]["running"]:
            await asyncio.sleep(POLL_S)


class TestIdempotencyKey:
    """Idempotent requests that are resent under the same key."""

    async def test_resends(self, cluster: Cluster) -> None:
        """Resends during and shortly after the run get the response of that run."""
        request = completion_request("seeds", max_tokens=100)
        request["headers"]["Idempotency-Key"] = "key-1"
        together = await asyncio.gather(*(read(cluster, request) for _ in range(4)))
        later = await read(cluster, request)
        assert set(together) == {later}
        assert len((await cluster.upstream_stats("engine-1"))["executions"]) == 1

    async def test_first_caller_disconnects(self, cluster: Cluster) -> None:
        """A resend gets a response although the first caller has disconnected."""
        request = completion_request("seeds", max_tokens=400)
        request["headers"]["Idempotency-Key"] = "key-1"
        first = asyncio.create_task(read(cluster, request))
        while not (await cluster.upstream_stats("engine-1"))["executions"]:
            await asyncio.sleep(POLL_S)
        first.cancel()
        await asyncio.wait({first})
        while b"choices" not in await read(cluster, request):
            pass


class TestSlowCaller:
    """A caller that reads slowly."""

    async def test_complete(self, cluster: Cluster) -> None:
        """The caller gets the complete stream though the engine ended long before."""
        request = completion_request("seeds", max_tokens=100, stream=True)
        async with aiohttp.ClientSession(read_bufsize=256) as session:
            async with session.post(completions_url(cluster), **request) as response:
                while not (await cluster.upstream_stats("engine-1"))["completed"]:
                    await asyncio.sleep(POLL_S)
                received = await response.read()
        assert received.rstrip().endswith(STREAM_END)


class TestGoodput:
    """The goodput metrics."""

    async def test_counted(self, cluster: Cluster) -> None:
        """Complete responses count with their tokens; truncated ones do not."""
        for stream in (False, True):
            await read(
                cluster, completion_request("two words", max_tokens=8, stream=stream)
            )
        await cluster.upstream_fault("engine-1", cut_after_chunks=3)
        with pytest.raises(aiohttp.ClientPayloadError):
            await read(
                cluster, completion_request("two words", max_tokens=40, stream=True)
            )
        requests = "skylarkdoor_goodput_requests_total"
        assert await metric(cluster, requests, 'tier="1"') == 2
        tokens = "skylarkdoor_goodput_tokens_total"
        assert await metric(cluster, tokens, 'tier="1"') == 2 * (2 + 8)


async def read(cluster: Cluster, request: dict[str, Any]) -> bytes:
    """Send a request and return the body of the complete response."""
    async with cluster.session.post(completions_url(cluster), **request) as response:
        return await response.read()


def texts(stream: bytes) -> list[str]:
    """Return the texts of a stream's events, without its end."""
    data = [
        line.removeprefix(b"data: ")
        for line in stream.splitlines()
        if line.startswith(b"data: {")
    ]
    return [json.loads(event)["choices"][0]["text"] for event in data]
