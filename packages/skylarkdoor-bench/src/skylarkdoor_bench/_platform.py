"""Client of the platform stand-in: settings rows, instances and faults."""

import json
import uuid
from collections.abc import Mapping
from typing import Any, TypedDict

import aiohttp

from skylarkdoor.clients import EtcdTable, Put, Txn
from skylarkdoor.settings import FLEET_PATH, ProcessSettings, team_path, to_plain
from skylarkdoor_bench._deployments import Deployment

SETTINGS_PREFIX = "settings"
_AUTHOR = "launcher"


class Labels(TypedDict, total=False):
    """Labels of an instance in the platform's instance list."""

    instance: str
    role: str
    data_centre: str
    pool: str
    state: str
    http: str
    rpc: str


class PlatformControl:
    """Controls the platform stand-in over HTTP.

    Args:
        session: HTTP session used for all requests.
        url: Base URL of the platform.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str):
        self.session = session
        self.url = url

    async def seed_settings(self, deployment: Deployment) -> None:
        """Write the first revision of every subtree of the settings."""
        documents = {FLEET_PATH: to_plain(deployment.fleet)}
        for name, team in deployment.teams.items():
            documents[team_path(name)] = to_plain(team)
        writes = tuple(
            Put(f"{SETTINGS_PREFIX}{path}", _settings_row(document))
            for path, document in documents.items()
        )
        await EtcdTable(self.session, [self.url]).commit([Txn(writes=writes)])

    async def register(self, role: str, settings: ProcessSettings) -> None:
        """Add an instance to the instance list as live."""
        labels = Labels(
            instance=settings.instance,
            role=role,
            data_centre=settings.data_centre,
            pool=settings.upstream.pool if settings.upstream else "",
            state="live",
            http=settings.listen.internal,
            rpc=settings.listen.rpc or "",
        )
        group = {"targets": [settings.listen.internal], "labels": labels}
        await self._send("POST", "/sd/instances", group)

    async def set_state(self, instance: str, state: str) -> None:
        """List an instance as ``live`` or ``leaving``."""
        await self._send("PATCH", f"/sd/instances/{instance}", Labels(state=state))

    async def deregister(self, instance: str) -> None:
        """Remove an instance from the instance list."""
        await self._send("DELETE", f"/sd/instances/{instance}", None)

    async def fault(self, service: str, mode: str, **settings: float) -> None:
        """Set the fault of a service.

        Args:
            service: ``table``, ``objects``, ``list`` or ``weights``.
            mode: Kind of fault; ``ok`` for none.
            settings: Further settings of the fault.
        """
        await self._send("POST", "/faults", {service: {"mode": mode, **settings}})

    async def stats(self) -> dict[str, dict[str, int]]:
        """Return the statistics of each service of the platform."""
        async with self.session.get(f"{self.url}/stats") as response:
            response.raise_for_status()
            counts: dict[str, dict[str, int]] = await response.json()
            return counts

    async def _send(
        self, method: str, path: str, body: Mapping[str, Any] | None
    ) -> None:
        async with self.session.request(
            method, f"{self.url}{path}", json=body
        ) as response:
            response.raise_for_status()


def _settings_row(document: object) -> bytes:
    row = {
        "revision": 1,
        "operation": uuid.uuid4().hex,
        "author": _AUTHOR,
        "document": document,
    }
    return json.dumps(row).encode()
