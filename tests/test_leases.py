"""Planners and sidecars paused past what they hold, and woken."""

import asyncio

import pytest

from skylarkdoor_bench import Operator, small_demo

ENGINES = ("engine-1", "engine-2")
MODELS = "/fleet/pools/assistant/models"
FIRST = "garden-7b"


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


async def planner(cluster, engine: str) -> dict:
    """Return what an engine's sidecar says of planning."""
    return (await cluster.status(f"sidecar-{engine}"))["planner"]


async def wait_holder(cluster, *engines: str) -> str:
    """Wait until one of the engines' sidecars plans; return the engine."""
    async with asyncio.timeout(40):
        while True:
            for engine in engines:
                if (await planner(cluster, engine))["is_holder"]:
                    return engine
            await asyncio.sleep(0.1)


async def state(cluster, engine: str) -> dict:
    """Return what an engine carries and the orders that it was given."""
    async with cluster.session.get(f"{cluster.upstream_urls[engine]}/state") as answer:
        return await answer.json()


async def wait_models(cluster, engine: str, *models: str) -> None:
    """Wait until an engine carries exactly these models."""
    async with asyncio.timeout(60):
        while (await state(cluster, engine))["models"] != sorted(models):
            await asyncio.sleep(0.1)


async def fences(cluster, engine: str) -> list[int]:
    """Return the fencing numbers of an engine's orders, in the order given."""
    return [order["fence"] for order in (await state(cluster, engine))["orders"]]


async def fence_of(cluster, former) -> int:
    """Return the fencing number of the plan that a former life follows."""
    url = former.ready_url.replace("/readyz", "/status")
    async with cluster.session.get(url) as answer:
        return (await answer.json())["planner"]["fence"]


async def set_models(cluster, *models: str) -> None:
    """Have an operator change the pool's models."""
    answer = await Operator(cluster, "entry-1").put(MODELS, list(models))
    assert answer.status == 200, answer.body


@pytest.mark.parametrize("fencing", ["check", "ignore"])
class TestPlanner:
    """The holder of the lease is paused past it and woken."""

    async def test_paused_and_woken(self, start_cluster, fencing: str):
        """Another plans on; the woken one follows and takes nothing back."""
        cluster = await start_cluster(deployment(fencing))
        former = await wait_holder(cluster, *ENGINES)
        other = next(engine for engine in ENGINES if engine != former)
        before = (await planner(cluster, former))["epoch"]
        cluster.processes[f"sidecar-{former}"].pause()
        await wait_holder(cluster, other)
        assert (await planner(cluster, other))["epoch"] > before
        await set_models(cluster, FIRST, "garden-8b")
        await wait_models(cluster, other, FIRST, "garden-8b")
        assert (await state(cluster, former))["models"] == [FIRST]
        cluster.processes[f"sidecar-{former}"].resume()
        await wait_models(cluster, former, FIRST, "garden-8b")
        assert not (await planner(cluster, former))["is_holder"]
        for engine in ENGINES:
            given = await fences(cluster, engine)
            assert given == sorted(given)


@pytest.mark.parametrize("fencing", ["check", "ignore"])
class TestReplaced:
    """A sidecar is paused, replaced beside the same engine, and woken."""

    async def test_former_life_orders_nothing(self, start_cluster, fencing: str):
        """The engine follows the later life alone, also after the former wakes."""
        cluster = await start_cluster(deployment(fencing))
        engine = ENGINES[0]
        await wait_holder(cluster, *ENGINES)
        cluster.processes[f"sidecar-{engine}"].pause()
        former = await cluster.replace(f"sidecar-{engine}")
        await set_models(cluster, FIRST, "garden-9b")
        await wait_models(cluster, engine, FIRST, "garden-9b")
        former.resume()
        await set_models(cluster, FIRST)
        await wait_models(cluster, engine, FIRST)
        fence = (await planner(cluster, engine))["fence"]
        async with asyncio.timeout(40):
            while await fence_of(cluster, former) < fence:
                await asyncio.sleep(0.1)
        assert (await state(cluster, engine))["models"] == [FIRST]
        given = await fences(cluster, engine)
        assert given == sorted(given)


class TestOutage:
    """The table is down."""

    async def test_last_plan_stays(self, start_cluster):
        """Nothing new is agreed while the table is down; then it goes on."""
        cluster = await start_cluster(deployment("check"))
        holder = await wait_holder(cluster, *ENGINES)
        await cluster.platform.fault("table", "down")
        await cluster.processes[f"sidecar-{holder}"].wait_log("planner_store_failed")
        assert (await state(cluster, holder))["models"] == [FIRST]
        await cluster.platform.fault("table", "ok")
        await set_models(cluster, FIRST, "garden-8b")
        for engine in ENGINES:
            await wait_models(cluster, engine, FIRST, "garden-8b")
