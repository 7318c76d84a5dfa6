"""Tests of an entry whose store comes back from an older copy."""

import asyncio
import contextlib

import pytest

from skylarkdoor_platform._store import PlatformStore
from skylarkdoord.direct import _exchange
from skylarkdoord.direct.exceptions import StoreError

from ._standins import Entry, Server, config, reply, route, server_row

OTHER = route("other")
MEMBERS = "skylarkdoor-members"


@pytest.fixture(autouse=True)
def stated_era(store):
    """Let the store state its era."""
    store.era = 3


@pytest.fixture
async def client(store):
    """Return a client of the store."""
    client = PlatformStore(store.address)
    yield client
    await client.close()


def fleet_of(caller):
    """Return the fleet of a caller's entry."""
    return caller.entry.kernel.services["fleet"].fleet


async def until_version(caller, version):
    """Wait until a configuration is in force."""
    fleet = fleet_of(caller)
    await caller.entry.until(lambda: fleet.table.config.version == version)


async def until_era(caller, era):
    """Wait until the entry has read the tables of an era."""
    fleet = fleet_of(caller)
    await caller.entry.until(lambda: fleet.upstreams_at.era == era)


class TestClient:
    """`PlatformStore` with eras."""

    async def test_new_era(self, store, client):
        """A new era is reported once, by whatever call shows it first."""
        reported = []
        client.era.listeners.append(lambda: reported.append(client.era.number))
        await client.read("config")
        assert reported == []
        store.era = 4
        await client.put("members", "edge-1", b"address")
        assert (await client.read("config")).era == 4
        assert reported == [4]

    async def test_error(self, store, client):
        """An error response shows a new era as well."""
        await client.read("config")
        store.era, store.status = 4, 503
        with pytest.raises(StoreError):
            await client.read("config")
        assert client.era.number == 4

    async def test_earlier_era(self, store, client):
        """A response of an earlier era is discarded."""
        await client.read("config")
        store.era = 2
        with pytest.raises(StoreError, match="era 2 after era 3"):
            await client.read("config")
        with pytest.raises(StoreError):
            await client.put("members", "edge-1", b"address")

    @pytest.mark.parametrize("value", [None, "", "x", "-1", "4.0", "9" * 40])
    async def test_malformed(self, store, client, value):
        """A response without a valid era is taken to be of the latest one."""
        await client.read("config")
        store.era = value
        assert (await client.read("config")).era == 3


class TestConfig:
    """The configuration in force."""

    # Guards against a configuration that is ignored because its row version is lower.
    async def test_written_again(self, start, store):
        """A configuration that is written after the copy comes into force."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            older = store.copy()
            for version in (4, 5, 6):
                await store.put("op", "config", config(route(), version=version))
            await until_version(caller, 6)
            await store.come_back(older)
            await store.put("op", "config", config(route(), OTHER, version=7))
            await until_version(caller, 7)
            assert (await caller.get("/other/1"))[0] == 200

    async def test_older_copy(self, start, store):
        """The configuration in force does not go back to the copy's."""
        async with Server(reply()) as server, start([OTHER], [server]) as caller:
            older = store.copy()
            await store.put("op", "config", config(route(), version=4))
            await until_version(caller, 4)
            await store.come_back(older)
            await until_era(caller, 4)
            assert (await caller.get("/other/1"))[0] == 404
            assert (await caller.get())[0] == 200

    # Guards against a watch that goes on at a version that was given out again.
    async def test_same_versions(self, start, store):
        """Changes of the new era below the version that was read are not missed."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            older = store.copy()
            await store.put("op", "config", config(route(), version=4))
            await until_version(caller, 4)
            store.status = 503
            await store.come_back(older)
            await store.put("op", "config", config(route(), OTHER, version=5))
            for number in range(5):
                await store.put("servers", f"x-{number}", None)
            store.status = 200
            await until_version(caller, 5)


class TestUpstreams:
    """The servers that requests are sent to."""

    # Guards against requests to a server that the copy lists as ready.
    @pytest.mark.parametrize("state", ["draining", None])
    async def test_left(self, start, store, state):
        """A server seen draining or gone stays so, whatever the copy says."""
        async with Server(reply()) as one, Server(reply()) as two:
            async with start([route()], [one, two]) as caller:
                fleet = fleet_of(caller)
                older = store.copy()
                row = state and server_row(one, state=state, sequence=2)
                await store.put("servers", "i-0", row)
                await caller.entry.until(lambda: len(list(fleet.upstreams("desk"))) < 2)
                await store.come_back(older)
                await until_era(caller, 4)
                for _ in range(8):
                    assert (await caller.get())[0] == 200
        assert not one.requests

    # Guards against a server that is ignored because its row version is lower.
    @pytest.mark.parametrize("changes", [{"sequence": 3}, {"born": 2}])
    async def test_newer_report(self, start, store, changes):
        """A later report of the server itself, or its next start, brings it back."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            fleet = fleet_of(caller)
            older = store.copy()
            row = server_row(server, state="draining", sequence=2)
            for _ in range(3):
                await store.put("servers", "i-0", row)
            await caller.entry.until(lambda: not list(fleet.upstreams("desk")))
            await store.come_back(older)
            await store.put("servers", "i-0", server_row(server, **changes))
            await caller.entry.until(lambda: list(fleet.upstreams("desk")))
            assert (await caller.get())[0] == 200

    async def test_written_again(self, start, store):
        """A server that the copy lacks stays in use and is written again."""
        async with Server(reply()) as server:
            older = store.copy()
            async with start([route()], [server]) as caller:
                fleet = fleet_of(caller)
                await store.come_back(older)
                await until_era(caller, 4)
                assert list(fleet.upstreams("desk"))
                await store.put("servers", "i-0", server_row(server, sequence=2))
                await caller.entry.until(lambda: not fleet.missing)
                assert (await caller.get())[0] == 200

    async def test_not_written_again(self, start, store):
        """A server that the copy lacks is gone after the grace period."""
        async with Server(reply()) as server:
            older = store.copy()
            async with start([route()], [server]) as caller:
                fleet = fleet_of(caller)
                await store.come_back(older)
                await caller.entry.until(lambda: not list(fleet.upstreams("desk")))

    # Guards against a server that stays unused because two copies lacked it.
    async def test_written_late(self, start, store):
        """A server that two copies lacked is used once it writes its row again."""
        async with Server(reply()) as server:
            older = store.copy()
            async with start([route()], [server]) as caller:
                fleet = fleet_of(caller)
                await store.come_back(older)
                await caller.entry.until(lambda: not list(fleet.upstreams("desk")))
                await store.come_back(older)
                await store.put("servers", "i-0", server_row(server))
                await caller.entry.until(lambda: list(fleet.upstreams("desk")))


