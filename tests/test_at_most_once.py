"""A non-idempotent request runs at most once, and `not_run` is true if reported."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import pytest

from skylarkdoor.settings import Limits
from skylarkdoor_bench import (
    Cluster,
    Deployment,
    ServiceSpec,
    api_key,
    small_demo,
)
from skylarkdoor_bench.testing import StartCluster

CUSTOMER = "teika-garden"
HANDOVERS = "/services/registry/handovers"
SERVICES = ("registry-1", "registry-2")
POLL_S = 0.02


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    body: Any

    @property
    def error(self) -> Any:
        """The error object in the body."""
        return self.body["error"]


def two_registries(*, latency_s: float = 0.01) -> Deployment:
    """Return a deployment of two entries and two registry services."""
    specs = [ServiceSpec(name, "teika", "registry", latency_s) for name in SERVICES]
    return small_demo()._replace(upstreams=tuple(specs))


async def hand_over(
    cluster: Cluster,
    *,
    entry: int = 0,
    key: str = "key-1",
    packet: int = 1,
    method: str = "POST",
    path: str = HANDOVERS,
) -> Response:
    """Send a hand-over request through one of the entries."""
    headers = {"Authorization": f"Bearer {api_key(CUSTOMER)}", "Idempotency-Key": key}
    url = f"{cluster.entry_urls[entry]}{path}"
    body = json.dumps({"packet": packet})
    async with cluster.session.request(
        method, url, data=body, headers=headers
    ) as response:
        text = await response.text()
        return Response(response.status, response.headers, json.loads(text))


async def executions(cluster: Cluster) -> list[dict[str, Any]]:
    """Return every execution recorded by the services whose process is running."""
    running = [name for name in SERVICES if cluster.processes[name].is_running]
    stats = [await cluster.upstream_stats(name) for name in running]
    return [run for stat in stats for run in stat["executions"]]


async def wait_executions(cluster: Cluster, count: int) -> list[dict[str, Any]]:
    """Wait until the services have received this many requests."""
    while len(runs := await executions(cluster)) < count:
        await asyncio.sleep(POLL_S)
    return runs


async def owner(cluster: Cluster) -> str:
    """Return the service that has received a request; its sidecar owns the claim."""
    for name in SERVICES:
        if (await cluster.upstream_stats(name))["executions"]:
            return name
    raise AssertionError("no service ran a request")


@pytest.fixture
async def cluster(start_cluster: StartCluster) -> Cluster:
    """Start two entries and two registries."""
    return await start_cluster(two_registries())


@pytest.fixture
async def slow_cluster(start_cluster: StartCluster) -> Cluster:
    """Start two entries and two registries that take one second per request."""
    return await start_cluster(two_registries(latency_s=1.0))


class TestResend:
    """A request resent under the same idempotency key."""

    async def test_stored_response(self, cluster: Cluster) -> None:
        """A resend through either entry gets the stored first response."""
        first = await hand_over(cluster, entry=0)
        for entry in (0, 1, 0, 1):
            resent = await hand_over(cluster, entry=entry)
            assert (resent.status, resent.body) == (200, first.body)
            assert resent.headers["Idempotent-Replayed"] == "true"
            assert resent.headers["X-Request-Id"] != first.headers["X-Request-Id"]
        assert len(await executions(cluster)) == 1

    async def test_concurrent(self, slow_cluster: Cluster) -> None:
        """Resends during the run wait for it and get its response."""
        calls = [hand_over(slow_cluster, entry=number % 2) for number in range(8)]
        responses = await asyncio.gather(*calls)
        assert {response.status for response in responses} == {200}
        assert len({str(response.body) for response in responses}) == 1
        assert len(await executions(slow_cluster)) == 1

    async def test_key_reused(self, cluster: Cluster) -> None:
        """A different body under the same key is refused and not run."""
        await hand_over(cluster, packet=1)
        other = await hand_over(cluster, packet=2, entry=1)
        assert (other.status, other.error["code"]) == (422, "idempotency_key_reused")
        assert other.error["not_run"]
        assert len(await executions(cluster)) == 1

    async def test_different_path(self, cluster: Cluster) -> None:
        """The same body and key at a different path are refused."""
        await hand_over(cluster)
        other = await hand_over(cluster, path="/services/registry/returns")
        assert (other.status, other.error["code"]) == (422, "idempotency_key_reused")

    async def test_different_keys(self, cluster: Cluster) -> None:
        """Requests under different keys run separately."""
        calls = [hand_over(cluster, key=f"key-{number}") for number in range(20)]
        responses = await asyncio.gather(*calls)
        assert {response.status for response in responses} == {200}
        assert len(await executions(cluster)) == 20

    async def test_owner_drained(self, cluster: Cluster) -> None:
        """The response stays available after its sidecar has shut down."""
        first = await hand_over(cluster)
        name = f"sidecar-{await owner(cluster)}"
        await cluster.processes[name].terminate()
        resent = await hand_over(cluster, entry=1)
        assert resent.body == first.body
        assert len(await executions(cluster)) == 1


class TestBrokenAnswer:
    """An upstream runs a request and answers with status 000."""

    # Guards against the incident: callers get an answer with status 000, or one that is
    # stored as complete is replayed to them.
    @pytest.mark.parametrize("method", ["POST", "GET"])
    async def test_outcome_unknown(self, cluster: Cluster, method: str) -> None:
        """The outcome is unknown, also for a resend, and nothing is rerun."""
        for name in SERVICES:
            await cluster.upstream_fault(name, mode="no_status")
        for entry in (0, 1):
            response = await hand_over(cluster, entry=entry, method=method)
            assert response.status == 502
            assert response.error["code"] == "outcome_unknown"
            assert not response.error["not_run"]
        assert len(await executions(cluster)) == 1


class TestProcessEnds:
    """A process ends, or the caller disconnects, around a request."""

    async def test_entry_killed(self, slow_cluster: Cluster) -> None:
        """The run continues without its entry; a resend elsewhere gets the response."""
        call = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await wait_executions(slow_cluster, 1)
        await slow_cluster.processes["entry-1"].kill()
        await asyncio.gather(call, return_exceptions=True)
        resent = await hand_over(slow_cluster, entry=1)
        assert resent.status == 200
        assert len(await executions(slow_cluster)) == 1

    async def test_caller_disconnects(self, slow_cluster: Cluster) -> None:
        """The run continues without its caller; a resend gets the response."""
        call = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await wait_executions(slow_cluster, 1)
        call.cancel()
        resent = await hand_over(slow_cluster, entry=1)
        assert resent.status == 200
        assert len(await executions(slow_cluster)) == 1

    async def test_sidecar_killed(self, slow_cluster: Cluster) -> None:
        """Without the claim's owner the outcome is unknown, and nothing is rerun."""
        call = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await wait_executions(slow_cluster, 1)
        name = f"sidecar-{await owner(slow_cluster)}"
        await slow_cluster.processes[name].kill()
        first = await call
        assert (first.status, first.error["code"]) == (502, "outcome_unknown")
        assert not first.error["not_run"]
        resent = await hand_over(slow_cluster, entry=1)
        assert (resent.status, resent.error["code"]) == (502, "outcome_unknown")
        assert not resent.error["not_run"]
        assert len(await executions(slow_cluster)) == 1

    async def test_sidecar_restarted(self, slow_cluster: Cluster) -> None:
        """The outcome stays unknown to the owner's new incarnation."""
        call = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await wait_executions(slow_cluster, 1)
        name = f"sidecar-{await owner(slow_cluster)}"
        await slow_cluster.processes[name].kill()
        await slow_cluster.restart(name)
        assert (await call).error["code"] == "outcome_unknown"
        resent = await hand_over(slow_cluster, entry=1)
        assert resent.error["code"] == "outcome_unknown"
        assert len(await executions(slow_cluster)) == 1

    async def test_upstream_killed(self, slow_cluster: Cluster) -> None:
        """A request cut off when its upstream ends does not run on another one."""
        call = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await wait_executions(slow_cluster, 1)
        await slow_cluster.processes[await owner(slow_cluster)].kill()
        assert (await call).error["code"] == "outcome_unknown"
        resent = await hand_over(slow_cluster, entry=1)
        assert resent.error["code"] == "outcome_unknown"
        assert await executions(slow_cluster) == []

    async def test_upstream_unreachable(self, cluster: Cluster) -> None:
        """A request that could not reach its upstream runs on another one."""
        await cluster.processes["registry-1"].kill()
        calls = [hand_over(cluster, key=f"key-{number}") for number in range(6)]
        responses = await asyncio.gather(*calls)
        assert {response.status for response in responses} == {200}
        assert len(await executions(cluster)) == 6


