"""Planners and sidecars that are suspended beyond their lease and then resumed."""

import asyncio

import pytest

from skylarkdoor_bench import Operator, small_demo

ENGINES = ("engine-1", "engine-2")
MODELS_PATH = "/fleet/pools/assistant/models"
INITIAL_MODEL = "garden-7b"


def deployment(fencing: str):
    """Return the demo with engines that check fencing numbers or ignore them."""
    demo = small_demo()
    pool = demo.fleet.pools["assistant"]._replace(fencing=fencing)
    upstreams = tuple(
        spec._replace(fencing=fencing) if spec.name in ENGINES else spec
        for spec in demo.upstreams
    )
    pools = {**demo.fleet.pools, "assistant": pool}
    return demo._replace(upstreams=upstreams, fleet=demo.fleet._replace(pools=pools))


async def planner_status(cluster, engine: str) -> dict:
    """Return the planner status that an engine's sidecar reports."""
    return (await cluster.status(f"sidecar-{engine}"))["planner"]


async def wait_holder(cluster, *engines: str) -> str:
    """Wait until one of the engines' sidecars holds the lease; return its engine."""
    async with asyncio.timeout(40):
        while True:
            for engine in engines:
                if (await planner_status(cluster, engine))["is_holder"]:
                    return engine
            await asyncio.sleep(0.1)


async def engine_state(cluster, engine: str) -> dict:
    """Return the models that an engine has loaded and the orders it received."""
    async with cluster.session.get(
        f"{cluster.upstream_urls[engine]}/state"
    ) as response:
        return await response.json()


async def wait_models(cluster, engine: str, *models: str) -> None:
    """Wait until an engine has loaded exactly these models."""
    async with asyncio.timeout(60):
        while (await engine_state(cluster, engine))["models"] != sorted(models):
            await asyncio.sleep(0.1)


async def fences(cluster, engine: str) -> list[int]:
    """Return the fencing numbers of an engine's orders, in order of arrival."""
    return [order["fence"] for order in (await engine_state(cluster, engine))["orders"]]


async def plan_fence(cluster, former) -> int:
    """Return the fencing number of the plan that a former incarnation follows."""
    url = former.ready_url.replace("/readyz", "/status")
    async with cluster.session.get(url) as response:
        return (await response.json())["planner"]["fence"]


async def set_models(cluster, *models: str) -> None:
    """Change the pool's models as an operator."""
    response = await Operator(cluster, "entry-1").put(MODELS_PATH, list(models))
    assert response.status == 200, response.body


@pytest.mark.parametrize("fencing", ["check", "ignore"])
class TestPlanner:
    """The planner is suspended beyond its lease and resumed."""

    async def test_suspended_and_resumed(self, start_cluster, fencing: str):
        """Another sidecar takes over; the resumed one follows and reverts nothing."""
        cluster = await start_cluster(deployment(fencing))
        former = await wait_holder(cluster, *ENGINES)
        other = next(engine for engine in ENGINES if engine != former)
        previous_epoch = (await planner_status(cluster, former))["epoch"]
        cluster.processes[f"sidecar-{former}"].pause()
        await wait_holder(cluster, other)
        assert (await planner_status(cluster, other))["epoch"] > previous_epoch
        await set_models(cluster, INITIAL_MODEL, "garden-8b")
        await wait_models(cluster, other, INITIAL_MODEL, "garden-8b")
        assert (await engine_state(cluster, former))["models"] == [INITIAL_MODEL]
        cluster.processes[f"sidecar-{former}"].resume()
        await wait_models(cluster, former, INITIAL_MODEL, "garden-8b")
        assert not (await planner_status(cluster, former))["is_holder"]
        for engine in ENGINES:
            received = await fences(cluster, engine)
            assert received == sorted(received)


@pytest.mark.parametrize("fencing", ["check", "ignore"])
class TestReplaced:
    """A sidecar is suspended, replaced beside the same engine, and resumed."""

    async def test_former_incarnation_sends_no_orders(
        self, start_cluster, fencing: str
    ):
        """After the former one resumes, only the new incarnation sends orders."""
        cluster = await start_cluster(deployment(fencing))
        engine = ENGINES[0]
        await wait_holder(cluster, *ENGINES)
        cluster.processes[f"sidecar-{engine}"].pause()
        former = await cluster.start_new_incarnation(f"sidecar-{engine}")
        await set_models(cluster, INITIAL_MODEL, "garden-9b")
        await wait_models(cluster, engine, INITIAL_MODEL, "garden-9b")
        former.resume()
        await set_models(cluster, INITIAL_MODEL)
        await wait_models(cluster, engine, INITIAL_MODEL)
        fence = (await planner_status(cluster, engine))["fence"]
        async with asyncio.timeout(40):
            while await plan_fence(cluster, former) < fence:
                await asyncio.sleep(0.1)
        assert (await engine_state(cluster, engine))["models"] == [INITIAL_MODEL]
        received = await fences(cluster, engine)
        assert received == sorted(received)


class TestOutage:
    """The table is unavailable."""

    async def test_last_plan_kept(self, start_cluster):
        """The last plan stays in force during the outage; planning then continues."""
        cluster = await start_cluster(deployment("check"))
        holder = await wait_holder(cluster, *ENGINES)
        await cluster.platform.fault("table", "down")
        await cluster.processes[f"sidecar-{holder}"].wait_log("planner_store_failed")
        assert (await engine_state(cluster, holder))["models"] == [INITIAL_MODEL]
        await cluster.platform.fault("table", "ok")
        await set_models(cluster, INITIAL_MODEL, "garden-8b")
        for engine in ENGINES:
            await wait_models(cluster, engine, INITIAL_MODEL, "garden-8b")