class TestOwnRows:
    """The rows that entries write themselves."""

    # Guards against entries that later entries do not find.
    async def test_member(self, start, store):
        """An entry that starts after the copy finds the others."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            await caller.entry.until(lambda: "edge-1" in store.tables.get(MEMBERS, {}))
            older = ({}, 1)
            await store.come_back(older)
            await store.put("op", "config", config(route(), version=4))
            await caller.entry.until(lambda: "edge-1" in store.tables.get(MEMBERS, {}))
            async with Entry(store, "edge-2") as other:
                members = other.kernel.services["entries"].members
                await other.until(lambda: "edge-1" in members.by_name)

    # Guards against suspicions that only the store's lost rows contained.
    async def test_suspects(self, start, store):
        """Suspicions that the store lost are recorded again."""
        table = "skylarkdoor-suspects"
        async with Server(reply()) as server, start([route()], [server]) as caller:
            services = caller.entry.kernel.services
            crashes = services["callers"].dependencies.crashes
            older = store.copy()
            crashes.observe(7, ["1800000000/i-1/1/1"])
            await caller.entry.until(lambda: "edge-1" in store.tables.get(table, {}))
            await store.come_back(older)
            await caller.entry.until(lambda: "edge-1" in store.tables.get(table, {}))

    # Guards against an entry that registers again while it stops, and then fails with
    # its store's client closed.
    async def test_stopping(self, start, store, monkeypatch):
        """An entry that stops does not write its row again."""
        monkeypatch.setattr(_exchange.random, "uniform", lambda low, high: 0.1)
        async with Server(reply()) as server, start([route()], [server]) as caller:
            exchange = caller.entry.kernel.services["entries"]
            await caller.entry.until(lambda: store.tables.get(MEMBERS, {}))
            exchange.on_new_era()
            await exchange.stop()
            await asyncio.sleep(0.3)
            assert store.tables[MEMBERS]["edge-1"][0] is None

    async def test_twice(self, start, store):
        """The store may come back twice in a row, while it fails in between."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            older = store.copy()
            for version in (4, 5):
                await store.put("op", "config", config(route(), version=version))
                await until_version(caller, version)
                store.status = 503
                await store.come_back(older)
                await asyncio.sleep(0.05)
                store.status = 200
            with contextlib.suppress(KeyError):
                del store.tables["op"]
            await store.put("op", "config", config(route(), version=6))
            await until_version(caller, 6)
            assert (await caller.get())[0] == 200
