"""Series that measure the resource use of entries and sidecars against their load."""

import asyncio
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from skylarkdoor.clients import EtcdTable, Put, Table, Txn
from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Customer, Team, team_path, to_plain
from skylarkdoor_bench._counting_relay import CountingRelay
from skylarkdoor_bench._deployments import (
    Deployment,
    EngineSpec,
    EntrySpec,
    ServiceSpec,
    api_key,
    small_demo,
)
from skylarkdoor_bench._launcher import Cluster
from skylarkdoor_bench._simulated_peers import SimulatedEntry, SimulatedSidecar
from skylarkdoor_bench._slope import Point, Slope, fit_slope
from skylarkdoor_bench._streams import CUSTOMER, open_stream
from skylarkdoor_bench._usage import Usage, measure_usage

WINDOW_S = 5.0
SETTLE_S = 2.0
# Longer than the interval at which daemons poll the settings (8 s), so that every
# daemon has applied a change.
SETTINGS_POLL_S = 10.0
ENTRY = "entry-1"
ENGINE = "engine-1"
SIDECAR = "sidecar-engine-1"
SERVICE_SIDECAR = "sidecar-registry-1"
CHANGES_KEY = "settings-changes"


def deployment(*, max_running: int = 16) -> Deployment:
    """Return a deployment of one entry, one engine and one service.

    Args:
        max_running: Requests that may run at once in the engine and the service.
    """
    base = small_demo()
    pools = {
        name: pool._replace(max_running=max_running, min_running=max_running)
        for name, pool in base.fleet.pools.items()
    }
    engine = EngineSpec(
        ENGINE, "teika", "assistant", "garden-7b", 1e6, 36, max_batch=max_running
    )
    return base._replace(
        name="slopes",
        entries=(EntrySpec(ENTRY, "teika"),),
        upstreams=(
            engine,
            ServiceSpec("registry-1", "teika", "registry", concurrency=max_running),
        ),
        fleet=base.fleet._replace(pools=pools),
    )


def _pid(cluster: Cluster, name: str) -> int:
    pid = cluster.processes[name].pid
    assert pid is not None
    return pid


async def sidecar_streams() -> list[Slope]:
    """Measure a sidecar against the number of idle entry streams."""
    points = []
    async with Cluster(deployment()) as cluster:
        for count in (0, 8, 24, 64):
            async with simulated_entries(cluster, count) as (_, relay):
                await asyncio.sleep(SETTLE_S)
                before = relay.forwarded_bytes
                usage = await measure_usage(_pid(cluster, SIDECAR), WINDOW_S)
                traffic = (relay.forwarded_bytes - before) / usage.seconds / 1000
            points.append(Point(count, usage.core_percent, usage.rss_mb, traffic))
    return [fit_slope("sidecar, idle, by entry streams", "streams", points)]


@asynccontextmanager
async def simulated_entries(
    cluster: Cluster, count: int
) -> AsyncIterator[tuple[list[SimulatedEntry], CountingRelay]]:
    """Open streams of simulated entries to a sidecar through a counting relay."""
    rpc = cluster.daemons[SIDECAR].settings.listen.rpc
    assert rpc is not None
    async with AsyncExitStack() as stack:
        relay = await stack.enter_async_context(CountingRelay(rpc))
        peers = []
        for number in range(count):
            peer = SimulatedEntry(relay.address, f"peer-{number}")
            peers.append(await stack.enter_async_context(peer))
        yield peers, relay


async def sidecar_offers() -> list[Slope]:
    """Measure a sidecar against offers per second.

    Each offer is granted, and the grant is withdrawn.
    """
    points = []
    async with Cluster(deployment(max_running=256)) as cluster:
        for rate in (0, 25, 50, 100, 200):
            async with simulated_entries(cluster, 8) as (peers, relay):
                await asyncio.sleep(SETTLE_S)
                before = relay.forwarded_bytes
                task = asyncio.create_task(offer_at_rate(peers, rate))
                usage = await measure_usage(_pid(cluster, SIDECAR), WINDOW_S)
                task.cancel()
                granted = sum(peer.granted for peer in peers) / usage.seconds
                traffic = (relay.forwarded_bytes - before) / usage.seconds / 1000
            points.append(
                Point(rate, usage.core_percent, usage.rss_mb, traffic, granted)
            )
    return [fit_slope("sidecar, by offers a second", "offers/s", points)]


async def offer_at_rate(peers: list[SimulatedEntry], rate: float) -> None:
    """Send offers through the simulated entries in turn until cancelled."""
    if rate == 0:
        return
    for number, peer in enumerate(itertools.cycle(peers)):
        peer.offer(f"{rate}-{number}-{id(peer)}")
        await asyncio.sleep(1 / rate)


