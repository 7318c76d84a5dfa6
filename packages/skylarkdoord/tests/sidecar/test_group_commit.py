"""Tests of `skylarkdoord.sidecar._group_commit`."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from typing import Any

import pytest

from skylarkdoor.clients import Put, TableRejected, TableTimeout, Txn, TxnResult
from skylarkdoord.sidecar._group_commit import MAX_BYTES, MAX_TXNS, GroupCommit

INVALID = Txn(writes=(Put("invalid", b""),))


class SlowTable:
    """A table whose commits wait until `open` is set."""

    def __init__(self) -> None:
        self.groups: list[Sequence[Txn]] = []
        self.in_flight = 0
        self.open = asyncio.Event()
        self.error: Exception | None = None

    async def commit(self, txns: Sequence[Txn]) -> Sequence[TxnResult]:
        """Apply transactions or fail."""
        self.in_flight += 1
        assert self.in_flight == 1
        await self.open.wait()
        self.in_flight -= 1
        if self.error is not None:
            raise self.error
        if INVALID in txns:
            raise TableRejected("invalid")
        self.groups.append(txns)
        return [TxnResult(True, (), len(self.groups)) for _ in txns]


@pytest.fixture
def table() -> SlowTable:
    """Return a table."""
    return SlowTable()


@pytest.fixture
async def group(table: SlowTable) -> AsyncIterator[GroupCommit]:
    """Run a group commit to the table."""
    anything: Any = table
    group = GroupCommit(anything)
    running = asyncio.create_task(group.run())
    yield group
    running.cancel()


def put(number: int, value: bytes = b"") -> Txn:
    """Return a transaction."""
    return Txn(writes=(Put(f"key-{number}", value),))


async def commit_all(
    table: SlowTable, group: GroupCommit, txns: Sequence[Txn]
) -> list[Any]:
    """Commit a first transaction, and the others while it is in flight."""
    first = asyncio.create_task(group.commit(put(0)))
    while not table.in_flight:
        await asyncio.sleep(0)
    tasks = [asyncio.create_task(group.commit(txn)) for txn in txns]
    await asyncio.sleep(0)
    table.open.set()
    return await asyncio.gather(first, *tasks, return_exceptions=True)


class TestGroupCommit:
    """Transactions that arrive while a commit is in flight."""

    async def test_shared(self, table: SlowTable, group: GroupCommit) -> None:
        """They are combined in the next commit."""
        await commit_all(table, group, [put(number) for number in range(1, 9)])
        assert [len(txns) for txns in table.groups] == [1, 8]

    async def test_many(self, table: SlowTable, group: GroupCommit) -> None:
        """A commit combines at most `MAX_TXNS` transactions."""
        await commit_all(table, group, [put(n) for n in range(1, MAX_TXNS + 3)])
        assert [len(txns) for txns in table.groups] == [1, MAX_TXNS, 2]

    async def test_large(self, table: SlowTable, group: GroupCommit) -> None:
        """A commit has at most `MAX_BYTES`, except for one larger transaction."""
        value = b"x" * (MAX_BYTES // 2)
        large = put(4, b"x" * (MAX_BYTES + 1))
        txns = [put(1, value), put(2, value), put(3, value), large]
        await commit_all(table, group, txns)
        assert [len(txns) for txns in table.groups] == [1, 2, 1, 1]

    async def test_invalid(self, table: SlowTable, group: GroupCommit) -> None:
        """Only the invalid transaction of a group fails."""
        results = await commit_all(table, group, [put(1), INVALID, put(2)])
        failed = [isinstance(result, TableRejected) for result in results]
        assert failed == [False, False, True, False]

    async def test_timeout(self, table: SlowTable, group: GroupCommit) -> None:
        """A timeout of the commit applies to all its transactions."""
        table.error = TableTimeout("late")
        results = await commit_all(table, group, [put(1), put(2)])
        assert all(isinstance(result, TableTimeout) for result in results)
