"""Connections between entry and sidecar that are closed early or half-open."""

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
    """A fault that the proxy injects."""

    NONE = "forwards everything"
    CUT_REQUEST = "closes a connection when a request arrives"
    CUT_RESPONSE = "closes a connection when a response arrives"
    DROP_REQUEST = "drops requests and keeps the connection open"
    DROP_RESPONSE = "drops responses and keeps the connection open"


class Proxy:
    """Forwards connections to a sidecar and injects the current fault."""

    def __init__(self) -> None:
        self.fault = Fault.NONE
        self.connections = 0
        self.port = 0
        self.target = ("", 0)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        self.connections += 1
        sidecar = await asyncio.open_connection(*self.target)
        requests = self.copy(reader, sidecar[1], Fault.CUT_REQUEST, Fault.DROP_REQUEST)
        responses = self.copy(
            sidecar[0], writer, Fault.CUT_RESPONSE, Fault.DROP_RESPONSE
        )
        with suppress(ConnectionError):
            async with asyncio.TaskGroup() as group:
                group.create_task(requests)
                group.create_task(responses)
        writer.close()
        sidecar[1].close()

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: Fault,
        drop: Fault,
    ) -> None:
        """Copy one direction, to which the faults `cut` and `drop` apply."""
        while chunk := await reader.read(65536):
            if self.fault is cut:
                self.fault = Fault.NONE
                break
            if self.fault is not drop:
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
    """Return a deployment of one entry and one registry service."""
    spec = ServiceSpec(SERVICE, "teika", "registry")
    demo = small_demo()
    return demo._replace(upstreams=(spec,), entries=demo.entries[:1])


@pytest.fixture
async def cluster(start_cluster: StartCluster, proxy: Proxy) -> Cluster:
    """Start an entry that reaches its sidecar's HTTP address through the proxy."""
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
    """Send a hand-over request; return the status and the JSON body."""
    headers = {"Authorization": f"Bearer {api_key(CUSTOMER)}", "Idempotency-Key": key}
    url = f"{cluster.entry_urls[0]}/services/registry/handovers"
    async with cluster.session.post(url, data=b"{}", headers=headers) as response:
        return response.status, json.loads(await response.text())


async def runs(cluster: Cluster) -> int:
    """Return how often the service ran the hand-over under test."""
    executions = (await cluster.upstream_stats(SERVICE))["executions"]
    return sum(run["idempotency_key"] == "key-1" for run in executions)


class TestClosed:
    """A connection is closed before the exchange is complete."""

    async def test_before_body(self, cluster: Cluster, proxy: Proxy) -> None:
        """A request whose body never arrived was not run; a resend runs once."""
        proxy.fault = Fault.CUT_REQUEST
        status, body = await hand_over(cluster)
        assert (status, body["error"]["not_run"]) == (503, True)
        assert await runs(cluster) == 0
        assert (await hand_over(cluster))[0] == 200
        assert await runs(cluster) == 1

    async def test_after_body(self, cluster: Cluster, proxy: Proxy) -> None:
        """A request whose response was lost does not run a second time."""
        proxy.fault = Fault.CUT_RESPONSE
        status, body = await hand_over(cluster)
        assert (status, body["error"]["code"]) == (502, "outcome_unknown")
        assert not body["error"]["not_run"]
        assert (await hand_over(cluster))[0] == 200
        assert await runs(cluster) == 1


class TestHalfOpen:
    """A connection stays open but delivers nothing in one direction."""

    async def test_response_lost(self, cluster: Cluster, proxy: Proxy) -> None:
        """The caller gets `outcome_unknown`; a resend gets the response."""
        proxy.fault = Fault.DROP_RESPONSE
        status, body = await hand_over(cluster)
        assert (status, body["error"]["code"]) == (502, "outcome_unknown")
        proxy.fault = Fault.NONE
        assert (await hand_over(cluster))[0] == 200
        assert await runs(cluster) == 1

    async def test_request_lost(self, cluster: Cluster, proxy: Proxy) -> None:
        """A request that may have arrived runs at most once."""
        proxy.fault = Fault.DROP_REQUEST
        status, body = await hand_over(cluster)
        assert (status, body["error"]["code"]) == (502, "outcome_unknown")
        proxy.fault = Fault.NONE
        assert (await hand_over(cluster))[0] == 200
        assert await runs(cluster) == 1
