"""Tests of the table's client against the platform stand-in."""

import asyncio
import socket

import pytest
from aiohttp import web
from aiohttp.test_utils import RawTestServer

from skylarkdoor.clients import (
    Absent,
    Delete,
    EtcdTable,
    Put,
    RevisionIs,
    TableRejected,
    TableTimeout,
    TableUnavailable,
    Txn,
    ValueIs,
)

SHORT_TIMEOUT_S = 0.05
ROW = {"value": "", "mod_revision": "1", "version": "1"}


@pytest.fixture
def table(platform):
    """Return a client of the platform's table."""
    return EtcdTable(platform.session, [platform.url])


def put(key: str, value: bytes = b"x", *conditions) -> Txn:
    """Return a transaction that writes one row."""
    return Txn(conditions=conditions, writes=(Put(key, value),), reads=(key,))


class TestReads:
    """`EtcdTable.get` and `EtcdTable.list`."""

    # Guards against a list that never ends, as the table repeats a page.
    @pytest.mark.parametrize("rows", [[], [{"key": "YQ==", **ROW}]], ids=len)
    async def test_repeated_page(self, platform, rows):
        """The list fails after a few calls."""
        calls = []

        async def answer(request):
            calls.append(request.path)
            return web.json_response(
                {"header": {"revision": "1"}, "kvs": rows, "more": True}
            )

        async with RawTestServer(answer) as server:
            table = EtcdTable(platform.session, [str(server.make_url(""))])
            async with asyncio.timeout(2.0):
                with pytest.raises(TableUnavailable):
                    await table.list("")
        assert len(calls) <= 2

    async def test_absent(self, table):
        """A key without a row reads as None."""
        assert await table.get("a") is None

    async def test_row(self, table):
        """A row reads back with its revision and version."""
        await table.commit([put("a", b"1")])
        (result,) = await table.commit([put("a", b"2")])
        row = await table.get("a")
        assert row == ("a", b"2", result.revision, 2)

    async def test_empty_value(self, table):
        """An empty value, which the gateway omits, reads as empty."""
        await table.commit([put("a", b"")])
        assert (await table.get("a")).value == b""

    async def test_prefix(self, table):
        """A list contains only the rows with its prefix, in key order."""
        await table.commit([put(key) for key in ("a/2", "b", "a/1", "a0")])
        rows, revision = await table.list("a/")
        assert [row.key for row in rows] == ["a/1", "a/2"]
        assert revision == rows[0].revision

    async def test_pages(self, table, monkeypatch):
        """A list longer than a page is returned completely, or up to its limit."""
        monkeypatch.setattr("skylarkdoor.clients._table._PAGE_ROWS", 3)
        keys = [f"k{index}" for index in range(8)]
        await table.commit([put(key) for key in keys])
        assert [row.key for row in (await table.list("")).rows] == keys
        limited = await table.list("k", limit=7)
        assert [row.key for row in limited.rows] == keys[:7]


