"""Tests of an entry that reads or receives what it can't handle."""

import json
from functools import partial

import pytest

from skylarkdoor import untrusted_json
from skylarkdoor.kernel import Kernel
from skylarkdoor_bench.testing import free_port
from skylarkdoor_platform import _records
from skylarkdoord.direct import DirectSettings
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._settings import DirectListen
from skylarkdoord.direct.exceptions import RowError
from skylarkdoord.direct.guard import build as build_guard

from ._standins import LOOPBACK, Entry, Server, reply, route, server_row

DESK = route()
# Deeper than the interpreter's limit.
NESTED = b"[" * 5000


def fail_once(monkeypatch, owner, name):
    """Let a method fail at its first call; return the list of calls."""
    calls = []
    original = getattr(owner, name)

    def method(self, *args, **options):
        calls.append(name)
        if len(calls) == 1:
            raise RecursionError("odd")
        return original(self, *args, **options)

    monkeypatch.setattr(owner, name, method)
    return calls


async def check_followed(start, store, data):
    """Check that an entry serves, and takes over rows, after one with some contents."""
    async with Server(reply()) as one, Server(reply()) as two:
        async with start([DESK], [one]) as caller:
            await store.put("servers", "i-odd", data)
            await store.put("servers", "i-2", server_row(two))
            await caller.entry.until_serving(2)
            assert (await caller.get())[0] == 200
            assert not caller.entry.kernel.stopping.is_set()


class TestOddRows:
    """Rows of another writer among those of the servers."""

    # Guards against a row that ends the process, or the watch of the list.
    @pytest.mark.parametrize(
        "data",
        [NESTED, b'{"slots": 1e999}', b"\xff", b"{}"],
        ids=["nested", "large", "bytes", "empty"],
    )
    async def test_list_is_followed(self, start, store, data):
        """The entry goes on serving, and takes over the rows written afterwards."""
        await check_followed(start, store, data)

    # Guards against odd numbers and ports that fail only where they are used.
    @pytest.mark.parametrize(
        "changes",
        [
            {"address": "127.0.0.1:70000"},
            {"address": "host\u00e9..x:80"},
            {"slots": 2**40},
            {"service": "\ud800"},
            {"version": "\ud800"},
            {"born": 2**70},
        ],
        ids=str,
    )
    async def test_odd_fields(self, start, store, changes):
        """A row with one odd field names no server."""
        async with Server(reply()) as one, Server(reply()) as two:
            async with start([DESK], [one]) as caller:
                await store.put("servers", "i-odd", server_row(one, **changes))
                await store.put("servers", "i-2", server_row(two))
                await caller.entry.until_serving(2)
                fleet = caller.entry.kernel.services["fleet"].fleet
                assert fleet.find("i-odd") is None
                for _ in range(4):
                    assert (await caller.get())[0] == 200
                assert not caller.entry.kernel.stopping.is_set()


class TestNestedRow:
    """A row that nests too deeply, and each of the layers that keep it harmless."""

    # Guards against entries that end again and again at a row of another writer: the
    # decoder's part.
    @pytest.mark.parametrize(
        "decode",
        [
            partial(_records.decode_upstream, "i-odd"),
            _records.decode_upstream_age,
            _records.decode_config,
            _records.decode_load,
        ],
    )
    def test_decoder(self, decode):
        """The decoder rejects it like any other malformed row."""
        with pytest.raises(RowError):
            decode(NESTED)

    # Guards against the same where a decoder fails with an error of its own: the part
    # of the tasks.
    async def test_decoder_that_fails(self, start, store, monkeypatch):
        """The entry goes on serving, and takes over the rows written afterwards."""
        monkeypatch.setattr(untrusted_json, "loads", json.loads)
        with pytest.raises(RecursionError):
            _records.decode_upstream("i-odd", NESTED)
        await check_followed(start, store, NESTED)


class TestFailingTasks:
    """Background tasks that meet an unexpected error."""

    async def test_all_are_supervised(self, start):
        """No background task of an entry may end the process."""
        async with Server(reply()) as server, start([DESK], [server]) as caller:
            coroutines = [task.get_coro() for task in caller.entry.kernel.tasks]
            assert coroutines
            assert {coroutine.__name__ for coroutine in coroutines} == {"_run_again"}

    async def test_store_feed(self, start, store, monkeypatch):
        """The watch of the list starts anew."""
        async with Server(reply()) as one, Server(reply()) as two:
            async with start([DESK], [one]) as caller:
                fleet = caller.entry.kernel.services["fleet"].fleet
                calls = fail_once(monkeypatch, type(fleet), "apply_changes")
                await store.put("servers", "i-2", server_row(two))
                await caller.entry.until_serving(2)
                assert calls
                assert not caller.entry.kernel.stopping.is_set()

    async def test_stream_of_entry(self, start, store, monkeypatch):
        """The stream to another entry is opened anew."""
        calls = fail_once(monkeypatch, Members, "receive")
        async with Server(reply()) as server, start([DESK], [server]) as caller:
            async with Entry(store, "edge-2") as other:
                for entry in (caller.entry, other):
                    members = entry.kernel.services["entries"].members
                    await entry.until(lambda members=members: members.live_count() == 2)
                    assert not entry.kernel.stopping.is_set()
        assert len(calls) > 1

    async def test_guard(self):
        """No background task of a guard may end the process."""
        kernel = Kernel()
        address = f"{LOOPBACK}:{free_port()}"
        settings = DirectSettings(
            instance="guard-1",
            data_centre="north",
            adapter="skylarkdoor_platform",
            store=address,
            listen=DirectListen(
                peers=f"{LOOPBACK}:{free_port()}", metrics=f"{LOOPBACK}:{free_port()}"
            ),
            guard_port=free_port(),
            upstream=address,
        )
        build_guard(kernel, settings)
        await kernel.start()
        names = {task.get_coro().__name__ for task in kernel.tasks}
        await kernel.stop()
        assert names == {"_run_again"}
