"""The plain service's HTTP side."""

import hashlib

import aiohttp
import pytest
from aiohttp.test_utils import TestClient, TestServer

from skylarkdoor_standins.service import create_app

HEADERS = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}


@pytest.fixture
async def service():
    """Return a client of a fast service."""
    server = TestServer(create_app(latency_s=0.0, concurrency=4))
    async with TestClient(server) as client:
        yield client


async def executions(service):
    """Return the runs that the service has recorded."""
    return (await (await service.get("/stats")).json())["executions"]


class TestAnswers:
    """Answers without faults."""

    @pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
    async def test_echo(self, service, method):
        """Any call is answered with its path, body hash and number."""
        response = await service.request(
            method, "/a/b?c=1", data=b"body", headers=HEADERS
        )
        assert await response.json() == {
            "execution": 1,
            "method": method,
            "path": "/a/b?c=1",
            "request_id": "r1",
            "idempotency_key": "k1",
            "body_sha256": hashlib.sha256(b"body").hexdigest(),
        }
        assert response.headers["X-Request-Id"] == "r1"

    async def test_recorded(self, service):
        """Each run is recorded, also of a call sent twice."""
        for _ in range(2):
            await service.post("/a", headers=HEADERS)
        found = await executions(service)
        assert [item["execution"] for item in found] == [1, 2]
        assert {item["idempotency_key"] for item in found} == {"k1"}


class TestFaults:
    """Faults on demand."""

    async def test_cut(self, service):
        """A cut answer has no clean end, and the call was run."""
        await service.post("/faults", json={"mode": "cut", "count": 1})
        with pytest.raises(aiohttp.ClientError):
            await (await service.get("/a")).read()
        assert len(await executions(service)) == 1
        assert (await service.get("/a")).status == 200

    async def test_error(self, service):
        """An error is answered after the call was run."""
        await service.post("/faults", json={"mode": "error"})
        assert (await service.get("/a")).status == 500
        assert len(await executions(service)) == 1

    async def test_slow(self, service):
        """A slow call is answered all the same."""
        await service.post("/faults", json={"mode": "slow", "delay_s": 0.01})
        assert (await service.get("/a")).status == 200

    async def test_unknown(self, service):
        """A fault that there is not is refused."""
        response = await service.post("/faults", json={"mode": "dance"})
        assert response.status == 400
