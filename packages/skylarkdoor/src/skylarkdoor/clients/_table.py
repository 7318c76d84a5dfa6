"""Client of the platform's table through etcd's v3 JSON gateway."""

from collections.abc import Sequence
from typing import TypeVar

import aiohttp
import msgspec

from skylarkdoor import bounded_http, untrusted_json
from skylarkdoor.clients._client import Client
from skylarkdoor.clients._gateway import (
    CommitResponse,
    ErrorResponse,
    Message,
    RangeResponse,
    commit_request,
    prefix_request,
    range_request,
    read_results,
    read_row,
)
from skylarkdoor.clients._grouping import group_txns
from skylarkdoor.clients._http import MAX_RESPONSE_BYTES
from skylarkdoor.clients._transactions import Row, RowList, Txn, TxnResult
from skylarkdoor.clients.exceptions import (
    TableRejected,
    TableTimeout,
    TableUnavailable,
)
from skylarkdoor.failures import reason

TABLE_TIMEOUT_S = 2.0
_PAGE_ROWS = 500
_NOT_APPLIED_STATUSES = frozenset({429, 503})
# Messages of responses with status 503 after which the write may still be applied.
_UNKNOWN_OUTCOME_MESSAGES = ("timed out", "leader changed")

Response = TypeVar("Response", RangeResponse, CommitResponse)


class EtcdTable(Client):
    """A `Table` behind one or more endpoints.

    Args:
        session: HTTP session for all requests.
        endpoints: Base URLs, tried in turn while a request is known not to have
            been applied.
        timeout_s: Timeout of one request to one endpoint, in seconds.
    """

    default_timeout_s = TABLE_TIMEOUT_S

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None if there is none.

        Raises:
            TableUnavailable: No endpoint responded without an error.
        """
        response = await self._read(range_request(key))
        return read_row(response.kvs[0]) if response.kvs else None

    async def list(self, prefix: str, *, limit: int = 0) -> RowList:
        """Return the rows whose keys begin with a prefix, fetched page by page.

        Args:
            prefix: Prefix of the keys.
            limit: Maximum number of rows to return; 0 for all.

        Raises:
            TableUnavailable: No endpoint responded without an error.
        """
        rows: list[Row] = []
        start: str | None = None
        revision: int | None = None
        while True:
            size = min(_PAGE_ROWS, limit - len(rows)) if limit else _PAGE_ROWS
            request = prefix_request(prefix, start=start, limit=size)
            page = await self._read(request)
            if revision is None:
                revision = int(page.header.revision)
            rows += [read_row(row) for row in page.kvs]
            if not page.more or (limit and len(rows) == limit):
                return RowList(tuple(rows), revision)
            last = rows[-1].key if rows else None
            if last is None or (start is not None and last <= start):
                raise TableUnavailable("a page of the list brings no further rows")
            start = last

    async def commit(self, txns: Sequence[Txn]) -> Sequence[TxnResult]:
        """Apply transactions in their order and return the result of each.

        Transactions that do not conflict are sent to the table in one request.

        Raises:
            TableTimeout: Some transactions may have been applied.
            TableUnavailable: No transaction was applied.
            TableRejected: One transaction is invalid, so none was applied.
        """
        results: dict[int, TxnResult] = {}
        for group in group_txns(txns):
            selected = [txns[index] for index in group]
            group_results = await self._commit_group(selected, is_first=not results)
            results.update(zip(group, group_results, strict=True))
        return [results[index] for index in range(len(txns))]

    async def _commit_group(
        self, txns: Sequence[Txn], *, is_first: bool
    ) -> Sequence[TxnResult]:
        is_write = any(txn.writes for txn in txns)
        try:
            response = await self._post(
                "txn", commit_request(txns), CommitResponse, is_write=is_write
            )
        except (TableUnavailable, TableRejected) as error:
            if is_first:
                raise
            raise TableTimeout("not all groups of transactions were applied") from error
        return read_results(response)

    async def _read(self, request: Message) -> RangeResponse:
        return await self._post("range", request, RangeResponse, is_write=False)

    async def _post(
        self,
        operation: str,
        body: Message,
        response_type: type[Response],
        *,
        is_write: bool,
    ) -> Response:
        failure: Exception | None = None
        for url in self.endpoints:
            try:
                return await self._post_to(
                    f"{url}/v3/kv/{operation}", body, response_type, is_write=is_write
                )
            except aiohttp.ClientConnectorError as error:
                failure = error
            except TableUnavailable as error:
                failure = error
            except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
                failure = error
                if is_write:
                    raise TableTimeout(
                        f"no response to a write: {reason(error)}"
                    ) from error
        raise TableUnavailable(
            f"no endpoint responded without an error: {failure!r}"
        ) from failure

    async def _post_to(
        self, url: str, body: Message, response_type: type[Response], *, is_write: bool
    ) -> Response:
        data = msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"}
        async with self.session.post(
            url, data=data, headers=headers, timeout=self.timeout
        ) as response:
            content = await bounded_http.read_body(response, MAX_RESPONSE_BYTES)
            if response.status == 200:
                return untrusted_json.decode(content, type_=response_type)
            raise _response_error(response.status, content, is_write=is_write)


def _response_error(status: int, content: bytes, *, is_write: bool) -> Exception:
    message = _error_message(content)
    if status == 400:
        return TableRejected(message)
    if not is_write:
        return TableUnavailable(f"status {status}: {message}")
    is_unknown = any(part in message for part in _UNKNOWN_OUTCOME_MESSAGES)
    if status in _NOT_APPLIED_STATUSES and not is_unknown:
        return TableUnavailable(f"status {status}: {message}")
    return TableTimeout(f"status {status}: {message}")


def _error_message(content: bytes) -> str:
    try:
        return untrusted_json.decode(content, type_=ErrorResponse).message
    except msgspec.MsgspecError:
        return content[:200].decode(errors="replace")
