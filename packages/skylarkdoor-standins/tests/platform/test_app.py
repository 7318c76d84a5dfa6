"""Tests of the platform's HTTP API: services, fault injection and counters."""

import asyncio

import aiohttp
import pytest

KEY = "YQ=="
PUT = {"key": KEY, "value": "MQ=="}
GROUP = {"targets": ["127.0.0.1:1"], "labels": {"instance": "i", "state": "live"}}


async def set_fault(platform, service: str, **settings):
    """Set the fault of a service."""
    response = await platform.post("/faults", json={service: settings})
    assert response.status == 200


async def wait_until_fault_used(platform):
    """Poll until a fault of the table that affects one request has affected it."""
    mode = None
    while mode != "ok":
        mode = (await (await platform.get("/faults")).json())["table"]["mode"]


async def read_row(platform):
    """Return the row of `KEY`, or None if it does not exist."""
    response = await platform.post("/v3/kv/range", json={"key": KEY})
    return (await response.json()).get("kvs", [None])[0]


class TestTable:
    """The table over HTTP."""

    async def test_put_and_range(self, platform):
        """A written row can be read."""
        await platform.post("/v3/kv/put", json=PUT)
        assert (await read_row(platform))["value"] == "MQ=="

    async def test_delete_range(self, platform):
        """A deleted row does not exist any more."""
        await platform.post("/v3/kv/put", json=PUT)
        await platform.post("/v3/kv/deleterange", json={"key": KEY})
        assert await read_row(platform) is None

    async def test_invalid(self, platform):
        """An invalid request is refused with an error in etcd's format."""
        response = await platform.post("/v3/kv/range", json={})
        assert response.status == 400
        assert (await response.json())["code"] == 3


class TestObjects:
    """The object store over HTTP."""

    async def test_put_and_get(self, platform):
        """A read returns the object and the ETag that the write returned."""
        written = await platform.put("/objects/a/b", data=b"data")
        read = await platform.get("/objects/a/b")
        assert await read.read() == b"data"
        assert read.headers["ETag"] == written.headers["ETag"]
        assert (await platform.head("/objects/a/b")).status == 200

    async def test_delete(self, platform):
        """A deleted object does not exist any more."""
        await platform.put("/objects/a", data=b"data")
        await platform.delete("/objects/a")
        assert (await platform.get("/objects/a")).status == 404

    async def test_conditional_write(self, platform):
        """A conditional write is refused if the stored object does not match."""
        first = await platform.put("/objects/a", data=b"1")
        tag = {"If-Match": first.headers["ETag"]}
        create = {"If-None-Match": "*"}
        again = await platform.put("/objects/a", data=b"2", headers=create)
        changed = await platform.put("/objects/a", data=b"2", headers=tag)
        stale = await platform.put("/objects/a", data=b"3", headers=tag)
        assert [again.status, changed.status, stale.status] == [412, 200, 412]

    async def test_conditional_read(self, platform):
        """A read with the object's current ETag gets 304 Not Modified."""
        written = await platform.put("/objects/a", data=b"1")
        headers = {"If-None-Match": written.headers["ETag"]}
        assert (await platform.get("/objects/a", headers=headers)).status == 304


class TestInstances:
    """The instance list over HTTP."""

    async def states(self, platform):
        """Return the state of each listed instance."""
        groups = await (await platform.get("/sd/instances")).json()
        return {
            group["labels"]["instance"]: group["labels"]["state"] for group in groups
        }

    async def test_lifecycle(self, platform):
        """An instance can be registered, marked as draining and removed."""
        await platform.post("/sd/instances", json=GROUP)
        assert await self.states(platform) == {"i": "live"}
        await platform.patch("/sd/instances/i", json={"state": "leaving"})
        assert await self.states(platform) == {"i": "leaving"}
        await platform.delete("/sd/instances/i")
        assert await self.states(platform) == {}

    async def test_unknown(self, platform):
        """A state change of an instance that is not registered is refused."""
        response = await platform.patch("/sd/instances/i", json={"state": "leaving"})
        assert response.status == 404

    async def test_stale(self, platform):
        """With the stale fault, the list stays as it was when the fault was set."""
        await platform.post("/sd/instances", json=GROUP)
        await set_fault(platform, "list", mode="stale")
        await platform.delete("/sd/instances/i")
        assert await self.states(platform) == {"i": "live"}
        await set_fault(platform, "list", mode="ok")
        assert await self.states(platform) == {}


