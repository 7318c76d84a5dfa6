"""What a direct entry needs of the platform that it runs on.

An adapter is a package of its own, found by the name in the settings, that
translates between a platform's protocol and the types of this package.
"""

import importlib
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from skylarkdoord.direct._model import (
    Admitted,
    CallerRequest,
    FleetConfig,
    UpstreamRecord,
)
from skylarkdoord.direct.exceptions import AdapterAbsentError


class Row(NamedTuple):
    """A row of the platform's store.

    Attributes:
        key: Its key within the table.
        version: Rises with each change of any row.
        data: Its contents; None once removed.
    """

    key: str
    version: int
    data: bytes | None


class Rows(NamedTuple):
    """Rows as of one moment.

    Attributes:
        rows: The rows, or those that changed.
        version: Version of the store at that moment.
        clock_s: The store's steady clock at that moment, in seconds.
    """

    rows: tuple[Row, ...]
    version: int
    clock_s: float = 0.0


class Store(Protocol):
    """Tables on the platform: `config`, `upstreams`, `members` and `limits`."""

    async def read(self, table: str) -> Rows:
        """Return every row of a table.

        Raises:
            StoreError: The store did not answer.
        """

    async def changes(self, table: str, since: int, *, wait_s: float) -> Rows:
        """Return the rows changed after a version, waiting for one if need be.

        Raises:
            HistoryLostError: The changes are no longer kept.
            StoreError: The store did not answer.
        """

    async def put(self, table: str, key: str, data: bytes) -> float:
        """Write a row; returns the store's steady clock, in seconds.

        Raises:
            StoreError: The store did not acknowledge it.
        """

    async def remove(self, table: str, key: str) -> None:
        """Remove a row.

        Raises:
            StoreError: The store did not acknowledge it.
        """

    async def close(self) -> None:
        """Close the connections."""


class RawHead(NamedTuple):
    """Head of a caller's HTTP request.

    Attributes:
        method: HTTP method.
        target: Path and query exactly as sent.
        headers: Header fields in order, as sent.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]


class UpstreamHead(NamedTuple):
    """What the head of an upstream's answer says.

    Attributes:
        request_id: Identity of the request that it answers; empty if not stated.
        is_not_run: Whether the upstream says that it did not run the request.
        is_other_life: Whether another upstream has the address now.
        is_signed: Whether the upstream vouches for the answer.
        is_closing: Whether the upstream ends the connection.
    """

    request_id: str
    is_not_run: bool
    is_other_life: bool
    is_signed: bool
    is_closing: bool


class EngineLoad(NamedTuple):
    """What an engine reports of itself.

    Attributes:
        running: Requests in its batch.
        waiting: Requests in its queue.
        cache_used: Tokens of memory that cannot be evicted.
        cache_size: Tokens of memory in all.
    """

    running: int
    waiting: int
    cache_used: int
    cache_size: int


class Adapter(Protocol):
    """Translates the protocols of one platform."""

    readiness_path: str
    load_path: str

    def open_store(self, address: str) -> Store:
        """Return a client of the platform's store."""

    def decode_config(self, data: bytes) -> FleetConfig:
        """Return the configuration in a row.

        Raises:
            RowError: The row cannot be used.
        """

    def decode_upstream(self, key: str, data: bytes) -> UpstreamRecord:
        """Return the upstream that a row describes.

        Raises:
            RowError: The row cannot be used.
        """

    def read_request(self, head: RawHead, received: float) -> CallerRequest:
        """Return the request of that head, still without its body.

        Raises:
            BadCallError: The head is malformed.
        """

    def upstream_headers(
        self, admitted: Admitted, upstream: UpstreamRecord, *, last_event_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of a request as the upstream gets it."""

    def read_head(self, status: int, headers: Mapping[str, str]) -> UpstreamHead:
        """Return what the head of an upstream's answer says."""

    def caller_headers(self, headers: Mapping[str, str]) -> list[tuple[str, str]]:
        """Return the headers of an upstream's answer as the caller gets them."""

    def own_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer of this process."""

    def decode_load(self, data: bytes) -> EngineLoad:
        """Return an engine's report.

        Raises:
            RowError: The report cannot be used.
        """


def load_adapter(name: str) -> Adapter:
    """Return the adapter of that package.

    Raises:
        AdapterAbsentError: There is no such package, or it is no adapter.
    """
    try:
        module = importlib.import_module(name)
    except ImportError as error:
        raise AdapterAbsentError(
            f"adapter {name!r} cannot be loaded: {error}"
        ) from None
    adapter = getattr(module, "adapter", None)
    if adapter is None:
        raise AdapterAbsentError(f"package {name!r} has no adapter")
    return adapter
