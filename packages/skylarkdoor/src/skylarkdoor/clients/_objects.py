"""The object store, path style as in S3."""

from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import quote

from skylarkdoor.clients._client import Client
from skylarkdoor.clients._http import HttpAnswer, NoAnswerError, request
from skylarkdoor.clients.exceptions import (
    ObjectAbsent,
    ObjectChanged,
    ObjectsUnavailable,
)

OBJECTS_TIMEOUT_S = 5.0


class StoredObject(NamedTuple):
    """An object and the mark of its present content."""

    data: bytes
    etag: str


class ObjectStore(Client):
    """Objects by key.

    See `Client` for the arguments.
    """

    default_timeout_s = OBJECTS_TIMEOUT_S

    async def get(self, key: str) -> bytes:
        """Return an object.

        Raises:
            ObjectAbsent: There is none of this key.
            ObjectsUnavailable: The store did not answer.
        """
        return (await self.read(key)).data

    async def read(self, key: str) -> StoredObject:
        """Return an object with the mark of its content.

        Raises:
            ObjectAbsent: There is none of this key.
            ObjectsUnavailable: The store did not answer.
        """
        answer = await self._request("GET", key)
        if answer.status == 404:
            raise ObjectAbsent(key)
        if answer.status != 200:
            raise ObjectsUnavailable(f"status {answer.status}")
        return StoredObject(answer.body, answer.headers.get("ETag", ""))

    async def put(self, key: str, data: bytes) -> None:
        """Write an object; a write without an answer may have taken effect.

        Raises:
            ObjectsUnavailable: The store did not answer.
        """
        answer = await self._request("PUT", key, data=data)
        if answer.status != 200:
            raise ObjectsUnavailable(f"status {answer.status}")

    async def replace(self, key: str, data: bytes, *, etag: str | None) -> None:
        """Write an object if it is as it was read.

        Args:
            key: The object's key.
            data: Its new content.
            etag: Mark of the content that was read; None if there was no object.

        Raises:
            ObjectChanged: It is not, or an earlier try without an answer wrote it.
            ObjectsUnavailable: The store did not answer.
        """
        condition = {"If-None-Match": "*"} if etag is None else {"If-Match": etag}
        answer = await self._request("PUT", key, data=data, headers=condition)
        if answer.status == 412:
            raise ObjectChanged(key)
        if answer.status != 200:
            raise ObjectsUnavailable(f"status {answer.status}")

    async def _request(
        self,
        method: str,
        key: str,
        *,
        data: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
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
        except NoAnswerError as error:
            raise ObjectsUnavailable(str(error)) from error
