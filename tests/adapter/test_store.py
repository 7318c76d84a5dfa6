"""The store's client and an entry whose store misbehaves."""

import asyncio

import pytest

from skylarkdoor_platform._store import PlatformStore
from skylarkdoord.direct.exceptions import HistoryLostError, StoreError

from ._standins import Entry, Server, config, route, server_row, whole


@pytest.fixture
async def client(store):
    """Return a client of the store."""
    client = PlatformStore(store.address)
    yield client
    await client.close()


class TestClient:
    """`PlatformStore`."""

    async def test_read(self, store, client):
        """All rows come, with the version of the reading."""
        await store.put("servers", "i-1", {"a": 1})
        await store.put("servers", "i-2", None)
        rows = await client.read("upstreams")
        assert [(row.key, row.data) for row in rows.rows] == [("i-1", b'{"a": 1}')]
        assert rows.version == store.version
        assert rows.clock_s == 1.5

    async def test_changes(self, store, client):
        """Changes come as soon as there are some; removed rows without data."""
        version = (await client.read("upstreams")).version
        task = asyncio.create_task(client.changes("upstreams", version, wait_s=5))
        await asyncio.sleep(0.05)
        await store.put("servers", "i-1", None)
        (row,) = (await task).rows
        assert (row.key, row.data) == ("i-1", None)

    async def test_no_changes(self, client):
        """After the wait there is nothing."""
        assert (await client.changes("upstreams", 1, wait_s=0.05)).rows == ()

    async def test_put(self, client):
        """What is written can be read."""
        assert await client.put("members", "edge-1", b"address") == 1.5
        (row,) = (await client.read("members")).rows
        assert (row.key, row.data) == ("edge-1", b"address")

    @pytest.mark.parametrize("status", [429, 503, 500])
    async def test_refused(self, store, client, status):
        """A status other than 200 is an error that names it."""
        store.status = status
        with pytest.raises(StoreError, match=str(status)):
            await client.read("config")

    async def test_history_lost(self, store, client):
        """A lost history is told apart."""
        store.is_history_lost = True
        with pytest.raises(HistoryLostError):
            await client.changes("config", 1, wait_s=1)

    async def test_unreadable_contents(self, store, client):
        """Contents that are no base64 come as nothing readable; others hold."""
        await store.put("servers", "i-1", b"one")
        rows = store.rows("servers")
        rows[0]["data"] = "%%%"
        store.rows = lambda table, since=-1: rows
        (row,) = (await client.read("upstreams")).rows
        assert row.data == b""

    async def test_unreachable(self, client, store):
        """A store that is not there is an error, in bounded time."""
        await store.runner.cleanup()
        with pytest.raises(StoreError):
            await client.read("config")


class TestEntry:
    """An entry whose store misbehaves."""

    async def test_not_ready_without_store(self, store):
        """An entry that knows no configuration is not ready and runs nothing."""
        store.status = 503
        async with Entry(store) as entry:
            client = entry.kernel.services["callers"].parts.client.session
            ready = f"http://{entry.settings.listen.ready}/readiness"
            async with client.get(ready) as answer:
                assert answer.status == 503
            async with client.get(entry.url + "/desk/1") as answer:
                assert answer.status == 503
                assert float(answer.headers["Retry-After"]) > 0
            store.status = 200
            await store.put("op", "config", config(route()))
            await entry.until(lambda: entry.kernel.services["fleet"].fleet.routing)
            async with client.get(ready) as answer:
                assert answer.status == 200

    async def test_serves_in_an_outage(self, store, start):
        """What was known stays in use while the store is down, and follows after."""
        async with Server(whole(b"one")) as one, Server(whole(b"two")) as two:
            async with start([route()], [one]) as caller:
                store.status = 503
                await asyncio.sleep(0.1)
                assert (await caller.get())[2] == b"one"
                store.status = 200
                await store.put("servers", "i-0", None)
                await store.put("servers", "i-9", server_row(two))
                await caller.entry.until_serving(1)

                async def served_by_two():
                    while (await caller.get())[2] != b"two":
                        await asyncio.sleep(0.02)

                async with asyncio.timeout(10):
                    await served_by_two()

    async def test_spoilt_rows(self, store, start):
        """Rows that can't be read take nothing else down."""
        async with Server(whole()) as server:
            async with start([route()], [server]) as caller:
                await store.put("servers", "i-8", b"\xff")
                await store.put("servers", "i-9", {"state": "ready"})
                await store.put("op", "config", b"{}")
                await store.put("op", "other", {"version": 99})
                fleet = caller.entry.kernel.services["fleet"].fleet
                await caller.entry.until(lambda: "i-9" in fleet.cached_rows)
                assert (await caller.get())[0] == 200

    async def test_new_configuration(self, store, start):
        """A new configuration is in force soon; an old one never again."""
        async with Server(whole()) as server:
            async with start([route()], [server]) as caller:
                await store.put("op", "config", config(route("new"), version=9))
                fleet = caller.entry.kernel.services["fleet"].fleet
                await caller.entry.until(lambda: fleet.table.config.version == 9)
                await store.put("op", "config", config(route(), version=3))
                await asyncio.sleep(0.2)
                assert (await caller.get("/new/1"))[0] == 200
                assert (await caller.get("/desk/1"))[0] == 404

    async def test_leaving_server(self, store, start):
        """A server that is leaving gets no new work."""
        async with Server(whole(b"one")) as one, Server(whole(b"two")) as two:
            async with start([route()], [one, two]) as caller:
                leaving = server_row(one, state="draining")
                await store.put("servers", "i-0", leaving)
                fleet = caller.entry.kernel.services["fleet"].fleet
                await caller.entry.until(
                    lambda: len(list(fleet.upstreams("desk"))) == 1
                )
                for _ in range(5):
                    assert (await caller.get())[2] == b"two"
