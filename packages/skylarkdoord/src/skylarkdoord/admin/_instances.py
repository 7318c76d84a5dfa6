"""Calls to the instances for operators: status and drain."""

import asyncio
from typing import Any

import aiohttp

from skylarkdoor import bounded_http
from skylarkdoor.clients import InstanceList, InstanceRecord, PlatformError
from skylarkdoord.admin.exceptions import AbsentError, UnreachableError
from skylarkdoord.common import TlsService

MAX_CONCURRENT_CALLS = 16
CALL_TIMEOUT_S = 2.0


class InstanceClient:
    """Calls instances, only those on the platform's instance list.

    Args:
        instance_list: Client of the platform's instance list.
        tls: TLS contexts of the connections.
    """

    def __init__(self, instance_list: InstanceList, tls: TlsService) -> None:
        self.instance_list = instance_list
        self.tls = tls
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = bounded_http.open_session(timeout=timeout)

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def statuses(self) -> list[dict[str, Any]]:
        """Return the record and the reported status of each listed instance.

        Raises:
            UnreachableError: The instance list cannot be read.
        """
        records = await self._fetch()
        return list(await asyncio.gather(*(self._status(r) for r in records)))

    async def drain(self, instance: str, authorization: str) -> dict[str, Any]:
        """Tell an instance to stop accepting new work.

        Args:
            instance: Name of the instance on the list.
            authorization: The operator's `Authorization` header, which the instance
                checks again.

        Raises:
            AbsentError: The instance is not on the list.
            UnreachableError: The list cannot be read, or the instance did not
                answer with status 200.
        """
        for record in await self._fetch():
            if record.instance == instance:
                return await self._post_drain(record, authorization)
        raise AbsentError(f"instance {instance!r} is not on the instance list")

    async def _fetch(self) -> list[InstanceRecord]:
        try:
            return await self.instance_list.fetch()
        except PlatformError as error:
            raise UnreachableError(f"instance list cannot be read: {error}") from None

    async def _status(self, record: InstanceRecord) -> dict[str, Any]:
        url = f"{self.tls.url(record.http)}/status"
        tls = self.tls.request_arguments(record.instance)
        result: dict[str, Any] = {**record._asdict(), "status": None, "error": None}
        try:
            async with self.slots:
                async with self.session.get(url, **tls) as answer:
                    result["status"] = await bounded_http.read_json(answer)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            result["error"] = repr(error)
        return result

    async def _post_drain(
        self, record: InstanceRecord, authorization: str
    ) -> dict[str, Any]:
        url = f"{self.tls.url(record.http)}/internal/drain"
        tls = self.tls.request_arguments(record.instance)
        headers = {"Authorization": authorization}
        try:
            async with self.session.post(url, headers=headers, **tls) as answer:
                if answer.status != 200:
                    raise UnreachableError(
                        f"{record.instance} answered with status {answer.status}"
                    )
                return await bounded_http.read_json(answer)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise UnreachableError(f"{record.instance}: {error!r}") from None
