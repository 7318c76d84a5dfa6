"""Tests of the poll of the settings' table."""

import json
from types import SimpleNamespace
from typing import NamedTuple

import pytest

from skylarkdoor.clients import Put, Txn
from skylarkdoor.exceptions import SettingsError
from skylarkdoord.common import SettingsService, _settings
from skylarkdoord.common import _settings_poll as settings_poll
from skylarkdoord.common._rows import CHANGE_COUNTER_KEY, settings_key

from .._fakes import FakeClock, FakeTable

A = "/teams/a"
B = "/teams/b"
TEAM = {"customers": {}}
INVALID = {"customers": {"x": {"tier": 7}}}
INVALID_ROW = json.dumps({"revision": 2, "document": INVALID}).encode()


class CountingTable(FakeTable):
    """Table that counts the reads of all subtrees.

    Attributes:
        full_reads: Number of these reads.
        outdated: Answer of a replica that is behind; None if none is.
    """

    def __init__(self):
        super().__init__()
        self.full_reads = 0
        self.outdated = None

    async def list(self, prefix, *, limit=0):
        """Return the rows and count the call."""
        self.full_reads += 1
        return self.outdated or await super().list(prefix, limit=limit)

    async def change(self, path, revision, document):
        """Store a change as the operators' API does."""
        row = {"revision": revision, "document": document}
        await self.put(path, json.dumps(row).encode())

    async def put(self, path, value):
        """Store a row and count the change."""
        own = Put(settings_key(path), value)
        await self.commit([Txn(writes=(own, Put(CHANGE_COUNTER_KEY, b"")))])


class Platform(NamedTuple):
    """Platform that has only a table."""

    table: CountingTable


class Process:
    """The settings of one process without peers, and its poll."""

    def __init__(self, clock):
        self.clock = clock
        self.table = CountingTable()
        self.service = SettingsService()
        self.poll = settings_poll.SettingsPoll(Platform(self.table), self.service)

    async def polls(self, seconds):
        """Poll for a while, as often as `run` does at least."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += settings_poll.POLL_INTERVAL_S
            await self.poll.check()


@pytest.fixture
def process(monkeypatch):
    """Return a process whose clock the test advances."""
    clock = FakeClock()
    monkeypatch.setattr(settings_poll, "time", SimpleNamespace(monotonic=clock))
    monkeypatch.setattr(settings_poll, "PEER_UPDATE_WAIT_S", 0.0)
    return Process(clock)


class FailingCheck:
    """Check of documents that fails for one team while it has an error.

    Attributes:
        error: The error; None if the check is the product's.
    """

    def __init__(self, monkeypatch, path):
        self.path = path
        self.error = None
        self.check = _settings.check_document
        monkeypatch.setattr(_settings, "check_document", self)

    def __call__(self, path, document):
        """Check a document."""
        if self.error is not None and path == self.path:
            raise self.error
        return self.check(path, document)


@pytest.mark.parametrize("error", [SettingsError("x"), MemoryError()])
class TestPassingFailure:
    """A revision that is rejected for a cause that passes."""

    @pytest.fixture
    def check(self, monkeypatch):
        """Return the check of documents."""
        return FailingCheck(monkeypatch, A)

    # Guards against a change that stays out of force until the next one.
    async def test_table(self, process, check, error):
        """It is read from the table again; the other teams are not affected."""
        await process.table.change(A, 1, TEAM)
        await process.table.change(B, 1, TEAM)
        check.error = error
        await process.poll.check()
        assert process.service.revisions() == {B: 1}
        check.error = None
        await process.polls(2 * settings_poll.POLL_INTERVAL_S)
        assert process.service.revisions() == {A: 1, B: 1}

    # Guards against a change from a peer that stays out of force until the next one.
    async def test_peer(self, process, check, error):
        """A row that a peer sent is read from the table."""
        await process.poll.check()
        await process.table.change(A, 1, TEAM)
        (row,) = (await process.table.list(settings_key(A))).rows
        check.error = error
        process.service.apply_encoded_row(A, row.value)
        check.error = None
        await process.polls(settings_poll.POLL_INTERVAL_S)
        assert process.service.revisions() == {A: 1}


class TestInvalidRow:
    """A row that stays invalid."""

    # Guards against a row that all processes read and log without a pause.
    @pytest.mark.parametrize("value", [INVALID_ROW, b"{"])
    async def test_rarely_read(self, process, caplog, value):
        """It is read less and less often; the former revision stays in force."""
        caplog.set_level("INFO", "skylarkdoor")
        await process.table.change(A, 1, TEAM)
        await process.poll.check()
        await process.table.put(A, value)
        await process.polls(3600.0)
        rejected = [r for r in caplog.records if r.event_name == "settings_rejected"]
        assert 10 < len(rejected) < 40
        assert process.table.full_reads < 40
        assert process.service.revisions() == {A: 1}

    # Guards against a mended row that is noticed only at the next regular full read.
    async def test_mended(self, process):
        """A row that was malformed is in force soon after it is mended."""
        await process.table.put(A, b"{")
        await process.polls(60.0)
        mended = Put(settings_key(A), b'{"revision": 1, "document": {"customers": {}}}')
        await process.table.commit([Txn(writes=(mended,))])
        await process.polls(60.0)
        assert process.service.revisions() == {A: 1}

    async def test_valid_again(self, process):
        """Once a valid revision is in force, all is read at the usual interval."""
        await process.table.change(A, 1, INVALID)
        await process.polls(60.0)
        await process.table.change(A, 2, TEAM)
        await process.polls(60.0)
        assert process.service.revisions() == {A: 2}
        read = process.table.full_reads
        await process.polls(settings_poll.FULL_READ_INTERVAL_S / 4)
        assert process.table.full_reads == read


class TestOutdatedRows:
    """Rows that a replica returns that is behind the one that has the counter."""

    # Guards against a change that is missed until the next regular full read.
    async def test_read_again(self, process):
        """They are read again, although the counter does not change any more."""
        await process.table.change(A, 1, TEAM)
        outdated = await process.table.list("settings/")
        await process.table.change(A, 2, TEAM)
        process.table.outdated = outdated
        await process.poll.check()
        assert process.service.revisions() == {A: 1}
        process.table.outdated = None
        await process.polls(settings_poll.POLL_INTERVAL_S)
        assert process.service.revisions() == {A: 2}

    # Guards against reads of all settings at each poll of each process.
    async def test_stays_behind(self, process):
        """While the replica stays behind, they are read less and less often."""
        await process.table.change(A, 1, TEAM)
        process.table.outdated = await process.table.list("settings/")
        await process.table.change(A, 2, TEAM)
        await process.polls(3600.0)
        assert 10 < process.table.full_reads < 40
