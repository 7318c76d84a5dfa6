"""Tier order under overload, with two entries and three sidecars as processes."""

import asyncio
import itertools

import aiohttp
import pytest

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Customer, Fleet, Pool, Team, Tier
from skylarkdoor_bench import Cluster, Deployment, EngineSpec, EntrySpec, api_key

SIDECARS = 3
MAX_RUNNING = 2
QUEUE_LIMIT = 3
QUEUE_SLOTS = SIDECARS * QUEUE_LIMIT
TOTAL_SLOTS = SIDECARS * (MAX_RUNNING + QUEUE_LIMIT)
MODEL = "garden-7b"
TIERS = {"lookup": 0, "swap": 1, "reply": 2}


def deployment(policy):
    """Return two entries and three slow engines with short queues."""
    pool = Pool(
        kind="model",
        models=(MODEL,),
        policy=policy,
        offers=2,
        queue_limit=QUEUE_LIMIT,
        max_running=MAX_RUNNING,
        adaptive_limit=False,
    )
    customers = {
        name: Customer((key_hash(api_key(name)),), tier=name, pools=("assistant",))
        for name in TIERS
    }
    return Deployment(
        name="tiers",
        entries=(EntrySpec("entry-1", "teika"), EntrySpec("entry-2", "teika")),
        upstreams=tuple(
            EngineSpec(f"engine-{n}", "teika", "assistant", MODEL, 4000, 40, 4)
            for n in range(1, SIDECARS + 1)
        ),
        fleet=Fleet(
            tiers={
                name: Tier(rank=rank, deadline_s=60.0) for name, rank in TIERS.items()
            },
            pools={"assistant": pool},
        ),
        teams={"gardens": Team(customers)},
    )


class Callers:
    """Sends requests of any tier, to each entry in turn.

    Args:
        cluster: The deployment.
        session: The session for all requests.
    """

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession):
        self.cluster = cluster
        self.session = session
        self.urls = itertools.cycle(cluster.entry_urls)
        self.request_numbers = itertools.count()

    def send(self, tier, count, *, max_tokens=80):
        """Send requests concurrently; return the tasks, each yielding a status."""
        return [
            asyncio.ensure_future(self.send_one(tier, next(self.urls), max_tokens))
            for _ in range(count)
        ]

    async def send_one(self, tier, url, max_tokens):
        """Send one request, check its complete response and return its status."""
        body = {
            "model": MODEL,
            "prompt": f"{tier} {next(self.request_numbers)}",
            "max_tokens": max_tokens,
            "stream": True,
        }
        async with self.session.post(
            f"{url}/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {api_key(tier)}"},
        ) as response:
            text = await response.text()
            if response.status == 200:
                assert "[DONE]" in text
            else:
                assert int(response.headers["Retry-After"]) >= 1
                assert '"not_run": true' in text
            return response.status

    async def wait_queued(self, tier, count):
        """Wait until this many offers of a tier are queued at the sidecars."""
        while await self.queued(tier) != count:
            await asyncio.sleep(0.02)

    async def queued(self, tier):
        """Return how many offers of a tier are queued at the sidecars."""
        total = 0
        for number in range(1, SIDECARS + 1):
            status = await self.cluster.status(f"sidecar-engine-{number}")
            counts = status["scheduler"]["waiting_by_tier"]
            total += sum(counts[TIERS[tier] : TIERS[tier] + 1])
        return total

    async def metric(self, name):
        """Return the sum of a counter over all daemons and labels."""
        total = 0.0
        for daemon in self.cluster.daemons.values():
            async with self.session.get(f"{daemon.internal_url}/metrics") as response:
                for line in (await response.text()).splitlines():
                    if line.startswith(name):
                        total += float(line.rpartition(" ")[2])
        return total


@pytest.fixture(params=["late-binding", "least-finish", "round-robin"])
async def callers(request, start_cluster):
    """Return callers of a running deployment, for each policy."""
    cluster = await start_cluster(deployment(request.param))
    timeout = aiohttp.ClientTimeout(total=60)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield Callers(cluster, session)


class TestOverload:
    """Refusals when there are more requests than slots."""

    async def test_higher_tier_takes_slots(self, callers):
        """No higher-tier request is refused while lower-tier ones are queued."""
        low = callers.send("reply", TOTAL_SLOTS + 8)
        await callers.wait_queued("reply", QUEUE_SLOTS)
        high = callers.send("lookup", QUEUE_SLOTS)
        assert await asyncio.gather(*high) == [200] * QUEUE_SLOTS
        statuses = await asyncio.gather(*low)
        assert statuses.count(503) >= QUEUE_SLOTS
        assert await callers.metric("skylarkdoor_invariant_broken_total") == 0

    async def test_burst_of_all_tiers(self, callers):
        """In a burst of all tiers, no refusal violates the tier order."""
        tasks = []
        for _ in range(6):
            for tier in ("reply", "lookup", "swap", "reply"):
                tasks += callers.send(tier, 6, max_tokens=8)
            await asyncio.sleep(0.1)
        statuses = await asyncio.gather(*tasks)
        assert set(statuses) == {200, 503}
        assert await callers.metric("skylarkdoor_invariant_broken_total") == 0
        assert await callers.metric("skylarkdoor_entry_unproved_refusals_total") == 0
