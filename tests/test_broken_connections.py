"""Connections between entry and sidecar that are cut or half open."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import suppress
from enum import Enum
from typing import Any

import pytest

from skylarkdoor_bench import Cluster, Deployment, ServiceSpec, api_key, small_demo
from skylarkdoor_bench.testing import StartCluster

CUSTOMER = "teika-garden"
SERVICE = "registry-1"
SIDECAR = f"sidecar-{SERVICE}"
POLL_S = 0.02


class Fault(Enum):
    """What the proxy does to connections."""

    NONE = "passes everything on"
    CUT_REQUEST = "closes a connection as its request comes"
    CUT_ANSWER = "closes a connection as its answer comes"
    LOSE_REQUEST = "swallows requests and stays silent"
    LOSE_ANSWER = "swallows answers and stays silent"


class Proxy:
    """Passes the connections to a sidecar on, until it is told otherwise."""

    def __init__(self) -> None:
        self.fault = Fault.NONE
        self.connections = 0
        self.port = 0
        self.target = ("", 0)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        there = await asyncio.open_connection(*self.target)
        to = self.copy(reader, there[1], Fault.CUT_REQUEST, Fault.LOSE_REQUEST)
        back = self.copy(there[0], writer, Fault.CUT_ANSWER, Fault.LOSE_ANSWER)
        with suppress(ConnectionError):
            async with asyncio.TaskGroup() as group:
                group.create_task(to)
                group.create_task(back)
        writer.close()
        there[1].close()

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: Fault,
        lose: Fault,
    ) -> None:
        """Copy one direction."""
        while chunk := await reader.read(65536):
            if self.fault is cut:
                self.fault = Fault.NONE
                break
            if self.fault is not lose:
                writer.write(chunk)
        raise ConnectionResetError


@pytest.fixture
async def proxy() -> AsyncIterator[Proxy]:
    """Start a proxy."""
    proxy = Proxy()
    server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
    proxy.port = server.sockets[0].getsockname()[1]
    yield proxy
    server.close()


def one_registry() -> Deployment:
    """Return an entry and a registry service."""
    spec = ServiceSpec(SERVICE, "teika", "registry")
    demo = small_demo()
    return demo._replace(upstreams=(spec,), entries=demo.entries[:1])


@pytest.fixture
async def cluster(start_cluster: StartCluster, proxy: Proxy) -> Cluster:
    """Start an entry that reaches its sidecar's HTTP address by the proxy."""
    cluster = await start_cluster(one_registry())
    settings = cluster.daemons[SIDECAR].settings
    host, _, port = settings.listen.internal.rpartition(":")
    proxy.target = (host, int(port))
    listen = settings.listen._replace(internal=f"127.0.0.1:{proxy.port}")
    await cluster.platform.register("sidecar", settings._replace(listen=listen))
    while not proxy.connections:
        await hand_over(cluster, key="before")
        await asyncio.sleep(POLL_S)
    return cluster


async def hand_over(cluster: Cluster, *, key: str = "key-1") -> tuple[int, Any]:
    """Record a hand-over; returns status and document."""
    sent = {"Authorization": f"Bearer {api_key(CUSTOMER)}", "Idempotency-Key": key}
    url = f"{cluster.entry_urls[0]}/services/registry/handovers"
    async with cluster.session.post(url, data=b"{}", headers=sent) as answer:
        return answer.status, json.loads(await answer.text())


async def runs(cluster: Cluster) -> int:
    """Return how often the service ran the hand-over under test."""
    executions = (await cluster.upstream_stats(SERVICE))["executions"]
    return sum(run["idempotency_key"] == "key-1" for run in executions)


class TestCut:
    """A connection is closed."""

    async def test_before_body(self, cluster: Cluster, proxy: Proxy) -> None:
        """A body that never arrived was not run, and can't run any more."""
        proxy.fault = Fault.CUT_REQUEST
        status, said = await hand_over(cluster)
        assert (status, said["error"]["not_run"]) == (503, True)
        assert await runs(cluster) == 0
        assert (await hand_over(cluster))[0] == 200
        assert await runs(cluster) == 1

    async def test_after_body(self, cluster: Cluster, proxy: Proxy) -> None:
        """An answer that was lost is not fetched by a second run."""
        proxy.fault = Fault.CUT_ANSWER
        status, said = await hand_over(cluster)
        assert (status, said["error"]["code"]) == (502, "outcome_unknown")
        assert not said["error"]["not_run"]
        assert (await hand_over(cluster))[0] == 200
        assert await runs(cluster) == 1


class TestHalfOpen:
    """A connection stays open and nothing comes through it."""

    async def test_answer_lost(self, cluster: Cluster, proxy: Proxy) -> None:
        """The caller learns that the outcome is unknown, a resend the answer."""
        proxy.fault = Fault.LOSE_ANSWER
        status, said = await hand_over(cluster)
        assert (status, said["error"]["code"]) == (502, "outcome_unknown")
        proxy.fault = Fault.NONE
        assert (await hand_over(cluster))[0] == 200
        assert await runs(cluster) == 1

    async def test_request_lost(self, cluster: Cluster, proxy: Proxy) -> None:
        """A body of which nobody knows whether it arrived runs once at most."""
        proxy.fault = Fault.LOSE_REQUEST
        status, said = await hand_over(cluster)
        assert (status, said["error"]["code"]) == (502, "outcome_unknown")
        proxy.fault = Fault.NONE
        assert (await hand_over(cluster))[0] == 200
        assert await runs(cluster) == 1