class TestCommit:
    """`EtcdTable.commit`."""

    async def test_nothing(self, table):
        """A commit without transactions returns no results."""
        assert await table.commit([]) == []

    async def test_separate_results(self, table):
        """Each transaction of a group has its own result, with rows on failure."""
        await table.commit([put("a", b"1")])
        taken, free = await table.commit(
            [put("a", b"2", Absent("a")), put("b", b"2", Absent("b"))]
        )
        assert not taken.succeeded
        assert taken.rows[0].value == b"1"
        assert free.succeeded
        assert free.rows == ()

    async def test_one_request(self, table, platform):
        """Transactions that share no key are sent in one write."""
        await table.commit([put(f"k{index}") for index in range(20)])
        async with platform.session.get(f"{platform.url}/stats") as response:
            assert (await response.json())["table"]["writes"] == 1

    async def test_conflicting_claims(self, table):
        """Of two transactions that create the same row, only the first succeeds."""
        first, second = await table.commit(
            [put("a", b"1", Absent("a")), put("a", b"2", Absent("a"))]
        )
        assert first.succeeded
        assert not second.succeeded
        assert second.rows[0].value == b"1"

    async def test_write_skew(self, table):
        """A transaction's conditions see the writes of earlier ones in the commit."""
        first, second = await table.commit(
            [put("a", b"1", Absent("b")), put("b", b"1", Absent("a"))]
        )
        assert (first.succeeded, second.succeeded) == (True, False)

    async def test_large_group(self, table):
        """All transactions are applied if they exceed the size of one request."""
        results = await table.commit([put(f"k{index}") for index in range(150)])
        assert all(result.succeeded for result in results)
        assert len((await table.list("k")).rows) == 150

    async def test_revision_is(self, table):
        """The condition fails if the row has changed since the revision."""
        (first,) = await table.commit([put("a", b"1")])
        condition = RevisionIs("a", first.revision)
        (changed,) = await table.commit([put("a", b"2", condition)])
        (stale,) = await table.commit([put("a", b"3", condition)])
        assert (changed.succeeded, stale.succeeded) == (True, False)

    async def test_value_is(self, table):
        """The condition fails for another value and for an absent row."""
        await table.commit([put("a", b"1")])
        results = await table.commit(
            [
                Txn(conditions=(ValueIs("a", b"1"),)),
                Txn(conditions=(ValueIs("a", b"2"),)),
                Txn(conditions=(ValueIs("b", b""),)),
            ]
        )
        assert [result.succeeded for result in results] == [True, False, False]

    async def test_delete(self, table):
        """A deleted row reads as None."""
        await table.commit([put("a")])
        await table.commit([Txn(writes=(Delete("a"),))])
        assert await table.get("a") is None

    async def test_rejected(self, table):
        """An invalid transaction raises `TableRejected`."""
        with pytest.raises(TableRejected):
            await table.commit([Txn(writes=(Put("a", b"1"), Put("a", b"2")))])


class TestFaults:
    """`EtcdTable` during faults of the table."""

    async def test_down(self, table, platform):
        """A write that the table refuses is reported as not applied."""
        await platform.fault("table", mode="down")
        with pytest.raises(TableUnavailable):
            await table.commit([put("a")])
        await platform.fault("table", mode="ok")
        assert await table.get("a") is None

    async def test_lost_acknowledgement(self, table, platform):
        """A write whose response is lost is reported as of unknown outcome.

        In this test it was applied.
        """
        await platform.fault("table", mode="lost_ack", count=1)
        with pytest.raises(TableTimeout):
            await table.commit([put("a")])
        assert (await table.get("a")).value == b"x"

    async def test_hanging_write(self, platform):
        """A write that times out is reported as of unknown outcome."""
        table = EtcdTable(platform.session, [platform.url], timeout_s=SHORT_TIMEOUT_S)
        await platform.fault("table", mode="hang")
        with pytest.raises(TableTimeout):
            await table.commit([put("a")])

    async def test_hanging_read(self, platform):
        """A read that times out raises `TableUnavailable`."""
        table = EtcdTable(platform.session, [platform.url], timeout_s=SHORT_TIMEOUT_S)
        await platform.fault("table", mode="hang")
        with pytest.raises(TableUnavailable):
            await table.get("a")

    async def test_second_group_fails(self, table, platform):
        """A failure after the first group is reported as of unknown outcome."""
        await table.commit([put("a")])
        original = table._post
        calls = []

        async def fail_second(*args, **kwargs):
            calls.append(args)
            if len(calls) == 2:
                raise TableUnavailable
            return await original(*args, **kwargs)

        table._post = fail_second
        with pytest.raises(TableTimeout):
            await table.commit([put("a", b"1"), put("a", b"2")])

    async def test_rotation(self, platform):
        """The next endpoint is tried if a connection is refused."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            refused = f"http://127.0.0.1:{unused.getsockname()[1]}"
            table = EtcdTable(platform.session, [refused, platform.url])
            await table.commit([put("a")])
            assert await table.get("a") is not None

    async def test_all_refused(self, platform):
        """A write that no endpoint accepts is reported as not applied."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            refused = f"http://127.0.0.1:{unused.getsockname()[1]}"
            with pytest.raises(TableUnavailable):
                await EtcdTable(platform.session, [refused]).commit([put("a")])
