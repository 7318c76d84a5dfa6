"""The platform's HTTP side: services, faults and counts."""

import asyncio

import aiohttp
import pytest

KEY = "YQ=="
PUT = {"key": KEY, "value": "MQ=="}
GROUP = {"targets": ["127.0.0.1:1"], "labels": {"instance": "i", "state": "live"}}


async def fault(platform, service: str, **settings):
    """Set the fault of a service."""
    response = await platform.post("/faults", json={service: settings})
    assert response.status == 200


async def fault_is_met(platform):
    """Wait until the one request that the table's fault is for has come."""
    mode = None
    while mode != "ok":
        mode = (await (await platform.get("/faults")).json())["table"]["mode"]


async def read_row(platform):
    """Return the row of the key, or None."""
    response = await platform.post("/v3/kv/range", json={"key": KEY})
    return (await response.json()).get("kvs", [None])[0]


class TestTable:
    """The table over HTTP."""

    async def test_put_and_range(self, platform):
        """A row written is read back."""
        await platform.post("/v3/kv/put", json=PUT)
        assert (await read_row(platform))["value"] == "MQ=="

    async def test_delete_range(self, platform):
        """A row deleted is gone."""
        await platform.post("/v3/kv/put", json=PUT)
        await platform.post("/v3/kv/deleterange", json={"key": KEY})
        assert await read_row(platform) is None

    async def test_invalid(self, platform):
        """An invalid request has etcd's form of an error."""
        response = await platform.post("/v3/kv/range", json={})
        assert response.status == 400
        assert (await response.json())["code"] == 3


class TestObjects:
    """The object store over HTTP."""

    async def test_round_trip(self, platform):
        """An object is read back under its ETag."""
        written = await platform.put("/objects/a/b", data=b"data")
        read = await platform.get("/objects/a/b")
        assert await read.read() == b"data"
        assert read.headers["ETag"] == written.headers["ETag"]
        assert (await platform.head("/objects/a/b")).status == 200

    async def test_delete(self, platform):
        """A deleted object is gone."""
        await platform.put("/objects/a", data=b"data")
        await platform.delete("/objects/a")
        assert (await platform.get("/objects/a")).status == 404

    async def test_conditional_write(self, platform):
        """A write on condition is refused where the object is another."""
        first = await platform.put("/objects/a", data=b"1")
        tag = {"If-Match": first.headers["ETag"]}
        create = {"If-None-Match": "*"}
        again = await platform.put("/objects/a", data=b"2", headers=create)
        changed = await platform.put("/objects/a", data=b"2", headers=tag)
        stale = await platform.put("/objects/a", data=b"3", headers=tag)
        assert [again.status, changed.status, stale.status] == [412, 200, 412]

    async def test_conditional_read(self, platform):
        """A reader that holds the object is told so."""
        written = await platform.put("/objects/a", data=b"1")
        headers = {"If-None-Match": written.headers["ETag"]}
        assert (await platform.get("/objects/a", headers=headers)).status == 304


class TestInstances:
    """The instance list over HTTP."""

    async def states(self, platform):
        """Return the state of each instance listed."""
        groups = await (await platform.get("/sd/instances")).json()
        return {
            group["labels"]["instance"]: group["labels"]["state"] for group in groups
        }

    async def test_life(self, platform):
        """An instance is listed, leaves and is gone."""
        await platform.post("/sd/instances", json=GROUP)
        assert await self.states(platform) == {"i": "live"}
        await platform.patch("/sd/instances/i", json={"state": "leaving"})
        assert await self.states(platform) == {"i": "leaving"}
        await platform.delete("/sd/instances/i")
        assert await self.states(platform) == {}

    async def test_unknown(self, platform):
        """The state of an instance not listed can't be changed."""
        response = await platform.patch("/sd/instances/i", json={"state": "leaving"})
        assert response.status == 404

    async def test_stale(self, platform):
        """A stale list stays as it was when the fault was set."""
        await platform.post("/sd/instances", json=GROUP)
        await fault(platform, "list", mode="stale")
        await platform.delete("/sd/instances/i")
        assert await self.states(platform) == {"i": "live"}
        await fault(platform, "list", mode="ok")
        assert await self.states(platform) == {}


