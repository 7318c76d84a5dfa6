"""Tests of a store whose answers are odd, or come at once without anything new."""

import asyncio

import pytest

from skylarkdoor_platform._store import PlatformStore
from skylarkdoord.direct.exceptions import StoreError

from ._standins import Server, reply, reset, route

# Calls of one entry within a second.
MOST_CALLS = 40
ROW = {"tableName": "servers", "part": "", "key": "i-9", "data": "", "rowVersion": 1}
ODD_KEY = ROW | {"key": "\ud800", "rowVersion": 99}


class TestEarlyAnswers:
    """Held calls that the store answers at once."""

    # Guards against a store that all entries ask again without a pause.
    @pytest.mark.parametrize(
        "odd",
        [
            {"rows": []},
            {"rows": None},
            {"rows": [ODD_KEY]},
            {"rows": [ROW], "rowVersion": 1},
            {"rows": [], "nowMs": "x"},
        ],
        ids=str,
    )
    async def test_pause(self, start, store, odd):
        """The entry pauses before it asks again, and goes on serving."""
        async with Server(reply()) as server, start([route()], [server]) as caller:
            store.odd_fields["/rows-feed"] = odd
            await store.put("servers", "i-8", b"")
            await asyncio.sleep(0.3)
            store.calls.clear()
            await asyncio.sleep(1.0)
            assert len(store.calls) <= MOST_CALLS
            assert (await caller.get())[0] == 200


class TestReads:
    """Reads of a whole table."""

    # Guards against a read that never ends, or that takes an odd answer for an empty
    # table and thereby removes all servers.
    @pytest.mark.parametrize(
        "odd",
        [
            {"rows": None},
            {"hasMore": "yes"},
            {"rows": [ROW], "hasMore": True},
            {"rows": [ROW, ROW | {"key": "i-8"}], "hasMore": True},
            {"rows": [], "hasMore": True},
        ],
        ids=str,
    )
    async def test_odd_answer(self, store, odd):
        """The read fails after a few calls."""
        store.odd_fields["/rows-get"] = odd
        client = PlatformStore(store.address)
        async with asyncio.timeout(2.0):
            with pytest.raises(StoreError):
                await client.read("upstreams")
        await client.close()
        assert len(store.calls) <= 3

    # Guards against a read that begins anew without end.
    async def test_eras_that_alternate(self, store, monkeypatch):
        """The read fails if its pages come from ever other copies of the store."""
        store.odd_fields["/rows-get"] = {"rows": [ROW], "hasMore": True}
        client = PlatformStore(store.address)
        original = client.to_rows

        def to_rows(reply):
            store.era = (store.era or 0) + 1
            return original(reply)

        monkeypatch.setattr(client, "to_rows", to_rows)
        async with asyncio.timeout(2.0):
            with pytest.raises(StoreError):
                await client.read("upstreams")
        await client.close()
        assert len(store.calls) <= 10


class TestBrokenAnswers:
    """Answers of the store that are not valid HTTP, or whose end is not certain."""

    ROWS = b'{"rows": [], "hasMore": false, "rowVersion": 1, "nowMs": 1}'

    # Guards against the incident of broken answers, at the reader of the store.
    @pytest.mark.parametrize(
        ("head", "is_accepted"),
        [
            (b"HTTP/1.1 200 OK", True),
            (b"HTTP/1.1 000 None", False),
            (b"HTTP/1.1 600 Odd", False),
            (b"HTTP/1.1 200 OK\r\nX Field: 1", False),
            (b"HTTP/1.1 200 OK\r\n X-Field: 1", False),
            (b"HTTP/1.1 200 OK\r\nX-Field: \x07", False),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip", False),
        ],
    )
    @pytest.mark.parametrize("end", [asyncio.StreamWriter.close, reset])
    async def test_read(self, head, is_accepted, end):
        """Only a valid answer whose connection is closed in an orderly way is used."""

        async def script(request, writer):
            writer.write(head + b"\r\n\r\n" + self.ROWS)
            await writer.drain()
            await asyncio.sleep(0.02)
            end(writer)

        async with Server(script) as server:
            client = PlatformStore(server.address)
            try:
                read = await client.read("upstreams")
            except StoreError:
                read = None
            await client.close()
        assert (read is not None) == (is_accepted and end is not reset)
