"""Fixture that runs the operators' API and the platform stand-in in one process."""

import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import pytest
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from skylarkdoor.clients import Put, Txn
from skylarkdoor.hashing import key_hash
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import (
    Listen,
    PlatformAddresses,
    ProcessSettings,
)
from skylarkdoor_standins import platform
from skylarkdoord.admin import AdminService
from skylarkdoord.common import InternalServer, Platform, SettingsService, TlsService

DEPLOYMENT_TOKEN = "deployment-token"
SEED_TOKEN = "seed-token"
CUSTOMER = {"key_hashes": ["a" * 64], "tier": "lookup", "pools": ["assistant"]}
FLEET = {
    "tiers": {"lookup": {"rank": 0}, "batch": {"rank": 1}},
    "pools": {
        "assistant": {"kind": "model", "models": ["garden-7b"]},
        "registry": {"kind": "service"},
    },
    "operators": {
        "seed-team": {
            "token_hashes": [key_hash(SEED_TOKEN)],
            "scope": "/teams/seed",
        }
    },
}


class Answer(NamedTuple):
    """A response of the API."""

    status: int
    body: Any
    headers: Any


class Admin:
    """Client of the operators' API."""

    def __init__(self, session: ClientSession, url: str, kernel: Kernel):
        self.session = session
        self.platform_url = url
        internal = kernel.find("internal", InternalServer)
        assert internal.runner is not None
        host, port = internal.runner.addresses[0]
        self.url = f"http://{host}:{port}"
        self.settings = kernel.find("settings", SettingsService)
        self.table = kernel.find("platform", Platform).table

    async def call(
        self, method: str, path: str, *, token: str = DEPLOYMENT_TOKEN, **options: Any
    ) -> Answer:
        """Send a request with an operator's token."""
        headers = {"Authorization": f"Bearer {token}", **options.pop("headers", {})}
        async with self.session.request(
            method, f"{self.url}/admin{path}", headers=headers, **options
        ) as answer:
            return Answer(answer.status, await answer.json(), answer.headers)

    async def put(
        self, path: str, document: Any, *, expect: int | None = None, **options: Any
    ) -> Answer:
        """Set the value at a settings path."""
        body = {"document": document, "expect_revision": expect}
        return await self.call("PUT", f"/settings{path}", json=body, **options)

    async def get(self, path: str, **options: Any) -> Answer:
        """Read the value at a settings path."""
        return await self.call("GET", f"/settings{path}", **options)

    async def fault(self, service: str, mode: str, **fields: Any) -> None:
        """Inject a fault into a service of the platform."""
        async with self.session.post(
            f"{self.platform_url}/faults", json={service: {"mode": mode, **fields}}
        ) as answer:
            answer.raise_for_status()


@pytest.fixture
async def admin() -> AsyncIterator[Admin]:
    """Return a client of the API, with settings of the fleet and of one team."""
    async with TestServer(platform.create_app()) as standin:
        url = str(standin.make_url("")).rstrip("/")
        addresses = PlatformAddresses((url,), url, url, url)
        settings = ProcessSettings(
            "entry-1",
            "teika",
            Listen("127.0.0.1:0"),
            addresses,
            operator_token_hashes=(key_hash(DEPLOYMENT_TOKEN),),
        )
        kernel = Kernel()
        kernel.register(TlsService(settings))
        kernel.register(Platform(addresses))
        kernel.register(SettingsService())
        kernel.register(AdminService(settings, on_accepted=lambda: None))
        kernel.register(InternalServer(settings, requires=("admin",)))
        await kernel.start()
        async with ClientSession() as session:
            api = Admin(session, url, kernel)
            row = {"revision": 1, "document": FLEET}
            write = Put("settings/fleet", json.dumps(row).encode())
            await api.table.commit([Txn(writes=(write,))])
            await api.settings.poll.read_all()
            answer = await api.put("/teams/seed", {"customers": {"desk": CUSTOMER}})
            assert answer.status == 200, answer.body
            yield api
        await kernel.stop()
