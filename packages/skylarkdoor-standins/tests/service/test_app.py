"""Tests of the service stand-in's HTTP API."""

import hashlib

import aiohttp
import pytest
from aiohttp.test_utils import TestClient, TestServer

from skylarkdoor_standins.service import create_app

HEADERS = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}


@pytest.fixture
async def service():
    """Yield an HTTP client for a service without latency."""
    server = TestServer(create_app(latency_s=0.0, concurrency=4))
    async with TestClient(server) as client:
        yield client


async def executions(service):
    """Return the executions that the service has recorded."""
    return (await (await service.get("/stats")).json())["executions"]


class TestResponses:
    """Responses without faults."""

    @pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
    async def test_echo(self, service, method):
        """The response to any request has its path, body digest and number."""
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
        """Each execution is recorded, even of a request that is sent twice."""
        for _ in range(2):
            await service.post("/a", headers=HEADERS)
        recorded = await executions(service)
        assert [item["execution"] for item in recorded] == [1, 2]
        assert {item["idempotency_key"] for item in recorded} == {"k1"}


class TestFaults:
    """Injected faults."""

    async def test_cut(self, service):
        """With the cut fault, the request is run and the response is truncated."""
        await service.post("/faults", json={"mode": "cut", "count": 1})
        with pytest.raises(aiohttp.ClientError):
            await (await service.get("/a")).read()
        assert len(await executions(service)) == 1
        assert (await service.get("/a")).status == 200

    async def test_error(self, service):
        """With the error fault, the request is run and the response is a 500."""
        await service.post("/faults", json={"mode": "error"})
        assert (await service.get("/a")).status == 500
        assert len(await executions(service)) == 1

    async def test_slow(self, service):
        """With the slow fault, the request still succeeds."""
        await service.post("/faults", json={"mode": "slow", "delay_s": 0.01})
        assert (await service.get("/a")).status == 200

    async def test_unknown(self, service):
        """An unknown fault mode is refused."""
        response = await service.post("/faults", json={"mode": "unknown"})
        assert response.status == 400
