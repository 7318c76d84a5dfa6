"""A non-idempotent request runs at most once, and "not run" is true."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import pytest

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
NAMES = ("registry-1", "registry-2")
POLL_S = 0.02


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: Any

    @property
    def error(self) -> Any:
        """The error that the entry answered with."""
        return self.body["error"]


def two_registries(*, latency_s: float = 0.01) -> Deployment:
    """Return two entries and two registry services."""
    specs = [ServiceSpec(name, "teika", "registry", latency_s) for name in NAMES]
    return small_demo()._replace(upstreams=tuple(specs))


async def hand_over(
    cluster: Cluster,
    *,
    entry: int = 0,
    key: str = "key-1",
    packet: int = 1,
    method: str = "POST",
    path: str = HANDOVERS,
) -> Answer:
    """Record a hand-over through one of the entries."""
    sent = {"Authorization": f"Bearer {api_key(CUSTOMER)}", "Idempotency-Key": key}
    url = f"{cluster.entry_urls[entry]}{path}"
    body = json.dumps({"packet": packet})
    async with cluster.session.request(method, url, data=body, headers=sent) as answer:
        text = await answer.text()
        return Answer(answer.status, answer.headers, json.loads(text))


async def executions(cluster: Cluster) -> list[dict[str, Any]]:
    """Return every run of a request by the services that live."""
    live = [name for name in NAMES if cluster.processes[name].is_running]
    stats = [await cluster.upstream_stats(name) for name in live]
    return [run for stat in stats for run in stat["executions"]]


async def until_executions(cluster: Cluster, count: int) -> list[dict[str, Any]]:
    """Wait until so many requests have been given to the services."""
    while len(runs := await executions(cluster)) < count:
        await asyncio.sleep(POLL_S)
    return runs


async def owner(cluster: Cluster) -> str:
    """Return the service that has run a request."""
    for name in NAMES:
        if (await cluster.upstream_stats(name))["executions"]:
            return name
    raise AssertionError("no service ran a request")


@pytest.fixture
async def cluster(start_cluster: StartCluster) -> Cluster:
    """Start two entries and two registries."""
    return await start_cluster(two_registries())


@pytest.fixture
async def slow_cluster(start_cluster: StartCluster) -> Cluster:
    """Start two entries and two registries that take a second for a request."""
    return await start_cluster(two_registries(latency_s=1.0))


class TestResend:
    """A request sent again under its key."""

    async def test_stored_answer(self, cluster: Cluster) -> None:
        """The resend gets the first answer through whichever entry it comes."""
        first = await hand_over(cluster, entry=0)
        for entry in (0, 1, 0, 1):
            again = await hand_over(cluster, entry=entry)
            assert (again.status, again.body) == (200, first.body)
            assert again.headers["Idempotent-Replayed"] == "true"
            assert again.headers["X-Request-Id"] != first.headers["X-Request-Id"]
        assert len(await executions(cluster)) == 1

    async def test_concurrent(self, slow_cluster: Cluster) -> None:
        """Resends while the request runs join it and get its answer."""
        sent = [hand_over(slow_cluster, entry=number % 2) for number in range(8)]
        answers = await asyncio.gather(*sent)
        assert {answer.status for answer in answers} == {200}
        assert len({str(answer.body) for answer in answers}) == 1
        assert len(await executions(slow_cluster)) == 1

    async def test_key_reused(self, cluster: Cluster) -> None:
        """Another body under the same key is refused and not run."""
        await hand_over(cluster, packet=1)
        other = await hand_over(cluster, packet=2, entry=1)
        assert (other.status, other.error["code"]) == (422, "idempotency_key_reused")
        assert other.error["not_run"]
        assert len(await executions(cluster)) == 1

    async def test_other_path(self, cluster: Cluster) -> None:
        """Another call with the same body under the same key is refused."""
        await hand_over(cluster)
        other = await hand_over(cluster, path="/services/registry/returns")
        assert (other.status, other.error["code"]) == (422, "idempotency_key_reused")

    async def test_other_keys(self, cluster: Cluster) -> None:
        """Requests under different keys run each."""
        sent = [hand_over(cluster, key=f"key-{number}") for number in range(20)]
        answers = await asyncio.gather(*sent)
        assert {answer.status for answer in answers} == {200}
        assert len(await executions(cluster)) == 20

    async def test_owner_drained(self, cluster: Cluster) -> None:
        """The answer outlives the sidecar that ran the request."""
        first = await hand_over(cluster)
        name = f"sidecar-{await owner(cluster)}"
        await cluster.processes[name].terminate()
        again = await hand_over(cluster, entry=1)
        assert again.body == first.body
        assert len(await executions(cluster)) == 1


class TestDeaths:
    """Processes die while a request runs."""

    async def test_entry_killed(self, slow_cluster: Cluster) -> None:
        """The run goes on without its entry; a resend elsewhere gets the answer."""
        sent = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await until_executions(slow_cluster, 1)
        await slow_cluster.processes["entry-1"].kill()
        await asyncio.gather(sent, return_exceptions=True)
        again = await hand_over(slow_cluster, entry=1)
        assert again.status == 200
        assert len(await executions(slow_cluster)) == 1

    async def test_caller_gone(self, slow_cluster: Cluster) -> None:
        """The run goes on without its caller."""
        sent = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await until_executions(slow_cluster, 1)
        sent.cancel()
        again = await hand_over(slow_cluster, entry=1)
        assert again.status == 200
        assert len(await executions(slow_cluster)) == 1

    async def test_sidecar_killed(self, slow_cluster: Cluster) -> None:
        """Without its owner the outcome is unknown, and nothing runs again."""
        sent = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await until_executions(slow_cluster, 1)
        name = f"sidecar-{await owner(slow_cluster)}"
        await slow_cluster.processes[name].kill()
        first = await sent
        assert (first.status, first.error["code"]) == (502, "outcome_unknown")
        assert not first.error["not_run"]
        again = await hand_over(slow_cluster, entry=1)
        assert (again.status, again.error["code"]) == (502, "outcome_unknown")
        assert not again.error["not_run"]
        assert len(await executions(slow_cluster)) == 1

    async def test_sidecar_killed_and_back(self, slow_cluster: Cluster) -> None:
        """A new life of the owner says nothing of what the old one ran."""
        sent = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await until_executions(slow_cluster, 1)
        name = f"sidecar-{await owner(slow_cluster)}"
        await slow_cluster.processes[name].kill()
        await slow_cluster.restart(name)
        assert (await sent).error["code"] == "outcome_unknown"
        again = await hand_over(slow_cluster, entry=1)
        assert again.error["code"] == "outcome_unknown"
        assert len(await executions(slow_cluster)) == 1

    async def test_upstream_killed(self, slow_cluster: Cluster) -> None:
        """A request cut by its upstream's death is never given to another."""
        sent = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await until_executions(slow_cluster, 1)
        await slow_cluster.processes[await owner(slow_cluster)].kill()
        assert (await sent).error["code"] == "outcome_unknown"
        again = await hand_over(slow_cluster, entry=1)
        assert again.error["code"] == "outcome_unknown"
        assert await executions(slow_cluster) == []

    async def test_upstream_refuses(self, cluster: Cluster) -> None:
        """A request that never reached an upstream runs on the next one."""
        await cluster.processes["registry-1"].kill()
        sent = [hand_over(cluster, key=f"key-{number}") for number in range(6)]
        answers = await asyncio.gather(*sent)
        assert {answer.status for answer in answers} == {200}
        assert len(await executions(cluster)) == 6


