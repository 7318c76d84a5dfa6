"""What operators see of the instances and tell them."""

import asyncio
from typing import Any

import aiohttp

from skylarkdoor.clients import InstanceList, InstanceRecord, PlatformError
from skylarkdoord.admin.exceptions import AbsentError, UnreachableError
from skylarkdoord.common import TlsService

MAX_CALLS = 16
CALL_TIMEOUT_S = 2.0


class Instances:
    """Calls the instances on the platform's list, and no others.

    Args:
        listed: The platform's list.
        tls: Contexts of the connections.
    """

    def __init__(self, listed: InstanceList, tls: TlsService) -> None:
        self.listed = listed
        self.tls = tls
        self.slots = asyncio.Semaphore(MAX_CALLS)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def statuses(self) -> list[dict[str, Any]]:
        """Return each listed instance with what it says of itself.

        Raises:
            UnreachableError: The list does not answer.
        """
        records = await self._fetch()
        return list(await asyncio.gather(*(self._status(r) for r in records)))

    async def drain(self, instance: str, authorization: str) -> dict[str, Any]:
        """Tell an instance to take no more work.

        Args:
            instance: Its name on the list.
            authorization: The operator's header, which the instance checks too.

        Raises:
            AbsentError: The list has no such instance.
            UnreachableError: The list or the instance does not answer.
        """
        for record in await self._fetch():
            if record.instance == instance:
                return await self._post_drain(record, authorization)
        raise AbsentError(f"no instance {instance!r} on the list")

    async def _fetch(self) -> list[InstanceRecord]:
        try:
            return await self.listed.fetch()
        except PlatformError as error:
            raise UnreachableError(f"the instance list: {error}") from None

    async def _status(self, record: InstanceRecord) -> dict[str, Any]:
        url = f"{self.tls.url(record.http)}/status"
        tls = self.tls.arguments(record.instance)
        shown: dict[str, Any] = {**record._asdict(), "status": None, "error": None}
        url = f"{self.tls.url(record.http)}/status"
        tls = self.tls.arguments(record.instance)
        try:
            async with self.slots:
                async with self.session.get(url, **tls) as answer:
                    shown["status"] = await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            shown["error"] = repr(error)
        return shown

    async def _post_drain(
        self, record: InstanceRecord, authorization: str
    ) -> dict[str, Any]:
        url = f"{self.tls.url(record.http)}/internal/drain"
        tls = self.tls.arguments(record.instance)
        headers = {"Authorization": authorization}
        try:
            async with self.session.post(url, headers=headers, **tls) as answer:
                if answer.status != 200:
                    raise UnreachableError(
                        f"{record.instance} answered with status {answer.status}"
                    )
                said: dict[str, Any] = await answer.json()
                return said
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise UnreachableError(f"{record.instance}: {error!r}") from None
