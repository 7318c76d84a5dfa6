"""Leaving: no new work after a moment, nothing in progress cut, at both roles."""

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
LONG = 300
ENGINES = ("sidecar-engine-1", "sidecar-engine-2")


def caller(cluster, entry: int = 0) -> Caller:
    """Return a caller of one entry."""
    url = cluster.entry_urls[entry]
    return Caller(cluster.session, url, key=api_key("teika-garden"))


async def running(cluster, sidecar: str) -> int:
    """Return how many requests a sidecar has in its upstream."""
    return (await cluster.status(sidecar))["scheduler"]["running"]


async def begin_stream(cluster, *, entry: int = 0) -> tuple[asyncio.Task, str]:
    """Start a long stream; return its task and the sidecar that serves it."""
    model = cluster.deployment.fleet.pools["assistant"].models[0]
    before = {name: await running(cluster, name) for name in ENGINES}
    chat = caller(cluster, entry).stream_chat(model, MESSAGES, max_tokens=LONG)
    task = asyncio.create_task(chat)
    async with asyncio.timeout(30):
        while not task.done():
            for name in ENGINES:
                if await running(cluster, name) > before[name]:
                    return task, name
            await asyncio.sleep(0.01)
    raise AssertionError(f"no sidecar ran the stream: {task.result()}")


async def leaving(cluster, name: str) -> None:
    """Wait until an instance shows that it takes no work."""
    async with asyncio.timeout(30):
        while (await cluster.status(name))["ready"]:
            await asyncio.sleep(0.02)


async def serves(cluster, entry: int = 0) -> int:
    """Send one short request; return the status."""
    model = cluster.deployment.fleet.pools["assistant"].models[0]
    chat = caller(cluster, entry).stream_chat(model, MESSAGES, max_tokens=4)
    return (await chat).status


class TestSidecar:
    """A sidecar that leaves."""

    async def test_shutdown(self, start_cluster):
        """A stream across SIGTERM is whole, and new work goes elsewhere."""
        cluster = await start_cluster(small_demo())
        stream, sidecar = await begin_stream(cluster)
        process = cluster.processes[sidecar]
        process.ask_to_end()
        await leaving(cluster, sidecar)
        assert [await serves(cluster) for _ in range(6)] == [200] * 6
        assert await running(cluster, sidecar) == 1
        answer = await stream
        assert answer.status == 200
        assert await process.wait_ended() == 0

    async def test_operator(self, start_cluster):
        """An operator's drain stops new work; the process stays and is idle."""
        cluster = await start_cluster(small_demo())
        stream, sidecar = await begin_stream(cluster)
        answer = await Operator(cluster, "entry-2").drain(sidecar)
        assert answer.status == 200, answer.body
        await leaving(cluster, sidecar)
        assert [await serves(cluster) for _ in range(6)] == [200] * 6
        assert (await stream).status == 200
        assert await running(cluster, sidecar) == 0

    async def test_list_alone(self, start_cluster):
        """What the list says is enough, and is taken back when the list takes it."""
        cluster = await start_cluster(small_demo())
        stream, sidecar = await begin_stream(cluster)
        await cluster.platform.set_state(sidecar, "leaving")
        await leaving(cluster, sidecar)
        assert [await serves(cluster) for _ in range(6)] == [200] * 6
        assert (await stream).status == 200
        assert await running(cluster, sidecar) == 0
        await cluster.platform.set_state(sidecar, "live")
        await cluster.processes[sidecar].wait_ready(cluster.session)

    async def test_bound(self, start_cluster):
        """The drain's bound ends what runs too long, and the log says so."""
        cluster = await start_cluster(small_demo())
        await Operator(cluster, "entry-1").drain(ENGINES[1])
        sidecar = ENGINES[0]
        process = cluster.processes[sidecar]
        await process.terminate()
        await cluster.move(sidecar, Limits(drain_timeout_s=0.2))
        await cluster.wait_connected()
        stream, _ = await begin_stream(cluster)
        process.ask_to_end()
        await process.wait_log("drain_timed_out")
        await process.wait_ended()
        with pytest.raises((CutStreamError, aiohttp.ClientError)):
            await stream

    async def test_replaced(self, start_cluster):
        """A killed sidecar comes back under its name at another address and serves."""
        cluster = await start_cluster(small_demo())
        sidecar = ENGINES[0]
        await Operator(cluster, "entry-1").drain(ENGINES[1])
        await cluster.processes[sidecar].kill()
        await cluster.move(sidecar)
        await cluster.wait_connected()
        assert await serves(cluster) == 200


class TestEntry:
    """An entry that leaves."""

    async def test_shutdown(self, start_cluster):
        """A stream across SIGTERM is whole; the balancer sees it in /readyz."""
        cluster = await start_cluster(small_demo())
        stream, _ = await begin_stream(cluster)
        process = cluster.processes["entry-1"]
        process.ask_to_end()
        await leaving(cluster, "entry-1")
        for url in (cluster.entry_urls[0], cluster.daemons["entry-1"].internal_url):
            async with cluster.session.get(f"{url}/readyz") as answer:
                assert answer.status == 503
        async with asyncio.timeout(30):
            while await serves(cluster) == 200:
                await asyncio.sleep(0.1)
        assert not stream.done()
        assert (await stream).status == 200
        assert await process.wait_ended() == 0

    async def test_list_alone(self, start_cluster):
        """The list's word alone makes an entry refuse work as not run."""
        cluster = await start_cluster(small_demo())
        stream, _ = await begin_stream(cluster)
        await cluster.platform.set_state("entry-1", "leaving")
        await leaving(cluster, "entry-1")
        async with asyncio.timeout(30):
            while await serves(cluster) == 200:
                await asyncio.sleep(0.1)
        assert (await stream).status == 200
        assert await serves(cluster, 1) == 200

    async def test_frozen(self, start_cluster):
        """A frozen entry is dropped by the sidecars and comes back when it wakes."""
        cluster = await start_cluster(small_demo())
        process = cluster.processes["entry-1"]
        process.pause()
        for sidecar in ENGINES:
            await cluster.processes[sidecar].wait_log("peer_lost")
        assert await serves(cluster, 1) == 200
        process.resume()
        for sidecar in ENGINES:
            await cluster.processes[sidecar].wait_log("peer_connected", count=3)
        await cluster.wait_connected()
        assert await serves(cluster) == 200
