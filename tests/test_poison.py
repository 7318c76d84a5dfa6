"""A request that crashes engines crashes at most two of them."""

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


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    body: Any

    @property
    def code(self) -> str:
        """The error's code, empty for none."""
        error: dict[str, str] = self.body.get("error", {})
        return error.get("code", "")


def engines(count: int) -> Deployment:
    """Return two entries and some engines that the poison crashes."""
    specs = [
        EngineSpec(f"engine-{number}", "teika", "assistant", MODEL, 6000, 120, 16)
        for number in range(1, count + 1)
    ]
    return small_demo()._replace(upstreams=tuple(specs), crash_on=POISON)


async def ask(
    cluster: Cluster, prompt: str, *, entry: int = 0, max_tokens: int = 4, key: str = ""
) -> Answer:
    """Ask for a completion."""
    sent = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
    if key:
        sent["Idempotency-Key"] = key
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
    url = f"{cluster.entry_urls[entry]}/v1/completions"
    async with cluster.session.post(url, json=body, headers=sent) as answer:
        return Answer(answer.status, json.loads(await answer.text()))


async def ask_stream(cluster: Cluster, prompt: str, *, entry: int = 0) -> str:
    """Ask for a stream; return how it ended: `whole`, `cut` or an error's code."""
    sent = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 4, "stream": True}
    url = f"{cluster.entry_urls[entry]}/v1/completions"
    async with cluster.session.post(url, json=body, headers=sent) as answer:
        try:
            text = await answer.text()
        except aiohttp.ClientPayloadError:
            return "cut"
    if answer.status == web.HTTPOk.status_code:
        return "whole"
    return str(json.loads(text)["error"]["code"])


def names(cluster: Cluster) -> list[str]:
    """Return the engines' names."""
    return [spec.name for spec in cluster.deployment.upstreams]


def ended(cluster: Cluster) -> list[str]:
    """Return the names of the engines that have ended."""
    return [name for name in names(cluster) if not cluster.processes[name].is_running]


async def revive(cluster: Cluster, crashes: int) -> None:
    """Start the engines that crashed again; there are exactly so many.

    The end of a connection to an engine is seen before the end of its process.
    """
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        while len(ended(cluster)) < crashes:
            await asyncio.sleep(POLL_S)
    dead = ended(cluster)
    assert len(dead) == crashes
    for name in dead:
        await cluster.restart(name)
        while not (await cluster.status(f"sidecar-{name}"))["scheduler"]["upstream_up"]:
            await asyncio.sleep(POLL_S)
    for name in names(cluster):
        cluster.processes[name].is_expected_to_run = False


async def started(start_cluster: StartCluster, count: int) -> Cluster:
    """Start engines whose crashes the test expects."""
    cluster = await start_cluster(engines(count))
    await revive(cluster, 0)
    return cluster


class TestPoison:
    """A request that crashes each engine that runs it."""

    @pytest.mark.parametrize("key", ["", "key-1"])
    async def test_two_crashes(self, start_cluster: StartCluster, key: str) -> None:
        """After two crashes it is refused everywhere, also with engines back."""
        cluster = await started(start_cluster, 3)
        for entry in (0, 1):
            answer = await ask(cluster, POISON, entry=entry, key=key)
            assert (answer.status, answer.code) == (502, "outcome_unknown")
        for entry in (0, 1, 0, 1):
            answer = await ask(cluster, POISON, entry=entry, key=key)
            assert (answer.status, answer.code) == (422, "quarantined")
            assert answer.body["error"]["not_run"]
        await revive(cluster, 2)
        assert (await ask(cluster, POISON)).code == "quarantined"
        assert (await ask(cluster, "seeds")).status == 200
        await revive(cluster, 0)

    async def test_streams(self, start_cluster: StartCluster) -> None:
        """A poisonous stream is counted like a whole answer."""
        cluster = await started(start_cluster, 3)
        ends = [await ask_stream(cluster, POISON) for _ in range(4)]
        assert set(ends[:2]) <= {"cut", "outcome_unknown"}
        assert ends[2:] == ["quarantined", "quarantined"]
        await revive(cluster, 2)

    async def test_sidecars_replaced(self, start_cluster: StartCluster) -> None:
        """The table keeps what replaced sidecars and entries knew."""
        cluster = await started(start_cluster, 2)
        for _ in range(2):
            assert (await ask(cluster, POISON)).code == "outcome_unknown"
        while len(await suspect_crashes(cluster)) < 2:
            await asyncio.sleep(POLL_S)
        for name in list(cluster.daemons):
            await cluster.processes[name].kill()
        for name in names(cluster):
            await cluster.restart(name)
        for name in cluster.daemons:
            await cluster.restart(name)
        await cluster.wait_connected()
        answer = await ask(cluster, POISON)
        assert answer.code == "quarantined"
        running = [cluster.processes[name].is_running for name in names(cluster)]
        assert all(running)

    async def test_store_down(self, start_cluster: StartCluster) -> None:
        """Without the table's agreement a suspect is refused as not run."""
        cluster = await started(start_cluster, 2)
        assert (await ask(cluster, POISON)).code == "outcome_unknown"
        await cluster.platform.fault("table", "down")
        refused = await ask(cluster, POISON)
        assert (refused.status, refused.code) == (503, "store_down")
        assert refused.body["error"]["not_run"]
        assert (await ask(cluster, "seeds")).status == 200
        await revive(cluster, 1)

    async def test_neighbour(self, start_cluster: StartCluster) -> None:
        """A request in the same batch runs alone, and then as any other."""
        cluster = await started(start_cluster, 1)
        neighbour = asyncio.create_task(ask(cluster, "seeds", max_tokens=LONG_TOKENS))
        while not await running(cluster):
            await asyncio.sleep(POLL_S)
        assert (await ask(cluster, POISON)).code == "outcome_unknown"
        assert (await neighbour).code == "outcome_unknown"
        await revive(cluster, 1)
        again = await ask(cluster, "seeds", max_tokens=LONG_TOKENS)
        assert again.status == 200
        assert (await ask(cluster, POISON)).code == "outcome_unknown"
        await revive(cluster, 1)
        assert (await ask(cluster, POISON)).code == "quarantined"
        assert (await ask(cluster, "seeds", max_tokens=LONG_TOKENS)).status == 200


async def running(cluster: Cluster) -> int:
    """Return how many requests the first engine has got."""
    stats = await cluster.upstream_stats(names(cluster)[0])
    return len(stats["executions"])


async def suspect_crashes(cluster: Cluster) -> list[str]:
    """Return the crashes that the table knows of the only suspect."""
    table = EtcdTable(cluster.session, [cluster.platform.url])
    rows = (await table.list("suspects/")).rows
    return list(json.loads(rows[0].value)["crashes"]) if rows else []