async def resend_until_accepted(cluster: Cluster, *, entry: int = 0) -> Response:
    """Resend until the request is no longer refused as not run; return the response."""
    while True:
        response = await hand_over(cluster, entry=entry)
        if response.status != 503:
            return response
        assert response.error["not_run"]
        await asyncio.sleep(POLL_S)


class TestStore:
    """The table that stores the claims fails."""

    async def test_down(self, cluster: Cluster) -> None:
        """Requests are refused as not run during the outage, and run after it."""
        await cluster.platform.fault("table", "down")
        for entry in (0, 1):
            refused = await hand_over(cluster, entry=entry)
            assert (refused.status, refused.error["code"]) == (503, "store_down")
            assert refused.error["not_run"]
            assert int(refused.headers["Retry-After"]) >= 1
        assert await executions(cluster) == []
        await cluster.platform.fault("table", "ok")
        assert (await resend_until_accepted(cluster)).status == 200
        assert len(await executions(cluster)) == 1

    async def test_idempotent_while_down(self, cluster: Cluster) -> None:
        """An idempotent call needs no claim and is served."""
        await cluster.platform.fault("table", "down")
        path = "/services/registry/packets/1"
        assert (await hand_over(cluster, method="GET", path=path)).status == 200

    @pytest.mark.parametrize("count", [1, 2, 3])
    async def test_lost_acks(self, cluster: Cluster, count: int) -> None:
        """Lost acknowledgements cause neither a second run nor a false response."""
        await cluster.platform.fault("table", "lost_ack", count=count)
        response = await hand_over(cluster)
        ran = len(await executions(cluster))
        assert (response.status, ran) in ((200, 1), (503, 0))
        assert (await resend_until_accepted(cluster, entry=1)).status == 200
        assert len(await executions(cluster)) == 1

    @pytest.mark.parametrize("mode", ["late", "slow"])
    async def test_delayed_write(self, cluster: Cluster, mode: str) -> None:
        """A claim written only after the refusal does not cause a run."""
        await cluster.platform.fault("table", mode, delay_s=3.0)
        refused = await hand_over(cluster)
        await cluster.platform.fault("table", "ok")
        assert (refused.status, refused.error["code"]) == (503, "store_down")
        assert refused.error["not_run"]
        assert await executions(cluster) == []
        assert (await resend_until_accepted(cluster, entry=1)).status == 200
        assert len(await executions(cluster)) == 1

    async def test_down_after_claim(self, slow_cluster: Cluster) -> None:
        """The caller gets its response during the outage; it is stored afterwards."""
        call = asyncio.create_task(hand_over(slow_cluster))
        await wait_executions(slow_cluster, 1)
        await slow_cluster.platform.fault("table", "down")
        first = await call
        assert first.status == 200
        await slow_cluster.platform.fault("table", "ok")
        resent = await resend_until_accepted(slow_cluster, entry=1)
        assert resent.body == first.body
        assert len(await executions(slow_cluster)) == 1

    async def test_owner_killed_before_record(self, slow_cluster: Cluster) -> None:
        """If the owner is killed before it stores the outcome, it stays unknown."""
        call = asyncio.create_task(hand_over(slow_cluster))
        await wait_executions(slow_cluster, 1)
        await slow_cluster.platform.fault("table", "down")
        assert (await call).status == 200
        name = f"sidecar-{await owner(slow_cluster)}"
        await slow_cluster.processes[name].kill()
        await slow_cluster.platform.fault("table", "ok")
        resent = await resend_until_accepted(slow_cluster, entry=1)
        assert (resent.status, resent.error["code"]) == (502, "outcome_unknown")
        assert len(await executions(slow_cluster)) == 1