async def entry_streams() -> list[Slope]:
    """Measure an entry against the number of idle sidecar streams."""
    points = []
    async with Cluster(deployment()) as cluster:
        for count in (0, 8, 24, 48):
            async with simulated_sidecars(cluster, count) as relays:
                await wait_streams(cluster, count + 2)
                await asyncio.sleep(SETTLE_S)
                before = sum(relay.forwarded_bytes for relay in relays)
                usage = await measure_usage(_pid(cluster, ENTRY), WINDOW_S)
                forwarded = sum(relay.forwarded_bytes for relay in relays) - before
                traffic = forwarded / usage.seconds / 1000
            points.append(Point(count, usage.core_percent, usage.rss_mb, traffic))
    return [fit_slope("entry, idle, by sidecar streams", "streams", points)]


@asynccontextmanager
async def simulated_sidecars(
    cluster: Cluster, count: int
) -> AsyncIterator[list[CountingRelay]]:
    """List simulated sidecars in pools of 24, each behind a counting relay."""
    template = cluster.daemons[SIDECAR].settings
    async with AsyncExitStack() as stack:
        relays = []
        for number in range(count):
            pool = f"peers-{number // 24}"
            name = f"peer-sidecar-{number}"
            sidecar = await stack.enter_async_context(SimulatedSidecar(name, pool))
            relay = await stack.enter_async_context(CountingRelay(sidecar.address))
            relays.append(relay)
            assert template.upstream is not None
            settings = template._replace(
                instance=name,
                listen=template.listen._replace(rpc=relay.address),
                upstream=template.upstream._replace(pool=pool),
            )
            await cluster.platform.register("sidecar", settings)
            stack.push_async_callback(cluster.platform.deregister, name)
        yield relays


async def wait_streams(cluster: Cluster, count: int) -> None:
    """Wait until the entry has `count` connected streams."""
    while True:
        status = await cluster.status(ENTRY)
        if sum(item["connected"] for item in status["sidecars"]) == count:
            return
        await asyncio.sleep(0.2)


async def customers() -> list[Slope]:
    """Measure entry and sidecar against the number of customers in the settings."""
    entry_points, sidecar_points = [], []
    async with Cluster(deployment()) as cluster:
        for count in (0, 2000, 8000, 16000, 32000):
            await write_customers(cluster, count, revision=count + 2)
            await asyncio.sleep(SETTINGS_POLL_S)
            entry, sidecar = await asyncio.gather(
                measure_usage(_pid(cluster, ENTRY), WINDOW_S),
                measure_usage(_pid(cluster, SIDECAR), WINDOW_S),
            )
            entry_points.append(_point(count, entry))
            sidecar_points.append(_point(count, sidecar))
    return [
        fit_slope("entry, by customers", "customers", entry_points),
        fit_slope("sidecar, by customers", "customers", sidecar_points),
    ]


