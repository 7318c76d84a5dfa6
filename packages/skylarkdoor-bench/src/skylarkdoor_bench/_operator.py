"""Client of the operators' API, which changes settings and drains instances."""

import asyncio
from collections.abc import Iterable
from typing import Any, NamedTuple

from skylarkdoor_bench._deployments import OPERATOR_TOKEN
from skylarkdoor_bench._launcher import Cluster

POLL_INTERVAL_S = 0.05
WAIT_TIMEOUT_S = 30.0


class OperatorAnswer(NamedTuple):
    """HTTP status and JSON body of an answer of the operators' API."""

    status: int
    body: Any


class Operator:
    """Calls the operators' API of one entry.

    Args:
        cluster: The running deployment.
        entry: Name of the entry.
    """

    def __init__(self, cluster: Cluster, entry: str):
        self.cluster = cluster
        self.url = cluster.daemons[entry].internal_url

    async def put(
        self, path: str, document: Any, *, expect_revision: int | None = None
    ) -> OperatorAnswer:
        """Replace the document at a settings path.

        Args:
            path: Path of the settings subtree.
            document: The new document.
            expect_revision: Revision that must be current for the change to apply;
                None to skip the check.
        """
        body = {"document": document, "expect_revision": expect_revision}
        return await self.call("PUT", f"/admin/settings{path}", body)

    async def drain(self, instance: str) -> OperatorAnswer:
        """Drain an instance, so that it accepts no further requests."""
        return await self.call("POST", f"/admin/drain/{instance}")

    async def call(self, method: str, path: str, body: Any = None) -> OperatorAnswer:
        """Send a request with the operator's token."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with self.cluster.session.request(
            method, f"{self.url}{path}", json=body, headers=headers
        ) as answer:
            return OperatorAnswer(answer.status, await answer.json())

    async def wait_revision_applied(
        self, path: str, revision: int, *, instances: Iterable[str] = ()
    ) -> None:
        """Wait until a subtree's revision is applied at instances, by default all.

        Raises:
            TimeoutError: An instance has not applied the revision after 30 s.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            for name in instances or self.cluster.daemons:
                while await self.revision(name, path) < revision:
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_snapshot(self, path: str, revision: int) -> None:
        """Wait until the snapshot in the object store contains a subtree's revision.

        Raises:
            TimeoutError: The snapshot lacks the revision after 30 s.
        """
        url = f"{self.cluster.platform.url}/objects/settings/snapshot.json"
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while await self._snapshot_revision(url, path) < revision:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _snapshot_revision(self, url: str, path: str) -> int:
        async with self.cluster.session.get(url) as answer:
            if answer.status != 200:
                return 0
            rows = (await answer.json(content_type=None))["rows"]
            return int(rows.get(path, {}).get("revision", 0))

    async def revision(self, instance: str, path: str) -> int:
        """Return the revision of a subtree that an instance has applied."""
        status = await self.cluster.status(instance)
        return int(status["settings"].get(path, 0))
