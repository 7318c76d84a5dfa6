"""Drain of entries and sidecars: no new requests, and none in progress is cut."""

import asyncio

import aiohttp
import pytest

from skylarkdoor.settings import Limits
from skylarkdoor_bench import (
    Caller,
    CutStreamError,
    Operator,
    api_key,
    small_demo,
)

MESSAGES = [{"role": "user", "content": "Describe the swap of bean seeds."}]
LONG_TOKENS = 300
SIDECARS = ("sidecar-engine-1", "sidecar-engine-2")


def caller(cluster, entry: int = 0) -> Caller:
    """Return a caller that uses one of the entries."""
    url = cluster.entry_urls[entry]
    return Caller(cluster.session, url, key=api_key("teika-garden"))


async def running_count(cluster, sidecar: str) -> int:
    """Return how many requests of a sidecar are running at its upstream."""
    return (await cluster.status(sidecar))["scheduler"]["running"]


async def start_stream(cluster, *, entry: int = 0) -> tuple[asyncio.Task, str]:
    """Start a long stream; return its task and the sidecar that serves it."""
    model = cluster.deployment.fleet.pools["assistant"].models[0]
    before = {name: await running_count(cluster, name) for name in SIDECARS}
    chat = caller(cluster, entry).stream_chat(model, MESSAGES, max_tokens=LONG_TOKENS)
    task = asyncio.create_task(chat)
    async with asyncio.timeout(30):
        while not task.done():
            for name in SIDECARS:
                if await running_count(cluster, name) > before[name]:
                    return task, name
            await asyncio.sleep(0.01)
    raise AssertionError(f"no sidecar ran the stream: {task.result()}")


async def wait_not_ready(cluster, name: str) -> None:
    """Wait until an instance reports that it accepts no new requests."""
    async with asyncio.timeout(30):
        while (await cluster.status(name))["ready"]:
            await asyncio.sleep(0.02)


async def send_short_request(cluster, entry: int = 0) -> int:
    """Send one short request and return its status."""
    model = cluster.deployment.fleet.pools["assistant"].models[0]
    chat = caller(cluster, entry).stream_chat(model, MESSAGES, max_tokens=4)
    return (await chat).status


class TestSidecar:
    """A draining sidecar."""

    async def test_shutdown(self, start_cluster):
        """A stream in progress at SIGTERM completes; new requests go elsewhere."""
        cluster = await start_cluster(small_demo())
        stream, sidecar = await start_stream(cluster)
        process = cluster.processes[sidecar]
        process.send_sigterm()
        await wait_not_ready(cluster, sidecar)
        assert [await send_short_request(cluster) for _ in range(6)] == [200] * 6
        assert await running_count(cluster, sidecar) == 1
        response = await stream
        assert response.status == 200
        assert await process.wait_exited() == 0

    async def test_operator(self, start_cluster):
        """A drain by an operator stops new requests; the process stays up, idle."""
        cluster = await start_cluster(small_demo())
        stream, sidecar = await start_stream(cluster)
        response = await Operator(cluster, "entry-2").drain(sidecar)
        assert response.status == 200, response.body
        await wait_not_ready(cluster, sidecar)
        assert [await send_short_request(cluster) for _ in range(6)] == [200] * 6
        assert (await stream).status == 200
        assert await running_count(cluster, sidecar) == 0

    async def test_instance_list(self, start_cluster):
        """The state in the instance list alone starts and ends a drain."""
        cluster = await start_cluster(small_demo())
        stream, sidecar = await start_stream(cluster)
        await cluster.platform.set_state(sidecar, "leaving")
        await wait_not_ready(cluster, sidecar)
        assert [await send_short_request(cluster) for _ in range(6)] == [200] * 6
        assert (await stream).status == 200
        assert await running_count(cluster, sidecar) == 0
        await cluster.platform.set_state(sidecar, "live")
        await cluster.processes[sidecar].wait_ready(cluster.session)

    async def test_drain_timeout(self, start_cluster):
        """The drain time-out ends requests still running and is logged."""
        cluster = await start_cluster(small_demo())
        await Operator(cluster, "entry-1").drain(SIDECARS[1])
        sidecar = SIDECARS[0]
        process = cluster.processes[sidecar]
        await process.terminate()
        await cluster.restart_at_new_addresses(sidecar, Limits(drain_timeout_s=0.2))
        await cluster.wait_connected()
        stream, _ = await start_stream(cluster)
        process.send_sigterm()
        await process.wait_log("drain_timed_out")
        await process.wait_exited()
        with pytest.raises((CutStreamError, aiohttp.ClientError)):
            await stream

    async def test_replaced(self, start_cluster):
        """A killed sidecar restarted under its name at a new address serves again."""
        cluster = await start_cluster(small_demo())
        sidecar = SIDECARS[0]
        await Operator(cluster, "entry-1").drain(SIDECARS[1])
        await cluster.processes[sidecar].kill()
        await cluster.restart_at_new_addresses(sidecar)
        await cluster.wait_connected()
        assert await send_short_request(cluster) == 200


class TestEntry:
    """A draining entry."""

    async def test_shutdown(self, start_cluster):
        """A stream in progress at SIGTERM completes; /readyz reports the drain."""
        cluster = await start_cluster(small_demo())
        stream, _ = await start_stream(cluster)
        process = cluster.processes["entry-1"]
        process.send_sigterm()
        await wait_not_ready(cluster, "entry-1")
        for url in (cluster.entry_urls[0], cluster.daemons["entry-1"].internal_url):
            async with cluster.session.get(f"{url}/readyz") as response:
                assert response.status == 503
        async with asyncio.timeout(30):
            while await send_short_request(cluster) == 200:
                await asyncio.sleep(0.1)
        assert not stream.done()
        assert (await stream).status == 200
        assert await process.wait_exited() == 0

    async def test_instance_list(self, start_cluster):
        """The state in the instance list alone makes an entry refuse requests."""
        cluster = await start_cluster(small_demo())
        stream, _ = await start_stream(cluster)
        await cluster.platform.set_state("entry-1", "leaving")
        await wait_not_ready(cluster, "entry-1")
        async with asyncio.timeout(30):
            while await send_short_request(cluster) == 200:
                await asyncio.sleep(0.1)
        assert (await stream).status == 200
        assert await send_short_request(cluster, 1) == 200

    async def test_suspended(self, start_cluster):
        """Sidecars disconnect a suspended entry, which reconnects once resumed."""
        cluster = await start_cluster(small_demo())
        process = cluster.processes["entry-1"]
        process.pause()
        for sidecar in SIDECARS:
            await cluster.processes[sidecar].wait_log("peer_lost")
        assert await send_short_request(cluster, 1) == 200
        process.resume()
        for sidecar in SIDECARS:
            await cluster.processes[sidecar].wait_log("peer_connected", count=3)
        await cluster.wait_connected()
        assert await send_short_request(cluster) == 200