async def write_customers(cluster: Cluster, count: int, *, revision: int) -> None:
    """Write customers in teams of 100 and wait until the entry has applied them."""
    rows = []
    last = ""
    for team in range(count // 100):
        customers = {
            f"customer-{number}": Customer(
                key_hashes=(key_hash(f"{team}-{number}"),),
                tier="swap",
                pools=("assistant", "registry"),
            )
            for number in range(100)
        }
        last = team_path(f"team-{team}")
        rows.append((last, Team(customers)))
    settings_table = EtcdTable(cluster.session, [cluster.platform.url])
    for start in range(0, len(rows), 50):
        writes = tuple(
            Put(f"settings{path}", settings_row(team, revision))
            for path, team in rows[start : start + 50]
        )
        await settings_table.commit([Txn(writes=writes)])
    if rows:
        await record_change(settings_table, revision)
    await wait_revision(cluster, last, revision)


async def record_change(table: Table, change: int) -> None:
    """Write the change row in the table, so that polls detect the change."""
    await table.commit([Txn(writes=(Put(CHANGES_KEY, str(change).encode()),))])


def settings_row(team: Team, revision: int) -> bytes:
    """Return the table row with a team's settings."""
    return json.dumps(
        {
            "revision": revision,
            "operation": f"slopes-{revision}",
            "author": "slopes",
            "changed_at": 0.0,
            "document": to_plain(team),
        }
    ).encode()


async def wait_revision(cluster: Cluster, path: str, revision: int) -> None:
    """Wait until the entry has applied a revision of a settings path."""
    while path:
        status = await cluster.status(ENTRY)
        if status["settings"].get(path, 0) >= revision:
            return
        await asyncio.sleep(0.2)


async def settings_changes() -> list[Slope]:
    """Measure entry and sidecar against settings changes per second.

    Each change rewrites a team of 100 customers.
    """
    entry_points, sidecar_points = [], []
    async with Cluster(deployment()) as cluster:
        team = Team(
            {
                f"customer-{number}": Customer(
                    key_hashes=(key_hash(str(number)),),
                    tier="swap",
                    pools=("assistant",),
                )
                for number in range(100)
            }
        )
        revisions = itertools.count(10)
        for rate in (0, 1, 2, 5):
            task = asyncio.create_task(
                change_settings_at_rate(cluster, team, rate, revisions)
            )
            await asyncio.sleep(SETTLE_S)
            entry, sidecar = await asyncio.gather(
                measure_usage(_pid(cluster, ENTRY), 2 * WINDOW_S),
                measure_usage(_pid(cluster, SIDECAR), 2 * WINDOW_S),
            )
            task.cancel()
            entry_points.append(_point(rate, entry, events=rate))
            sidecar_points.append(_point(rate, sidecar, events=rate))
    return [
        fit_slope("entry, by settings changes", "changes/s", entry_points),
        fit_slope("sidecar, by settings changes", "changes/s", sidecar_points),
    ]


async def change_settings_at_rate(
    cluster: Cluster, team: Team, rate: float, revisions: "itertools.count[int]"
) -> None:
    """Write new revisions of one team at a rate until cancelled."""
    settings_table = EtcdTable(cluster.session, [cluster.platform.url])
    while rate:
        value = settings_row(team, next(revisions))
        writes = (
            Put(f"settings{team_path('changing')}", value),
            Put(CHANGES_KEY, value[:1]),
        )
        await settings_table.commit([Txn(writes=writes)])
        await asyncio.sleep(1 / rate)


def _point(x: float, usage: Usage, *, events: float = 0.0) -> Point:
    return Point(x, usage.core_percent, usage.rss_mb, events_per_s=events)


async def requests() -> list[Slope]:
    """Measure entry and sidecar against short requests per second."""
    entry_points, sidecar_points = [], []
    async with Cluster(deployment(max_running=128)) as cluster:
        for rate in (0, 20, 40, 80, 120):
            task = asyncio.create_task(call_at_rate(cluster, rate))
            await asyncio.sleep(SETTLE_S)
            entry, sidecar = await asyncio.gather(
                measure_usage(_pid(cluster, ENTRY), WINDOW_S),
                measure_usage(_pid(cluster, SERVICE_SIDECAR), WINDOW_S),
            )
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            entry_points.append(_point(rate, entry, events=rate))
            sidecar_points.append(_point(rate, sidecar, events=rate))
    return [
        fit_slope("entry, by short requests", "requests/s", entry_points),
        fit_slope("sidecar, by short requests", "requests/s", sidecar_points),
    ]


async def call_at_rate(cluster: Cluster, rate: float) -> None:
    """Call the plain service at a rate until cancelled."""
    url = f"{cluster.entry_urls[0]}/services/registry/packets/17"
    headers = {"Authorization": f"Bearer {api_key(CUSTOMER)}"}

    async def call() -> None:
        async with cluster.session.get(url, headers=headers) as answer:
            await answer.read()

    async with asyncio.TaskGroup() as group:
        while rate:
            group.create_task(call())
            await asyncio.sleep(1 / rate)
        await asyncio.sleep(0)


async def token_streams() -> list[Slope]:
    """Measure entry and sidecar against streams with one token every 28 ms."""
    entry_points, sidecar_points = [], []
    async with Cluster(deployment(max_running=128)) as cluster:
        for count in (0, 10, 20, 40, 80):
            async with AsyncExitStack() as stack:
                counters = []
                for number in range(count):
                    counter = await stack.enter_async_context(
                        open_stream(cluster, number)
                    )
                    counters.append(counter)
                await asyncio.sleep(SETTLE_S)
                before = sum(counter.chunks for counter in counters)
                entry, sidecar = await asyncio.gather(
                    measure_usage(_pid(cluster, ENTRY), WINDOW_S),
                    measure_usage(_pid(cluster, SIDECAR), WINDOW_S),
                )
                chunks = sum(counter.chunks for counter in counters) - before
            per_s = chunks / entry.seconds
            entry_points.append(_point(count, entry, events=per_s))
            sidecar_points.append(_point(count, sidecar, events=per_s))
    return [
        fit_slope("entry, by token streams", "streams", entry_points),
        fit_slope("sidecar, by token streams", "streams", sidecar_points),
    ]


SERIES: dict[str, Callable[[], Awaitable[list[Slope]]]] = {
    "sidecar-streams": sidecar_streams,
    "sidecar-offers": sidecar_offers,
    "entry-streams": entry_streams,
    "customers": customers,
    "settings-changes": settings_changes,
    "requests": requests,
    "token-streams": token_streams,
}