async def until_answered(cluster: Cluster, *, entry: int = 0) -> Answer:
    """Resend until the request is no longer refused as not run."""
    while True:
        answer = await hand_over(cluster, entry=entry)
        if answer.status != 503:
            return answer
        assert answer.error["not_run"]
        await asyncio.sleep(POLL_S)


class TestStore:
    """The table fails while claims are written."""

    async def test_down(self, cluster: Cluster) -> None:
        """Requests are refused at once as not run, and run after the outage."""
        await cluster.platform.fault("table", "down")
        for entry in (0, 1):
            refused = await hand_over(cluster, entry=entry)
            assert (refused.status, refused.error["code"]) == (503, "store_down")
            assert refused.error["not_run"]
            assert int(refused.headers["Retry-After"]) >= 1
        assert await executions(cluster) == []
        await cluster.platform.fault("table", "ok")
        assert (await until_answered(cluster)).status == 200
        assert len(await executions(cluster)) == 1

    async def test_idempotent_while_down(self, cluster: Cluster) -> None:
        """A call that may be repeated needs no claim."""
        await cluster.platform.fault("table", "down")
        path = "/services/registry/packets/1"
        assert (await hand_over(cluster, method="GET", path=path)).status == 200

    @pytest.mark.parametrize("count", [1, 2, 3])
    async def test_lost_acks(self, cluster: Cluster, count: int) -> None:
        """However many acknowledgements are lost, one run and a true answer."""
        await cluster.platform.fault("table", "lost_ack", count=count)
        answer = await hand_over(cluster)
        ran = len(await executions(cluster))
        assert (answer.status, ran) in ((200, 1), (503, 0))
        assert (await until_answered(cluster, entry=1)).status == 200
        assert len(await executions(cluster)) == 1

    @pytest.mark.parametrize("mode", ["late", "slow"])
    async def test_late(self, cluster: Cluster, mode: str) -> None:
        """A claim that lands after its refusal keeps the refusal true."""
        await cluster.platform.fault("table", mode, delay_s=3.0)
        refused = await hand_over(cluster)
        await cluster.platform.fault("table", "ok")
        assert (refused.status, refused.error["code"]) == (503, "store_down")
        assert refused.error["not_run"]
        assert await executions(cluster) == []
        assert (await until_answered(cluster, entry=1)).status == 200
        assert len(await executions(cluster)) == 1

    async def test_down_after_claim(self, slow_cluster: Cluster) -> None:
        """The answer comes though the store is down; it is written afterwards."""
        sent = asyncio.create_task(hand_over(slow_cluster))
        await until_executions(slow_cluster, 1)
        await slow_cluster.platform.fault("table", "down")
        first = await sent
        assert first.status == 200
        await slow_cluster.platform.fault("table", "ok")
        again = await until_answered(slow_cluster, entry=1)
        assert again.body == first.body
        assert len(await executions(slow_cluster)) == 1

    async def test_owner_dies_before_record(self, slow_cluster: Cluster) -> None:
        """Store down and owner dead together: unknown, never a second run."""
        sent = asyncio.create_task(hand_over(slow_cluster))
        await until_executions(slow_cluster, 1)
        await slow_cluster.platform.fault("table", "down")
        assert (await sent).status == 200
        name = f"sidecar-{await owner(slow_cluster)}"
        await slow_cluster.processes[name].kill()
        await slow_cluster.platform.fault("table", "ok")
        again = await until_answered(slow_cluster, entry=1)
        assert (again.status, again.error["code"]) == (502, "outcome_unknown")
        assert len(await executions(slow_cluster)) == 1


