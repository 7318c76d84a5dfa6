"""A poison request, which crashes engines, crashes at most two of them."""

import asyncio
import json
from typing import Any, NamedTuple

import aiohttp
import pytest
from aiohttp import web

from skylarkdoor.clients import EtcdTable
from skylarkdoor_bench import Cluster, Deployment, EngineSpec, api_key, small_demo
from skylarkdoor_bench.testing import StartCluster

CUSTOMER = "teika-garden"
MODEL = "garden-7b"
POISON = "wormwood"
LONG_TOKENS = 400
POLL_S = 0.02
EXIT_TIMEOUT_S = 30.0


class Response(NamedTuple):
    """A complete response."""

    status: int
    body: Any

    @property
    def code(self) -> str:
        """The error code, or an empty string without an error."""
        error: dict[str, str] = self.body.get("error", {})
        return error.get("code", "")


def deployment(count: int) -> Deployment:
    """Return a deployment of two entries and engines that the poison crashes."""
    specs = [
        EngineSpec(f"engine-{number}", "teika", "assistant", MODEL, 6000, 120, 16)
        for number in range(1, count + 1)
    ]
    return small_demo()._replace(upstreams=tuple(specs), crash_on=POISON)


async def complete(
    cluster: Cluster, prompt: str, *, entry: int = 0, max_tokens: int = 4, key: str = ""
) -> Response:
    """Request a completion."""
    headers = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
    if key:
        headers["Idempotency-Key"] = key
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
    url = f"{cluster.entry_urls[entry]}/v1/completions"
    async with cluster.session.post(url, json=body, headers=headers) as response:
        return Response(response.status, json.loads(await response.text()))


async def complete_stream(cluster: Cluster, prompt: str, *, entry: int = 0) -> str:
    """Request a stream; return how it ended: `whole`, `cut` or an error code."""
    headers = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 4, "stream": True}
    url = f"{cluster.entry_urls[entry]}/v1/completions"
    async with cluster.session.post(url, json=body, headers=headers) as response:
        try:
            text = await response.text()
        except aiohttp.ClientPayloadError:
            return "cut"
    if response.status == web.HTTPOk.status_code:
        return "whole"
    return str(json.loads(text)["error"]["code"])


def engine_names(cluster: Cluster) -> list[str]:
    """Return the engines' names."""
    return [spec.name for spec in cluster.deployment.upstreams]


def ended_engines(cluster: Cluster) -> list[str]:
    """Return the names of the engines whose process has ended."""
    return [
        name for name in engine_names(cluster) if not cluster.processes[name].is_running
    ]


async def restart_crashed(cluster: Cluster, crashes: int) -> None:
    """Wait until exactly this many engines have crashed, and restart them.

    A connection to a crashing engine closes before its process has ended. Further
    crashes are expected.
    """
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        while len(ended_engines(cluster)) < crashes:
            await asyncio.sleep(POLL_S)
    crashed = ended_engines(cluster)
    assert len(crashed) == crashes
    for name in crashed:
        await cluster.restart(name)
        while not (await cluster.status(f"sidecar-{name}"))["scheduler"]["upstream_up"]:
            await asyncio.sleep(POLL_S)
    for name in engine_names(cluster):
        cluster.processes[name].is_expected_to_run = False


async def start_engines(start_cluster: StartCluster, count: int) -> Cluster:
    """Start engines whose crashes the test expects."""
    cluster = await start_cluster(deployment(count))
    await restart_crashed(cluster, 0)
    return cluster


class TestPoison:
    """A request that crashes each engine that runs it."""

    @pytest.mark.parametrize("key", ["", "key-1"])
    async def test_two_crashes(self, start_cluster: StartCluster, key: str) -> None:
        """After two crashes it is refused at every entry, also once engines restart."""
        cluster = await start_engines(start_cluster, 3)
        for entry in (0, 1):
            response = await complete(cluster, POISON, entry=entry, key=key)
            assert (response.status, response.code) == (502, "outcome_unknown")
        for entry in (0, 1, 0, 1):
            response = await complete(cluster, POISON, entry=entry, key=key)
            assert (response.status, response.code) == (422, "quarantined")
            assert response.body["error"]["not_run"]
        await restart_crashed(cluster, 2)
        assert (await complete(cluster, POISON)).code == "quarantined"
        assert (await complete(cluster, "seeds")).status == 200
        await restart_crashed(cluster, 0)

    async def test_streams(self, start_cluster: StartCluster) -> None:
        """A crash during a stream counts like one during a plain response."""
        cluster = await start_engines(start_cluster, 3)
        ends = [await complete_stream(cluster, POISON) for _ in range(4)]
        assert set(ends[:2]) <= {"cut", "outcome_unknown"}
        assert ends[2:] == ["quarantined", "quarantined"]
        await restart_crashed(cluster, 2)

    async def test_restarted(self, start_cluster: StartCluster) -> None:
        """Crash records in the table outlive a restart of all sidecars and entries."""
        cluster = await start_engines(start_cluster, 2)
        for _ in range(2):
            assert (await complete(cluster, POISON)).code == "outcome_unknown"
        while len(await suspect_crashes(cluster)) < 2:
            await asyncio.sleep(POLL_S)
        for name in list(cluster.daemons):
            await cluster.processes[name].kill()
        for name in engine_names(cluster):
            await cluster.restart(name)
        for name in cluster.daemons:
            await cluster.restart(name)
        await cluster.wait_connected()
        response = await complete(cluster, POISON)
        assert response.code == "quarantined"
        running = [cluster.processes[name].is_running for name in engine_names(cluster)]
        assert all(running)

    async def test_store_down(self, start_cluster: StartCluster) -> None:
        """While the table is unavailable, a suspect is refused as not run."""
        cluster = await start_engines(start_cluster, 2)
        assert (await complete(cluster, POISON)).code == "outcome_unknown"
        await cluster.platform.fault("table", "down")
        refused = await complete(cluster, POISON)
        assert (refused.status, refused.code) == (503, "store_down")
        assert refused.body["error"]["not_run"]
        assert (await complete(cluster, "seeds")).status == 200
        await restart_crashed(cluster, 1)

    async def test_same_batch(self, start_cluster: StartCluster) -> None:
        """A request from the same batch is rerun alone, and then treated normally."""
        cluster = await start_engines(start_cluster, 1)
        neighbour = asyncio.create_task(
            complete(cluster, "seeds", max_tokens=LONG_TOKENS)
        )
        while not await received_count(cluster):
            await asyncio.sleep(POLL_S)
        assert (await complete(cluster, POISON)).code == "outcome_unknown"
        assert (await neighbour).code == "outcome_unknown"
        await restart_crashed(cluster, 1)
        resent = await complete(cluster, "seeds", max_tokens=LONG_TOKENS)
        assert resent.status == 200
        assert (await complete(cluster, POISON)).code == "outcome_unknown"
        await restart_crashed(cluster, 1)
        assert (await complete(cluster, POISON)).code == "quarantined"
        assert (await complete(cluster, "seeds", max_tokens=LONG_TOKENS)).status == 200


async def received_count(cluster: Cluster) -> int:
    """Return how many requests the first engine has received."""
    stats = await cluster.upstream_stats(engine_names(cluster)[0])
    return len(stats["executions"])


async def suspect_crashes(cluster: Cluster) -> list[str]:
    """Return the crashes that the table records for the only suspect."""
    table = EtcdTable(cluster.session, [cluster.platform.url])
    rows = (await table.list("suspects/")).rows
    return list(json.loads(rows[0].value)["crashes"]) if rows else []
