"""Client of the object store, with path-style URLs as in S3."""

from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import quote

from skylarkdoor.clients._client import Client
from skylarkdoor.clients._http import HttpResponse, NoResponseError, request
from skylarkdoor.clients.exceptions import (
    ObjectAbsent,
    ObjectChanged,
    ObjectsUnavailable,
)

OBJECTS_TIMEOUT_S = 5.0


class StoredObject(NamedTuple):
    """The content of an object and its ETag."""

    data: bytes
    etag: str


class ObjectStore(Client):
    """Reads and writes objects by key.

    See `Client` for the arguments.
    """

    default_timeout_s = OBJECTS_TIMEOUT_S

    async def get(self, key: str) -> bytes:
        """Return the content of an object.

        Raises:
            ObjectAbsent: The store has no object with this key.
            ObjectsUnavailable: The store did not respond or returned an error.
        """
        return (await self.read(key)).data

    async def read(self, key: str) -> StoredObject:
        """Return the content of an object with its ETag.

        Raises:
            ObjectAbsent: The store has no object with this key.
            ObjectsUnavailable: The store did not respond or returned an error.
        """
        response = await self._request("GET", key)
        if response.status == 404:
            raise ObjectAbsent(key)
        if response.status != 200:
            raise ObjectsUnavailable(f"status {response.status}")
        return StoredObject(response.body, response.headers.get("ETag", ""))

    async def put(self, key: str, data: bytes) -> None:
        """Write an object; a write without a response may have taken effect.

        Raises:
            ObjectsUnavailable: The store did not respond or returned an error.
        """
        response = await self._request("PUT", key, data=data)
        if response.status != 200:
            raise ObjectsUnavailable(f"status {response.status}")

    async def replace(self, key: str, data: bytes, *, etag: str | None) -> None:
        """Write an object if it has not changed since it was read.

        Args:
            key: The object's key.
            data: Its new content.
            etag: ETag of the object when it was read; None if it did not exist.

        Raises:
            ObjectChanged: The object has changed. An earlier attempt of this write
                whose response was lost may have changed it.
            ObjectsUnavailable: The store did not respond or returned an error.
        """
        condition = {"If-None-Match": "*"} if etag is None else {"If-Match": etag}
        response = await self._request("PUT", key, data=data, headers=condition)
        if response.status == 412:
            raise ObjectChanged(key)
        if response.status != 200:
            raise ObjectsUnavailable(f"status {response.status}")

    async def _request(
        self,
        method: str,
        key: str,
        *,
        data: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        path = f"/objects/{quote(key)}"
        try:
            return await request(
                self.session,
                self.endpoints,
                method,
                path,
                timeout=self.timeout,
                data=data,
                headers=headers,
            )
        except NoResponseError as error:
            raise ObjectsUnavailable(str(error)) from error
