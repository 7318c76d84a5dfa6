"""Tests of the poll of the settings when the table comes back as an older copy."""

import json
from types import SimpleNamespace
from typing import NamedTuple

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from skylarkdoor.clients import EtcdTable, Put, Txn
from skylarkdoor_standins.platform._faults import FaultInjector
from skylarkdoor_standins.platform._stats import ServiceStats
from skylarkdoor_standins.platform._table import TableService
from skylarkdoord.common import SettingsService
from skylarkdoord.common import _settings_poll as settings_poll
from skylarkdoord.common._rows import CHANGE_COUNTER_KEY, settings_key

from .._fakes import FakeClock

A = "/teams/a"
B = "/teams/b"


class Platform(NamedTuple):
    """Platform that has only a table."""

    table: EtcdTable


class Deployment:
    """The platform's table, and the settings of one process without peers.

    Attributes:
        store: State of the table.
        full_reads: Number of full reads by the process.
    """

    def __init__(self, store, client, clock):
        self.store = store
        self.client = client
        self.clock = clock
        self.service = SettingsService()
        self.poll = settings_poll.SettingsPoll(Platform(client), self.service)
        self.full_reads = 0
        self.read_all = self.poll.read_all
        self.poll.read_all = self.count_read

    async def count_read(self):
        """Read all and count the call."""
        self.full_reads += 1
        await self.read_all()

    async def change(self, path, revision):
        """Store a change as the operators' API does."""
        row = {"revision": revision, "document": {"customers": {}}}
        own = Put(settings_key(path), json.dumps(row).encode())
        counter = Put(CHANGE_COUNTER_KEY, f"{path}:{revision}".encode())
        await self.client.commit([Txn(writes=(own, counter))])

    async def change_up_to(self, path, revision):
        """Store the changes of a subtree up to a revision."""
        for number in range(1, revision + 1):
            await self.change(path, number)

    async def check_once(self):
        """Poll after the usual interval."""
        self.clock.now += settings_poll.POLL_INTERVAL_S
        await self.poll.check()


@pytest.fixture
async def deployment(monkeypatch):
    """Return a deployment whose table is a stand-in and whose clock the test sets."""
    clock = FakeClock()
    monkeypatch.setattr(settings_poll, "time", SimpleNamespace(monotonic=clock))
    monkeypatch.setattr(settings_poll, "PEER_UPDATE_WAIT_S", 0.0)
    service = TableService(FaultInjector(ServiceStats()))
    app = web.Application()
    app.add_routes(service.routes())
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        client = EtcdTable(session, [str(server.make_url("")).rstrip("/")])
        yield Deployment(service.store, client, clock)


class TestOlderCopy:
    """A table that comes back from an older copy."""

    # Guards against a change that is missed until the next regular full read.
    @pytest.mark.parametrize("is_seen", [True, False])
    @pytest.mark.parametrize("lost", [1, 2, 3])
    async def test_later_change(self, deployment, is_seen, lost):
        """A change made on the copy is noticed, whether the copy was polled before."""
        await deployment.change(A, 1)
        older = deployment.store.snapshot()
        for revision in range(2, 2 + lost):
            await deployment.change(A, revision)
        await deployment.check_once()
        deployment.store.replace(older)
        if is_seen:
            await deployment.check_once()
        await deployment.change(B, 1)
        await deployment.check_once()
        assert deployment.service.revisions() == {A: 1 + lost, B: 1}

    # Guards against reads of all settings at each poll of each process.
    async def test_alternating(self, deployment):
        """With replicas that are behind, all is read at a bounded rate."""
        await deployment.change_up_to(A, 2)
        older = deployment.store.snapshot()
        await deployment.change_up_to(B, 3)
        newer = deployment.store.snapshot()
        began = deployment.clock.now
        for _ in range(50):
            for copy in (newer, older):
                deployment.store.replace(copy.snapshot())
                await deployment.check_once()
        minutes = (deployment.clock.now - began) / 60.0
        assert deployment.full_reads <= 2 * minutes + 2
        assert deployment.service.revisions() == {A: 2, B: 3}

    async def test_lost(self, deployment):
        """Settings stay in force without any row, and new ones are noticed."""
        empty = deployment.store.snapshot()
        await deployment.change_up_to(A, 3)
        await deployment.check_once()
        deployment.store.replace(empty)
        await deployment.check_once()
        await deployment.change(B, 1)
        await deployment.check_once()
        assert deployment.service.revisions() == {A: 3, B: 1}
