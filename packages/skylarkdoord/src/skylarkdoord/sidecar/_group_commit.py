"""Commits shared by concurrent transactions."""

import asyncio
from typing import NamedTuple

from skylarkdoor.platform import PlatformError, Table, Txn, TxnResult

MAX_TXNS = 64


class _Pending(NamedTuple):
    txn: Txn
    result: "asyncio.Future[TxnResult]"


class GroupCommit:
    """Sends waiting transactions together; one commit is in flight at a time.

    Args:
        table: The table.
    """

    def __init__(self, table: Table) -> None:
        self.table = table
        self.pending: list[_Pending] = []
        self.ready = asyncio.Event()

    async def commit(self, txn: Txn) -> TxnResult:
        """Apply a transaction with those that wait beside it.

        Raises:
            TableTimeout: It may have been applied.
            TableUnavailable: It was not applied.
            TableRejected: It was not applied, since one of its group was invalid.
        """
        pending = _Pending(txn, asyncio.get_running_loop().create_future())
        self.pending.append(pending)
        self.ready.set()
        return await pending.result

    async def run(self) -> None:
        """Commit group after group until cancelled."""
        while True:
            await self.ready.wait()
            group, self.pending = self.pending[:MAX_TXNS], self.pending[MAX_TXNS:]
            if not self.pending:
                self.ready.clear()
            await self._commit([item for item in group if not item.result.done()])

    async def _commit(self, group: list[_Pending]) -> None:
        try:
            results = await self.table.commit([item.txn for item in group])
        except PlatformError as error:
            for item in group:
                if not item.result.done():
                    item.result.set_exception(error)
            return
        for item, result in zip(group, results, strict=True):
            if not item.result.done():
                item.result.set_result(result)
