"""Tests of the store's client and of an entry whose store fails."""

import asyncio

import pytest

from skylarkdoor_platform._store import PlatformStore
from skylarkdoord.direct.exceptions import HistoryLostError, StoreError

from ._standins import Entry, Server, config, reply, route, server_row


@pytest.fixture
async def client(store):
    """Return a client of the store."""
    client = PlatformStore(store.address)
    yield client
    await client.close()


class TestClient:
    """`PlatformStore`."""

    async def test_read(self, store, client):
        """A read returns all rows, the store version and its clock."""
        await store.put("servers", "i-1", {"a": 1})
        await store.put("servers", "i-2", None)
        rows = await client.read("upstreams")
        assert [(row.key, row.data) for row in rows.rows] == [("i-1", b'{"a": 1}')]
        assert rows.version == store.version
        assert rows.clock_s == 1.5

    async def test_changes(self, store, client):
        """A change is returned as soon as it is made; a removed row has no data."""
        version = (await client.read("upstreams")).version
        task = asyncio.create_task(client.changes("upstreams", version, wait_s=5))
        await asyncio.sleep(0.05)
        await store.put("servers", "i-1", None)
        (row,) = (await task).rows
        assert (row.key, row.data) == ("i-1", None)

    async def test_no_changes(self, client):
        """No rows are returned if nothing changes within the wait."""
        assert (await client.changes("upstreams", 1, wait_s=0.05)).rows == ()

    async def test_put(self, client):
        """A written row can be read."""
        assert await client.put("members", "edge-1", b"address") == 1.5
        (row,) = (await client.read("members")).rows
        assert (row.key, row.data) == ("edge-1", b"address")

    async def test_remove(self, client):
        """A removal of another version leaves the row as it is."""
        await client.put("members", "edge-1", b"former")
        (former,) = (await client.read("members")).rows
        await client.put("members", "edge-1", b"address")
        await client.remove("members", "edge-1", former.version)
        (row,) = (await client.read("members")).rows
        assert row.data == b"address"
        await client.remove("members", "edge-1", row.version)
        assert (await client.read("members")).rows == ()

    @pytest.mark.parametrize("status", [429, 503, 500])
    async def test_refused(self, store, client, status):
        """A status other than 200 raises an error that contains it."""
        store.status = status
        with pytest.raises(StoreError, match=str(status)):
            await client.read("config")

    async def test_history_lost(self, store, client):
        """A lost history raises an error of its own."""
        store.is_history_lost = True
        with pytest.raises(HistoryLostError):
            await client.changes("config", 1, wait_s=1)

    async def test_malformed_contents(self, store, client):
        """Contents that are not base64 are returned empty."""
        await store.put("servers", "i-1", b"one")
        rows = store.rows("servers")
        rows[0]["data"] = "%%%"
        store.rows = lambda table, since=-1: rows
        (row,) = (await client.read("upstreams")).rows
        assert row.data == b""

    async def test_unreachable(self, client, store):
        """An unreachable store raises an error."""
        await store.runner.cleanup()
        with pytest.raises(StoreError):
            await client.read("config")


class TestEntry:
    """An entry whose store fails."""

    async def test_not_ready_without_store(self, store):
        """An entry without a configuration is not ready and refuses requests."""
        store.status = 503
        async with Entry(store) as entry:
            client = entry.kernel.services["callers"].dependencies.client.session
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

    async def test_serves_during_outage(self, store, start):
        """Cached rows stay in use during an outage; changes are applied after it."""
        async with Server(reply(b"one")) as one, Server(reply(b"two")) as two:
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

    async def test_malformed_rows(self, store, start):
        """Malformed rows do not affect the others."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                await store.put("servers", "i-8", b"\xff")
                await store.put("servers", "i-9", {"state": "ready"})
                await store.put("op", "config", b"{}")
                await store.put("op", "other", {"version": 99})
                fleet = caller.entry.kernel.services["fleet"].fleet
                await caller.entry.until(lambda: "i-9" in fleet.cached_rows)
                assert (await caller.get())[0] == 200

    async def test_new_configuration(self, store, start):
        """A newer configuration is applied; an older one is ignored."""
        async with Server(reply()) as server:
            async with start([route()], [server]) as caller:
                await store.put("op", "config", config(route("new"), version=9))
                fleet = caller.entry.kernel.services["fleet"].fleet
                await caller.entry.until(lambda: fleet.table.config.version == 9)
                await store.put("op", "config", config(route(), version=3))
                await asyncio.sleep(0.2)
                assert (await caller.get("/new/1"))[0] == 200
                assert (await caller.get("/desk/1"))[0] == 404

    async def test_draining_server(self, store, start):
        """A draining server gets no new requests."""
        async with Server(reply(b"one")) as one, Server(reply(b"two")) as two:
            async with start([route()], [one, two]) as caller:
                draining = server_row(one, state="draining")
                await store.put("servers", "i-0", draining)
                fleet = caller.entry.kernel.services["fleet"].fleet
                await caller.entry.until(
                    lambda: len(list(fleet.upstreams("desk"))) == 1
                )
                for _ in range(5):
                    assert (await caller.get())[2] == b"two"


class TestLateRemoval:
    """A store that carries out a removal seconds after the call."""

    # Guards against an entry that others don't find, as its row was removed for its
    # former incarnation.
    async def test_written_again(self, store):
        """The row of the next incarnation stays."""
        late = []
        original = store.commit

        async def remove_late(request):
            if (await request.json()).get("remove"):
                late.append(request)
                return store.answer([])
            return await original(request)

        store.on_commit = remove_late
        async with Entry(store, "edge-1") as entry:
            await entry.until(lambda: entry.kernel.services["entries"].has_joined)
        members = store.tables["skylarkdoor-members"]
        _, former = members["edge-1"]
        async with Entry(store, "edge-1") as entry:
            await entry.until(lambda: members["edge-1"][1] > former)
            assert late
            for request in late:
                await original(request)
            data, _ = members["edge-1"]
            assert data is not None
