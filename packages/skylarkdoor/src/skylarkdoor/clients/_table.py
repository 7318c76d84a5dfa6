"""The table over etcd's v3 JSON gateway."""

from collections.abc import Sequence
from typing import TypeVar

import aiohttp
import msgspec

from skylarkdoor.clients._client import Client
from skylarkdoor.clients._gateway import (
    CommitAnswer,
    ErrorAnswer,
    Message,
    RangeAnswer,
    commit_request,
    prefix_request,
    range_request,
    read_results,
    read_row,
)
from skylarkdoor.clients._grouping import group_txns
from skylarkdoor.clients._transactions import Row, RowList, Txn, TxnResult
from skylarkdoor.clients.exceptions import (
    TableRejected,
    TableTimeout,
    TableUnavailable,
)

TABLE_TIMEOUT_S = 2.0
_PAGE_ROWS = 500
_NOT_APPLIED_STATUSES = frozenset({429, 503})
# Answered with 503 although the write may still be applied.
_UNKNOWN_OUTCOMES = ("timed out", "leader changed")

Answer = TypeVar("Answer", RangeAnswer, CommitAnswer)


class EtcdTable(Client):
    """A `Table` behind one or more endpoints.

    Args:
        session: The session for all requests.
        endpoints: Base URLs, tried in turn while connections fail.
        timeout_s: The time for one request.
    """

    default_timeout_s = TABLE_TIMEOUT_S

    async def get(self, key: str) -> Row | None:
        """Return the row of a key, or None.

        Raises:
            TableUnavailable: There was no answer.
        """
        answer = await self._read(range_request(key))
        return read_row(answer.kvs[0]) if answer.kvs else None

    async def list(self, prefix: str, *, limit: int = 0) -> RowList:
        """Return the rows whose keys begin with a prefix, page by page.

        Args:
            prefix: What the keys begin with.
            limit: The most rows to return; 0 for all.

        Raises:
            TableUnavailable: There was no answer.
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
            if not page.more or len(rows) == limit:
                return RowList(tuple(rows), revision)
            start = rows[-1].key

    async def commit(self, txns: Sequence[Txn]) -> Sequence[TxnResult]:
        """Apply transactions, each with a verdict of its own, in their order.

        Those that touch no key in common go to the table in one request.

        Raises:
            TableTimeout: Some may have been applied.
            TableUnavailable: None was applied.
            TableRejected: None was applied, since one was invalid.
        """
        results: dict[int, TxnResult] = {}
        for group in group_txns(txns):
            chosen = [txns[index] for index in group]
            found = await self._commit_group(chosen, is_first=not results)
            results.update(zip(group, found, strict=True))
        return [results[index] for index in range(len(txns))]

    async def _commit_group(
        self, txns: Sequence[Txn], *, is_first: bool
    ) -> Sequence[TxnResult]:
        is_write = any(txn.writes for txn in txns)
        try:
            answer = await self._post(
                "txn", commit_request(txns), CommitAnswer, is_write=is_write
            )
        except (TableUnavailable, TableRejected) as error:
            if is_first:
                raise
            raise TableTimeout("only some groups of transactions applied") from error
        return read_results(answer)

    async def _read(self, request: Message) -> RangeAnswer:
        return await self._post("range", request, RangeAnswer, is_write=False)

    async def _post(
        self, operation: str, body: Message, form: type[Answer], *, is_write: bool
    ) -> Answer:
        failure: Exception | None = None
        for url in self.endpoints:
            try:
                return await self._post_to(
                    f"{url}/v3/kv/{operation}", body, form, is_write=is_write
                )
            except aiohttp.ClientConnectorError as error:
                failure = error
            except TableUnavailable as error:
                failure = error
            except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
                failure = error
                if is_write:
                    raise TableTimeout(f"no answer to a write: {error!r}") from error
        raise TableUnavailable(f"no endpoint answered: {failure!r}") from failure

    async def _post_to(
        self, url: str, body: Message, form: type[Answer], *, is_write: bool
    ) -> Answer:
        data = msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"}
        async with self.session.post(
            url, data=data, headers=headers, timeout=self.timeout
        ) as response:
            content = await response.read()
            if response.status == 200:
                return msgspec.json.decode(content, type=form)
            raise _failure(response.status, content, is_write=is_write)


def _failure(status: int, content: bytes, *, is_write: bool) -> Exception:
    message = _message(content)
    if status == 400:
        return TableRejected(message)
    if not is_write:
        return TableUnavailable(f"status {status}: {message}")
    is_unknown = any(part in message for part in _UNKNOWN_OUTCOMES)
    if status in _NOT_APPLIED_STATUSES and not is_unknown:
        return TableUnavailable(f"status {status}: {message}")
    return TableTimeout(f"status {status}: {message}")


def _message(content: bytes) -> str:
    try:
        return msgspec.json.decode(content, type=ErrorAnswer).message
    except msgspec.MsgspecError:
        return content[:200].decode(errors="replace")