class TestPauses:
    """A process is frozen and wakes up later."""

    async def test_before_grant(self, cluster: Cluster) -> None:
        """Nothing is granted by frozen sidecars; the refusal is true."""
        sidecars = [cluster.processes[f"sidecar-{name}"] for name in NAMES]
        for sidecar in sidecars:
            sidecar.pause()
        refused = await hand_over(cluster)
        assert (refused.status, refused.error["not_run"]) == (503, True)
        for sidecar in sidecars:
            sidecar.resume()
        assert (await until_answered(cluster)).status == 200
        assert len(await executions(cluster)) == 1

    async def test_while_running(self, slow_cluster: Cluster) -> None:
        """A frozen owner's outcome is unknown until it wakes, then told."""
        sent = asyncio.create_task(hand_over(slow_cluster))
        await until_executions(slow_cluster, 1)
        name = f"sidecar-{await owner(slow_cluster)}"
        slow_cluster.processes[name].pause()
        first = await sent
        assert (first.status, first.error["code"]) == (502, "outcome_unknown")
        again = await hand_over(slow_cluster, entry=1)
        assert (again.status, again.error["code"]) == (502, "outcome_unknown")
        slow_cluster.processes[name].resume()
        while (answer := await hand_over(slow_cluster, entry=1)).status != 200:
            assert answer.error["code"] == "outcome_unknown"
        assert len(await executions(slow_cluster)) == 1

    async def test_entry(self, slow_cluster: Cluster) -> None:
        """A frozen entry keeps nothing from running once and being told."""
        sent = asyncio.create_task(hand_over(slow_cluster, entry=0))
        await until_executions(slow_cluster, 1)
        slow_cluster.processes["entry-1"].pause()
        again = await hand_over(slow_cluster, entry=1)
        assert again.status == 200
        slow_cluster.processes["entry-1"].resume()
        assert (await sent).body == again.body
        assert len(await executions(slow_cluster)) == 1
