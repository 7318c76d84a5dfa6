"""The table's client against the platform stand-in."""

import socket

import pytest

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

NO_WAIT_S = 0.05


@pytest.fixture
def table(platform):
    """Return a client of the platform's table."""
    return EtcdTable(platform.session, [platform.url])


def put(key: str, value: bytes = b"x", *conditions) -> Txn:
    """Return a transaction that writes one row."""
    return Txn(conditions=conditions, writes=(Put(key, value),), reads=(key,))


class TestReads:
    """`EtcdTable.get` and `EtcdTable.list`."""

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
        """An empty value, which the gateway leaves out, reads as empty."""
        await table.commit([put("a", b"")])
        assert (await table.get("a")).value == b""

    async def test_prefix(self, table):
        """A list has the rows of its prefix alone, by key."""
        await table.commit([put(key) for key in ("a/2", "b", "a/1", "a0")])
        rows, revision = await table.list("a/")
        assert [row.key for row in rows] == ["a/1", "a/2"]
        assert revision == rows[0].revision

    async def test_pages(self, table, monkeypatch):
        """A list longer than a page comes back whole, or up to its limit."""
        monkeypatch.setattr("skylarkdoor.clients._table._PAGE_ROWS", 3)
        keys = [f"k{index}" for index in range(8)]
        await table.commit([put(key) for key in keys])
        assert [row.key for row in (await table.list("")).rows] == keys
        limited = await table.list("k", limit=7)
        assert [row.key for row in limited.rows] == keys[:7]


class TestCommit:
    """`EtcdTable.commit`."""

    async def test_nothing(self, table):
        """No transactions need no request."""
        assert await table.commit([]) == []

    async def test_own_verdicts(self, table):
        """Each transaction of a group has its own verdict, and rows on failure."""
        await table.commit([put("a", b"1")])
        taken, free = await table.commit(
            [put("a", b"2", Absent("a")), put("b", b"2", Absent("b"))]
        )
        assert not taken.succeeded
        assert taken.rows[0].value == b"1"
        assert free.succeeded
        assert free.rows == ()

    async def test_one_request(self, table, platform):
        """Transactions that share no key go in one write."""
        await table.commit([put(f"k{index}") for index in range(20)])
        async with platform.session.get(f"{platform.url}/stats") as response:
            assert (await response.json())["table"]["writes"] == 1

    async def test_rivals(self, table):
        """Of two claims of one key in a group, the first alone succeeds."""
        first, second = await table.commit(
            [put("a", b"1", Absent("a")), put("a", b"2", Absent("a"))]
        )
        assert first.succeeded
        assert not second.succeeded
        assert second.rows[0].value == b"1"

    async def test_write_skew(self, table):
        """A transaction sees what an earlier one of its group wrote."""
        first, second = await table.commit(
            [put("a", b"1", Absent("b")), put("b", b"1", Absent("a"))]
        )
        assert (first.succeeded, second.succeeded) == (True, False)

    async def test_large_group(self, table):
        """More transactions than one request may hold are all applied."""
        results = await table.commit([put(f"k{index}") for index in range(150)])
        assert all(result.succeeded for result in results)
        assert len((await table.list("k")).rows) == 150

    async def test_revision_is(self, table):
        """A row changed since its revision fails the condition."""
        (first,) = await table.commit([put("a", b"1")])
        condition = RevisionIs("a", first.revision)
        (changed,) = await table.commit([put("a", b"2", condition)])
        (stale,) = await table.commit([put("a", b"3", condition)])
        assert (changed.succeeded, stale.succeeded) == (True, False)

    async def test_value_is(self, table):
        """A condition on a value fails on another value and on no row."""
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
        """A deleted row is gone."""
        await table.commit([put("a")])
        await table.commit([Txn(writes=(Delete("a"),))])
        assert await table.get("a") is None

    async def test_rejected(self, table):
        """An invalid transaction is refused as such."""
        with pytest.raises(TableRejected):
            await table.commit([Txn(writes=(Put("a", b"1"), Put("a", b"2")))])


class TestFaults:
    """`EtcdTable` while the table fails."""

    async def test_down(self, table, platform):
        """A write refused before it was applied is known not to have been."""
        await platform.fault("table", mode="down")
        with pytest.raises(TableUnavailable):
            await table.commit([put("a")])
        await platform.fault("table", mode="ok")
        assert await table.get("a") is None

    async def test_lost_acknowledgement(self, table, platform):
        """A write whose answer is lost has an unknown outcome; here it landed."""
        await platform.fault("table", mode="lost_ack", count=1)
        with pytest.raises(TableTimeout):
            await table.commit([put("a")])
        assert (await table.get("a")).value == b"x"

    async def test_hanging_write(self, platform):
        """A write without an answer in time has an unknown outcome."""
        table = EtcdTable(platform.session, [platform.url], timeout_s=NO_WAIT_S)
        await platform.fault("table", mode="hang")
        with pytest.raises(TableTimeout):
            await table.commit([put("a")])

    async def test_hanging_read(self, platform):
        """A read without an answer in time is plainly unavailable."""
        table = EtcdTable(platform.session, [platform.url], timeout_s=NO_WAIT_S)
        await platform.fault("table", mode="hang")
        with pytest.raises(TableUnavailable):
            await table.get("a")

    async def test_second_group_fails(self, table, platform):
        """A failure after the first group leaves the outcome unknown."""
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
        """A refused connection leads to the next endpoint."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            refused = f"http://127.0.0.1:{unused.getsockname()[1]}"
            table = EtcdTable(platform.session, [refused, platform.url])
            await table.commit([put("a")])
            assert await table.get("a") is not None

    async def test_all_refused(self, platform):
        """A write that no endpoint took was not applied."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            refused = f"http://127.0.0.1:{unused.getsockname()[1]}"
            with pytest.raises(TableUnavailable):
                await EtcdTable(platform.session, [refused]).commit([put("a")])
