"""The operators' API of an entry, as the client calls it."""

import json
import ssl
import uuid
from collections.abc import Mapping
from types import TracebackType
from typing import Any, NamedTuple, Self
from urllib.parse import quote

import aiohttp

from skylarkdoor_client._answers import error_of
from skylarkdoor_client.exceptions import (
    AnswerError,
    UnavailableError,
    UnknownOutcomeError,
)

TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0
IDEMPOTENCY_KEY = "Idempotency-Key"
TRIES = 3


class Held(NamedTuple):
    """The value at a settings path.

    Attributes:
        revision: Revision of the subtree, 0 if there is none.
        document: The value.
    """

    revision: int
    document: Any


class Changed(NamedTuple):
    """An accepted change.

    Attributes:
        subtree: Path of the subtree.
        revision: Its revision now.
        changed: Paths whose values differ from before.
    """

    subtree: str
    revision: int
    changed: tuple[str, ...]


class AdminClient:
    """Calls one entry; used as an asynchronous context manager.

    Args:
        url: Base URL of the entry's internal address.
        token: The operator's token, empty for none.
        authority: File of the authority that signed the entry's certificate.
    """

    def __init__(self, url: str, *, token: str = "", authority: str = "") -> None:
        self.url = url.rstrip("/")
        self.token = token
        self.authority = authority

    async def __aenter__(self) -> Self:
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(ssl=self._ssl())
        self.session = aiohttp.ClientSession(
            headers=headers, timeout=timeout, connector=connector
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.session.close()

    async def subtrees(self) -> list[dict[str, Any]]:
        """Return path, revision and author of each subtree in scope."""
        answer = await self._read("/admin/settings")
        return _list(answer, "subtrees")

    async def get(self, path: str) -> Held:
        """Return the value at a path.

        Raises:
            AbsentError: There is none.
        """
        answer = await self._read(f"/admin/settings{quote(path)}")
        return Held(int(answer["revision"]), answer["document"])

    async def put(
        self, path: str, document: Any, *, expect_revision: int | None
    ) -> Changed:
        """Set the value at a path.

        Raises:
            ConflictError: The subtree is at another revision.
            InvalidError: The settings would be wrong.
        """
        body = {"document": document, "expect_revision": expect_revision}
        answer = await self._change("PUT", f"/admin/settings{quote(path)}", body)
        return _changed(answer)

    async def delete(self, path: str, *, expect_revision: int | None) -> Changed:
        """Remove the value at a path.

        Raises:
            ConflictError: The subtree is at another revision.
            InvalidError: The settings would be wrong without it.
        """
        target = f"/admin/settings{quote(path)}"
        if expect_revision is not None:
            target += f"?expect_revision={expect_revision}"
        return _changed(await self._change("DELETE", target, None))

    async def history(self, path: str) -> list[dict[str, Any]]:
        """Return the changes kept of a path, the oldest first."""
        answer = await self._read(f"/admin/history{quote(path)}")
        return _list(answer, "changes")

    async def instances(self) -> list[dict[str, Any]]:
        """Return each listed instance with what it says of itself."""
        return _list(await self._read("/admin/instances"), "instances")

    async def drain(self, instance: str) -> dict[str, Any]:
        """Tell an instance to take no more work."""
        answer = await self._change("POST", f"/admin/drain/{quote(instance)}", None)
        return dict(answer)

    async def explain(self, question: Mapping[str, Any]) -> dict[str, Any]:
        """Return where a request would go, and why."""
        return dict(await self._read("/admin/explain", method="POST", body=question))

    async def _read(self, target: str, *, method: str = "GET", body: Any = None) -> Any:
        try:
            return await self._call(method, target, body, {})
        except (aiohttp.ClientError, TimeoutError) as error:
            raise UnavailableError(f"{self.url} does not answer: {error!r}") from None

    async def _change(self, method: str, target: str, body: Any) -> Any:
        """Send a change, again under the same key if its answer is lost."""
        headers = {IDEMPOTENCY_KEY: uuid.uuid4().hex}
        for _ in range(TRIES):
            try:
                return await self._call(method, target, body, headers)
            except aiohttp.ClientConnectorError as error:
                raise UnavailableError(
                    f"{self.url} cannot be reached: {error}"
                ) from None
            except (aiohttp.ClientError, TimeoutError):
                continue
        raise UnknownOutcomeError(
            f"{self.url} gave no answer; the change may or may not have been made"
        )

    async def _call(
        self, method: str, target: str, body: Any, headers: Mapping[str, str]
    ) -> Any:
        async with self.session.request(
            method, self.url + target, json=body, headers=headers
        ) as answer:
            try:
                said = json.loads(await answer.read())
            except ValueError:
                raise AnswerError(
                    f"{self.url} answered {answer.status} without JSON"
                ) from None
            if answer.status != 200:
                raise error_of(answer.status, said)
            return said

    def _ssl(self) -> ssl.SSLContext | bool:
        if not self.authority:
            return True
        return ssl.create_default_context(cafile=self.authority)


def _list(answer: Any, name: str) -> list[dict[str, Any]]:
    found = answer.get(name) if isinstance(answer, dict) else answer
    if not isinstance(found, list):
        raise AnswerError(f"expected a list of {name}")
    return found


def _changed(answer: Any) -> Changed:
    return Changed(answer["subtree"], int(answer["revision"]), tuple(answer["changed"]))