class TestWeights:
    """The weight store over HTTP."""

    async def test_limit(self, platform):
        """Fetches over the rate are refused with a time to come back."""
        answers = [await platform.get("/weights/m") for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 429]
        assert int(answers[-1].headers["Retry-After"]) >= 1


class TestFaults:
    """Faults of the table, which stand for those of every service."""

    async def test_down(self, platform):
        """While down, a write is refused and not applied."""
        await fault(platform, "table", mode="down")
        assert (await platform.post("/v3/kv/put", json=PUT)).status == 503
        await fault(platform, "table", mode="ok")
        assert await read_row(platform) is None

    async def test_closed(self, platform):
        """A closed connection means here that nothing was applied."""
        await fault(platform, "table", mode="closed", count=1)
        with pytest.raises(aiohttp.ClientError):
            await platform.post("/v3/kv/put", json=PUT)
        assert await read_row(platform) is None

    async def test_lost_ack(self, platform):
        """The next writes are applied without an answer; reads go on."""
        await fault(platform, "table", mode="lost_ack", count=1)
        assert await read_row(platform) is None
        with pytest.raises(aiohttp.ClientError):
            await platform.post("/v3/kv/put", json=PUT)
        assert await read_row(platform) is not None
        assert (await platform.post("/v3/kv/put", json=PUT)).status == 200

    async def test_hang(self, platform):
        """A request that hangs ends without an answer once the fault is cleared."""
        await fault(platform, "table", mode="hang", count=1)
        write = asyncio.create_task(platform.post("/v3/kv/put", json=PUT))
        await fault_is_met(platform)
        await fault(platform, "table", mode="ok")
        with pytest.raises(aiohttp.ClientError):
            await write
        assert await read_row(platform) is None

    @pytest.mark.parametrize("mode", ["slow", "late"])
    async def test_delayed(self, platform, mode):
        """A delayed write is answered and applied."""
        await fault(platform, "table", mode=mode, delay_s=0.01)
        assert (await platform.post("/v3/kv/put", json=PUT)).status == 200
        assert await read_row(platform) is not None

    async def test_late_is_applied_at_once(self, platform):
        """A late write is applied before its answer."""
        await fault(platform, "table", mode="late", delay_s=3600, count=1)
        write = asyncio.create_task(platform.post("/v3/kv/put", json=PUT))
        await fault_is_met(platform)
        assert await read_row(platform) is not None
        assert not write.done()
        write.cancel()

    async def test_stale(self, platform):
        """Stale reads miss what was written since; writes go on."""
        await fault(platform, "table", mode="stale")
        await platform.post("/v3/kv/put", json=PUT)
        assert await read_row(platform) is None
        await fault(platform, "table", mode="ok")
        assert await read_row(platform) is not None

    @pytest.mark.parametrize("body", [{"table": {"mode": "odd"}}, {"odd": {}}, []])
    async def test_bad_fault(self, platform, body):
        """A fault that there is not is refused."""
        assert (await platform.post("/faults", json=body)).status == 400


class TestStats:
    """Counts of requests."""

    async def test_counts(self, platform):
        """Reads, writes and refusals are counted by service."""
        await platform.post("/v3/kv/put", json=PUT)
        await read_row(platform)
        await platform.post("/v3/kv/txn", json={"success": [{"requestPut": PUT}]})
        await fault(platform, "table", mode="down")
        await platform.post("/v3/kv/put", json=PUT)
        table = (await (await platform.get("/stats")).json())["table"]
        assert (table["writes"], table["reads"], table["refused"]) == (2, 1, 1)
        assert table["bytes_in"] > 0
        assert table["bytes_out"] > 0
