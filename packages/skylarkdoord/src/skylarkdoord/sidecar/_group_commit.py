"""Group commit: combines concurrent transactions into one request."""

import asyncio
from typing import NamedTuple

from skylarkdoor.clients import (
    PlatformError,
    Put,
    Table,
    TableRejected,
    Txn,
    TxnResult,
)

MAX_TXNS = 64
# The table rejects requests above its size limit, and a group is one request.
MAX_BYTES = 512 * 1024


class _Pending(NamedTuple):
    txn: Txn
    result: "asyncio.Future[TxnResult]"


class GroupCommit:
    """Sends pending transactions in groups, one group at a time.

    Args:
        table: The table.
    """

    def __init__(self, table: Table) -> None:
        self.table = table
        self.pending: list[_Pending] = []
        self.ready = asyncio.Event()

    async def commit(self, txn: Txn) -> TxnResult:
        """Apply a transaction together with other pending ones.

        Raises:
            TableTimeout: The transaction may have been applied.
            TableUnavailable: The transaction was not applied.
            TableRejected: The transaction is invalid and was not applied.
        """
        pending = _Pending(txn, asyncio.get_running_loop().create_future())
        self.pending.append(pending)
        self.ready.set()
        return await pending.result

    async def run(self) -> None:
        """Commit groups until cancelled."""
        while True:
            await self.ready.wait()
            group = self._take_group()
            if not self.pending:
                self.ready.clear()
            await self._commit([item for item in group if not item.result.done()])

    def _take_group(self) -> list[_Pending]:
        group: list[_Pending] = []
        size = 0
        for item in self.pending[:MAX_TXNS]:
            size += _size(item.txn)
            if group and size > MAX_BYTES:
                break
            group.append(item)
        del self.pending[: len(group)]
        return group

    async def _commit(self, group: list[_Pending]) -> None:
        try:
            results = await self.table.commit([item.txn for item in group])
        except TableRejected as error:
            await self._commit_apart(group, error)
            return
        except PlatformError as error:
            for item in group:
                _fail(item, error)
            return
        for item, result in zip(group, results, strict=True):
            if not item.result.done():
                item.result.set_result(result)

    async def _commit_apart(self, group: list[_Pending], error: TableRejected) -> None:
        """Commit the transactions of a rejected group one by one.

        Only the invalid transactions fail.
        """
        if len(group) == 1:
            _fail(group[0], error)
            return
        for item in group:
            await self._commit([item])


def _size(txn: Txn) -> int:
    return sum(len(write.value) for write in txn.writes if isinstance(write, Put))


def _fail(item: _Pending, error: PlatformError) -> None:
    if not item.result.done():
        item.result.set_exception(error)
