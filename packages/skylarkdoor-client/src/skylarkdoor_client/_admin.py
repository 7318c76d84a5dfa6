"""Client of the administration API of an entry."""

import ssl
import uuid
from collections.abc import Mapping
from types import TracebackType
from typing import Any, NamedTuple, Self
from urllib.parse import quote

import aiohttp

from skylarkdoor import bounded_http, untrusted_json
from skylarkdoor.exceptions import ResponseLostError
from skylarkdoor.single_send import send_once
from skylarkdoor_client._error_responses import error_from_response
from skylarkdoor_client.exceptions import (
    UnavailableError,
    UnexpectedResponseError,
    UnknownOutcomeError,
)

REQUEST_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0
IDEMPOTENCY_KEY = "Idempotency-Key"
MAX_ATTEMPTS = 3


class CurrentValue(NamedTuple):
    """The current value at a settings path.

    Attributes:
        revision: Revision of the subtree, 0 if it does not exist.
        document: The value, None if it does not exist.
    """

    revision: int
    document: Any


class ChangeResult(NamedTuple):
    """The result of an accepted change.

    Attributes:
        subtree: Path of the subtree.
        revision: Its revision after the change.
        changed: Paths whose values were changed.
    """

    subtree: str
    revision: int
    changed: tuple[str, ...]


class AdminClient:
    """Calls the administration API of one entry.

    It is used as an asynchronous context manager. Besides the errors listed at its
    methods, each call may raise `PermissionDeniedError`, `UnavailableError` and
    `UnexpectedResponseError`, and a change `UnknownOutcomeError`.

    Args:
        url: Base URL of the entry's internal address.
        token: The operator's token, empty for none.
        authority: PEM file of the certificate authority that signed the entry's
            certificate; empty for the system's authorities.
    """

    def __init__(self, url: str, *, token: str = "", authority: str = "") -> None:
        self.url = url.rstrip("/")
        self.token = token
        self.authority = authority

    async def __aenter__(self) -> Self:
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
        )
        connector = bounded_http.BoundedConnector(ssl=self._ssl())
        self.session = bounded_http.open_session(
            headers=headers,
            timeout=timeout,
            connector=connector,
            middlewares=(send_once,),
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
        """Return the path, revision and author of each subtree in the token's scope."""
        response = await self._read("/admin/settings")
        return _expect_list(response, "subtrees")

    async def get(self, path: str) -> CurrentValue:
        """Return the value at a path.

        Raises:
            AbsentError: There is no value at the path.
        """
        response = await self._read(f"/admin/settings{quote(path)}")
        return CurrentValue(
            _expect_field(response, "revision"), _expect_field(response, "document")
        )

    async def put(
        self, path: str, document: Any, *, expect_revision: int | None
    ) -> ChangeResult:
        """Set the value at a path.

        Raises:
            ConflictError: The subtree is at another revision.
            InvalidError: The settings would be invalid after the change.
        """
        body = {"document": document, "expect_revision": expect_revision}
        response = await self._change("PUT", f"/admin/settings{quote(path)}", body)
        return _change_result(response)

    async def delete(self, path: str, *, expect_revision: int | None) -> ChangeResult:
        """Remove the value at a path.

        Raises:
            ConflictError: The subtree is at another revision.
            InvalidError: The settings would be invalid after the change.
        """
        target = f"/admin/settings{quote(path)}"
        if expect_revision is not None:
            target += f"?expect_revision={expect_revision}"
        return _change_result(await self._change("DELETE", target, None))

    async def history(self, path: str) -> list[dict[str, Any]]:
        """Return the stored changes of a path, the oldest first."""
        response = await self._read(f"/admin/history{quote(path)}")
        return _expect_list(response, "changes")

    async def instances(self) -> list[dict[str, Any]]:
        """Return each listed instance with its reported status."""
        return _expect_list(await self._read("/admin/instances"), "instances")

    async def drain(self, instance: str) -> dict[str, Any]:
        """Order an instance to drain: to accept no new requests."""
        response = await self._change("POST", f"/admin/drain/{quote(instance)}", None)
        return _expect_object(response)

    async def explain(self, query: Mapping[str, Any]) -> dict[str, Any]:
        """Return to which sidecars a request would be offered, and why."""
        response = await self._read("/admin/explain", method="POST", body=query)
        return _expect_object(response)

    async def _read(self, target: str, *, method: str = "GET", body: Any = None) -> Any:
        try:
            return await self._call(method, target, body, {})
        except (aiohttp.ClientError, ResponseLostError, TimeoutError) as error:
            raise UnavailableError(f"{self.url} does not respond: {error!r}") from None

    async def _change(self, method: str, target: str, body: Any) -> Any:
        """Send a change; retry with the same idempotency key if no response arrives."""
        headers = {IDEMPOTENCY_KEY: uuid.uuid4().hex}
        may_have_arrived = False
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._call(method, target, body, headers)
            except aiohttp.ClientConnectorError as error:
                if not may_have_arrived:
                    raise UnavailableError(
                        f"{self.url} cannot be reached: {error}"
                    ) from None
            except (aiohttp.ClientError, ResponseLostError, TimeoutError):
                may_have_arrived = True
        raise UnknownOutcomeError(
            f"{self.url} did not respond; the change may or may not have been made"
        )

    async def _call(
        self, method: str, target: str, body: Any, headers: Mapping[str, str]
    ) -> Any:
        async with self.session.request(
            method, self.url + target, json=body, headers=headers
        ) as response:
            try:
                content = untrusted_json.loads(await bounded_http.read_body(response))
            except ValueError:
                raise UnexpectedResponseError(
                    f"{self.url} returned status {response.status} without JSON"
                ) from None
            if response.status != 200:
                raise error_from_response(response.status, content)
            return content

    def _ssl(self) -> ssl.SSLContext | bool:
        if not self.authority:
            return True
        return ssl.create_default_context(cafile=self.authority)


def _expect_object(response: Any) -> dict[str, Any]:
    if not isinstance(response, dict):
        raise UnexpectedResponseError("expected a JSON object as the response")
    return response


def _expect_field(response: Any, name: str) -> Any:
    found = _expect_object(response)
    if name not in found:
        raise UnexpectedResponseError(f"expected {name!r} in the response")
    return found[name]


def _expect_list(response: Any, name: str) -> list[dict[str, Any]]:
    found = response.get(name) if isinstance(response, dict) else response
    if not isinstance(found, list):
        raise UnexpectedResponseError(f"expected a list of {name} in the response")
    return found


def _change_result(response: Any) -> ChangeResult:
    return ChangeResult(
        _expect_field(response, "subtree"),
        _expect_field(response, "revision"),
        tuple(_expect_field(response, "changed")),
    )