class TestSuspended:
    """A process is suspended and later resumed."""

    async def test_before_grant(self, cluster: Cluster) -> None:
        """Suspended sidecars grant nothing, and the refused request was not run."""
        sidecars = [cluster.processes[f"sidecar-{name}"] for name in SERVICES]
        for sidecar in sidecars:
            sidecar.pause()
        refused = await hand_over(cluster)
        assert (refused.status, refused.error["not_run"]) == (503, True)
        for sidecar in sidecars:
            sidecar.resume()
        assert (await resend_until_accepted(cluster)).status == 200
        assert len(await executions(cluster)) == 1

    async def test_while_running(self, slow_cluster: Cluster) -> None:
        """The outcome is unknown while the claim's owner is suspended."""
        call = asyncio.create_task(hand_over(slow_cluster))
        await wait_executions(slow_cluster, 1)
        name = f"sidecar-{await owner(slow_cluster)}"
        slow_cluster.processes[name].pause()
        first = await call
        assert (first.status, first.error["code"]) == (502, "outcome_unknown")
        resent = await hand_over(slow_cluster, entry=1)
        assert (resent.status, resent.error["code"]) == (502, "outcome_unknown")
        slow_cluster.processes[name].resume()
        while (response := await hand_over(slow_cluster, entry=1)).status != 200:
            assert response.error["code"] == "outcome_unknown"
        assert len(await executions(slow_cluster)) == 1

    async def test_entry(self, slow_cluster: Cluster) -> None:
        """A suspended entry prevents neither the run nor a resend's response."""
        call = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await wait_executions(slow_cluster, 1)
        slow_cluster.processes["entry-1"].pause()
        resent = await hand_over(slow_cluster, entry=1)
        assert resent.status == 200
        slow_cluster.processes["entry-1"].resume()
        assert (await call).body == resent.body
        assert len(await executions(slow_cluster)) == 1


class TestEndOfEntry:
    """A request that still runs when the drain timeout of its entry ends."""

    # Guards against a request that may run once and is cut off without an answer.
    async def test_running(self, start_cluster: StartCluster) -> None:
        """Its outcome is unknown, and a resend elsewhere gets the answer."""
        cluster = await start_cluster(two_registries(latency_s=3.0))
        process = cluster.processes["entry-1"]
        await process.terminate()
        await cluster.restart_at_new_addresses("entry-1", Limits(drain_timeout_s=0.2))
        await cluster.wait_connected()
        call = asyncio.create_task(hand_over(cluster, entry=0))
        await wait_executions(cluster, 1)
        process.send_sigterm()
        first = await call
        assert (first.status, first.error["code"]) == (502, "outcome_unknown")
        assert not first.error["not_run"]
        resent = await hand_over(cluster, entry=1)
        assert resent.status == 200
        assert len(await executions(cluster)) == 1
