"""Tests of `SuspectRecords`, which shares suspicions through the store."""

import asyncio
import time

import pytest

from skylarkdoor.kernel import Kernel
from skylarkdoor.suspicion import Suspicion, crash_id
from skylarkdoord.direct import Row, Rows
from skylarkdoord.direct.evidence import _suspect_records
from skylarkdoord.direct.evidence._crash_state import MAX_CRASHES
from skylarkdoord.direct.evidence._crashes import Crashes
from skylarkdoord.direct.evidence._crashing_requests import CLEARING_ANSWERS
from skylarkdoord.direct.evidence._suspect_records import (
    MAX_RECORDED,
    SUSPECTS,
    SuspectRecords,
    decode,
    encode,
)
from skylarkdoord.direct.exceptions import HistoryLostError, StoreError


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    """Write and read records without delay."""
    monkeypatch.setattr(_suspect_records, "PAUSE_S", 0.0)
    monkeypatch.setattr(_suspect_records, "RECORD_INTERVAL_S", 0.01)


class StubStore:
    """A store with one table."""

    def __init__(self):
        self.version = 1
        self.rows = {}
        self.puts = 0
        self.is_down = False
        self.is_history_lost = False
        self.keeps_no_history = False
        self.reads = 0
        self.changed = asyncio.Condition()

    def check(self, table):
        """Raise an error if the store is down."""
        assert table == SUSPECTS
        if self.is_down:
            raise StoreError("down")

    async def read(self, table):
        """Return all rows."""
        self.check(table)
        await asyncio.sleep(0)
        self.reads += 1
        return Rows(tuple(self.rows.values()), self.version)

    async def changes(self, table, since, *, wait_s):
        """Return the rows changed after a version, once there are any."""
        if self.keeps_no_history:
            raise HistoryLostError("no history")
        async with self.changed:
            await self.changed.wait_for(
                lambda: self.version > since or self.is_down or self.is_history_lost
            )
        self.check(table)
        if self.is_history_lost:
            self.is_history_lost = False
            raise HistoryLostError("compacted")
        rows = tuple(row for row in self.rows.values() if row.version > since)
        return Rows(rows, self.version)

    async def put(self, table, key, data):
        """Write a row."""
        self.check(table)
        async with self.changed:
            self.puts += 1
            self.version += 1
            self.rows[key] = Row(key, self.version, data)
            self.changed.notify_all()
        return 0.0

    async def remove(self, table, key, version=None):
        """Remove a row."""
        self.check(table)
        del self.rows[key]

    async def notify(self):
        """Wake the watch calls."""
        async with self.changed:
            self.changed.notify_all()


class Entry:
    """One incarnation of an entry, without streams to the others."""

    def __init__(self, instance, store):
        self.kernel = Kernel()
        self.crashes = Crashes()
        self.records = SuspectRecords(instance, store, self.crashes)

    def observe(self, number, fingerprint=7):
        """Observe a crash under a request."""
        self.crashes.observe(fingerprint, [crash_id(f"i-{number}", 1, 1)])


@pytest.fixture
def store():
    """Return a store."""
    return StubStore()


@pytest.fixture
async def start(store):
    """Return a function that starts an entry; all are stopped after the test."""
    entries = []

    async def start_entry(instance):
        entry = Entry(instance, store)
        entries.append(entry)
        await entry.records.start(entry.kernel)
        return entry

    yield start_entry
    for entry in entries:
        await entry.records.stop()


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


class TestSuspectRecords:
    """`SuspectRecords`."""

    # Guards against entries that are cut off from each other and each count alone.
    async def test_partition(self, start):
        """Crashes that entries observed without a stream between them add up."""
        entries = [await start(f"edge-{number}") for number in range(MAX_CRASHES)]
        for number, entry in enumerate(entries):
            entry.observe(number)
        for entry in entries:
            await until(lambda entry=entry: entry.crashes.is_quarantined(7))

    # Guards against crashes that are forgotten when all entries start anew.
    async def test_restart_of_all(self, start, store):
        """Each entry that starts continues from the records of all."""
        for number in range(MAX_CRASHES):
            entry = await start("edge-1" if number % 2 else "edge-2")
            await until(lambda n=number, e=entry: e.crashes.count(7) == n)
            entry.observe(number)
            await until(lambda n=number: store.puts == n + 1)
            await entry.records.stop()
        last = await start("edge-3")
        await until(lambda: last.crashes.is_quarantined(7))

    async def test_cleared(self, start):
        """A clearance reaches the other entries, and a later start."""
        one, other = await start("edge-1"), await start("edge-2")
        one.observe(1)
        await until(lambda: other.crashes.count(7) == 1)
        for _ in range(CLEARING_ANSWERS):
            other.crashes.on_answered(7, time.monotonic())
        await until(lambda: one.crashes.count(7) == 0)

    async def test_outage(self, start, store):
        """Suspicions observed while the store is down are recorded afterwards."""
        entry = await start("edge-1")
        await entry.records.has_read.wait()
        store.is_down = True
        entry.observe(1)
        await until(lambda: entry.records.calls.is_failing)
        store.is_down = False
        await until(lambda: store.puts == 1)

    async def test_history_lost(self, start, store):
        """All records are read again if the store has lost its history."""
        entry = await start("edge-1")
        await entry.records.has_read.wait()
        store.rows["edge-2"] = Row("edge-2", 1, encode([Suspicion(7, {"1/i/1/1"})]))
        store.is_history_lost = True
        await store.notify()
        await until(lambda: list(entry.crashes.suspicions))

    # Guards against calls without a pause to a store that keeps no history.
    async def test_no_history(self, start, store):
        """Reads are repeated less and less often while the history is lost."""
        store.keeps_no_history = True
        entry = await start("edge-1")
        await entry.records.has_read.wait()
        await asyncio.sleep(0.5)
        assert 2 <= store.reads <= 8

    async def test_expired(self, start, store):
        """A record of which no crash counts any more is removed."""
        store.rows["edge-2"] = Row("edge-2", 1, encode([Suspicion(7, {"1000/i/1/1"})]))
        await start("edge-1")
        await until(lambda: "edge-2" not in store.rows)

    async def test_own_record(self, start, store):
        """A start does not write the record of the former incarnation again."""
        suspicion = Suspicion(7, {crash_id("i-1", 1, 1)})
        store.rows["edge-1"] = Row("edge-1", 1, encode([suspicion]))
        entry = await start("edge-1")
        await entry.records.has_read.wait()
        assert entry.crashes.count(7) == 1
        assert not entry.records.is_due()

    async def test_malformed(self, start, store):
        """A malformed record is skipped; the others are applied."""
        store.rows["edge-2"] = Row("edge-2", 1, b'{"7": 1}')
        store.rows["edge-3"] = Row(
            "edge-3", 1, b'{"x": {"crashes": [], "cleared": []}}'
        )
        store.rows["edge-4"] = Row(
            "edge-4", 1, encode([Suspicion(7, {crash_id("i-1", 1, 1)})])
        )
        entry = await start("edge-1")
        await until(lambda: entry.crashes.count(7) == 1)

    async def test_bounded(self, start, store):
        """A record contains the latest suspicions only and fits into a row."""
        entry = await start("edge-1")
        for fingerprint in range(2 * MAX_RECORDED):
            entry.crashes.observe(
                fingerprint,
                [crash_id("i-0123456789", 1_800_000_000_000, n) for n in range(3)],
            )
        await until(lambda: store.puts)
        data = store.rows["edge-1"].data
        assert len(decode(data)) == MAX_RECORDED
        assert len(data) < 65536