class TestWeights:
    """The weight store over HTTP."""

    async def test_limit(self, platform):
        """Fetches over the rate limit are refused with a Retry-After header."""
        answers = [await platform.get("/weights/m") for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 429]
        assert int(answers[-1].headers["Retry-After"]) >= 1


class TestFaults:
    """Fault injection into the table; the other services use the same code."""

    async def test_down(self, platform):
        """While the table is down, a write is refused and not applied."""
        await set_fault(platform, "table", mode="down")
        assert (await platform.post("/v3/kv/put", json=PUT)).status == 503
        await set_fault(platform, "table", mode="ok")
        assert await read_row(platform) is None

    async def test_closed(self, platform):
        """With the closed fault, the connection is aborted and nothing is applied."""
        await set_fault(platform, "table", mode="closed", count=1)
        with pytest.raises(aiohttp.ClientError):
            await platform.post("/v3/kv/put", json=PUT)
        assert await read_row(platform) is None

    async def test_lost_ack(self, platform):
        """An affected write is applied without a response; reads are unaffected."""
        await set_fault(platform, "table", mode="lost_ack", count=1)
        assert await read_row(platform) is None
        with pytest.raises(aiohttp.ClientError):
            await platform.post("/v3/kv/put", json=PUT)
        assert await read_row(platform) is not None
        assert (await platform.post("/v3/kv/put", json=PUT)).status == 200

    async def test_hang(self, platform):
        """A request that hangs ends without a response once the fault is cleared."""
        await set_fault(platform, "table", mode="hang", count=1)
        write = asyncio.create_task(platform.post("/v3/kv/put", json=PUT))
        await wait_until_fault_used(platform)
        await set_fault(platform, "table", mode="ok")
        with pytest.raises(aiohttp.ClientError):
            await write
        assert await read_row(platform) is None

    @pytest.mark.parametrize("mode", ["slow", "late"])
    async def test_delayed(self, platform, mode):
        """A delayed write is applied and gets a response."""
        await set_fault(platform, "table", mode=mode, delay_s=0.01)
        assert (await platform.post("/v3/kv/put", json=PUT)).status == 200
        assert await read_row(platform) is not None

    async def test_late_is_applied_at_once(self, platform):
        """With the late fault, a write is applied before the delay of its response."""
        await set_fault(platform, "table", mode="late", delay_s=3600, count=1)
        write = asyncio.create_task(platform.post("/v3/kv/put", json=PUT))
        await wait_until_fault_used(platform)
        assert await read_row(platform) is not None
        assert not write.done()
        write.cancel()

    async def test_stale(self, platform):
        """Stale reads do not return later writes; writes are still applied."""
        await set_fault(platform, "table", mode="stale")
        await platform.post("/v3/kv/put", json=PUT)
        assert await read_row(platform) is None
        await set_fault(platform, "table", mode="ok")
        assert await read_row(platform) is not None

    @pytest.mark.parametrize("body", [{"table": {"mode": "odd"}}, {"odd": {}}, []])
    async def test_bad_fault(self, platform, body):
        """An invalid fault is refused."""
        assert (await platform.post("/faults", json=body)).status == 400


class TestStats:
    """Counters of requests."""

    async def test_counts(self, platform):
        """Reads, writes and refusals are counted by service."""
        await platform.post("/v3/kv/put", json=PUT)
        await read_row(platform)
        await platform.post("/v3/kv/txn", json={"success": [{"requestPut": PUT}]})
        await set_fault(platform, "table", mode="down")
        await platform.post("/v3/kv/put", json=PUT)
        table = (await (await platform.get("/stats")).json())["table"]
        assert (table["writes"], table["reads"], table["refused"]) == (2, 1, 1)
        assert table["bytes_in"] > 0
        assert table["bytes_out"] > 0
