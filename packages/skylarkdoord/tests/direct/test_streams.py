"""Tests of the streams between entries and to guards, over loopback."""

import asyncio
import gc
import json

import pytest
from grpclib.client import Channel
from grpclib.protocol import Connection

from skylarkdoor.kernel import Kernel
from skylarkdoor.suspicion import crash_id
from skylarkdoor.wire import EntriesStub, pb
from skylarkdoor_bench.testing import free_port
from skylarkdoord.direct import FleetConfig, Row, Rows, Service, StoreVersion
from skylarkdoord.direct._adapter import EngineLoad
from skylarkdoord.direct._engine_reports import Report
from skylarkdoord.direct._exchange import EntryExchange
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._guard import Guard
from skylarkdoord.direct._guarded_streams import GuardedStreams
from skylarkdoord.direct._guards import Guards
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._pace import HEARTBEAT_S
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct.evidence import Crashes
from skylarkdoord.direct.exceptions import StoreError, VersionUnknownError
from skylarkdoord.direct.streams import StreamVersions

from ._make import (
    LOOPBACK,
    SERVICE,
    make_admitted,
    make_customer,
    make_record,
    make_request,
    make_route,
    make_settings,
)

SUSPECTS = 1000


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


class StubAdapter:
    """Decodes rows of plain JSON.

    Attributes:
        started_ms: Start of all upstreams, as Unix time in milliseconds; 0 if none.
    """

    started_ms = 0

    def decode_config(self, data):
        """Return a configuration with one service of engines."""
        services = {SERVICE: Service(SERVICE, is_engine=True)}
        return FleetConfig(json.loads(data), (make_route(),), services, ())

    def decode_upstream(self, key, data):
        """Return an upstream at the address in the row."""
        return make_record(key, address=json.loads(data), started_ms=self.started_ms)


class StubStore:
    """A store with the table of entries."""

    def __init__(self):
        self.rows = {}
        self.is_down = False

    async def put(self, table, key, data):
        """Write a row."""
        if self.is_down:
            raise StoreError("down")
        self.rows[key] = data
        return 0.0

    async def remove(self, table, key, version=None):
        """Remove a row."""
        self.rows.pop(key, None)

    async def read(self, table):
        """Return all rows."""
        return Rows(tuple(Row(key, 1, data) for key, data in self.rows.items()), 1)


async def end_tasks(kernel):
    """Cancel a kernel's tasks, including those that start meanwhile."""
    while tasks := [task for task in kernel.tasks if not task.done()]:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class EntryUnderTest:
    """One entry's exchange and the objects that it updates."""

    def __init__(self, instance, store):
        self.kernel = Kernel()
        self.fleet = Fleet(StubAdapter())
        self.quota = Quota(QuotaBounds())
        self.members = Members(instance, self.fleet, self.quota, Crashes())
        self.quota.silent_entries = self.members.silent_entries
        self.exchange = EntryExchange(make_settings(instance), store, self.members)

    async def start(self):
        """Start the exchange."""
        await self.exchange.start(self.kernel)
        return self

    async def kill(self):
        """Cancel all tasks and close the listener."""
        for task in list(self.kernel.tasks):
            task.cancel()
        await self.exchange.stop()
        await end_tasks(self.kernel)


@pytest.fixture
async def entries():
    """Return a function that starts entries; they are stopped after the test."""
    store = StubStore()
    started = []

    async def start(*names):
        for name in names:
            started.append(await EntryUnderTest(name, store).start())
        return started[-len(names) :]

    start.store = store
    yield start
    for entry in started:
        await entry.kill()


class TestExchange:
    """`EntryExchange`."""

    async def test_find_each_other(self, entries):
        """Entries discover each other by their rows and keep one stream per pair."""
        a, b, c = await entries("a", "b", "c")
        for entry in (a, b, c):
            await until(lambda entry=entry: entry.members.live_count() == 3)
        await until(lambda: len(a.exchange.outboxes) == 2)
        await until(lambda: len(c.exchange.outboxes) == 2)

    # Guards against suspicions that are pushed out of an update by later ones.
    async def test_suspicions(self, entries):
        """All suspicions reach the other entries, once."""
        a, b = await entries("a", "b")
        await until(lambda: a.exchange.outboxes and b.exchange.outboxes)
        received = []
        updates = []
        merge = b.members.crashes.merge

        def record(suspects):
            updates.append(len(suspects))
            received.extend(suspects)
            merge(suspects)

        b.members.crashes.merge = record
        for fingerprint in range(SUSPECTS):
            a.members.crashes.suspicions.merge(fingerprint, [crash_id("i-1", 1, 1)])
        known = b.members.crashes.suspicions
        await until(lambda: len(list(known)) == SUSPECTS)
        later = len(updates) + 3
        await until(lambda: len(updates) >= later)
        assert len(received) == SUSPECTS

    # Guards against suspicions that only the streams open at the time receive.
    async def test_suspicions_at_start(self, entries):
        """An entry that starts receives the suspicions of the others."""
        (a,) = await entries("a")
        a.members.crashes.suspicions.merge(7, [crash_id("i-1", 1, 1)])
        (b,) = await entries("b")
        await until(lambda: b.members.crashes.count(7) == 1)

    async def test_use(self, entries):
        """Use by one entry counts at the other."""
        a, b = await entries("a", "b")
        await until(lambda: a.members.live_count() == b.members.live_count() == 2)
        a.quota.is_history_complete = True
        a.quota.use(make_admitted(customer=make_customer()))
        await until(lambda: b.quota.totals().get("garden") == 100.0)

    async def test_history(self, entries):
        """A restarted entry receives the totals of all entries."""
        a, b = await entries("a", "b")
        await until(lambda: a.members.live_count() == b.members.live_count() == 2)
        a.quota.is_history_complete = True
        a.quota.use(make_admitted(customer=make_customer()))
        await b.kill()
        (restarted,) = await entries("b")
        await until(lambda: restarted.quota.totals().get("garden") == 100.0)
        assert restarted.quota.covers_window()
        assert a.quota.totals()["garden"] == 100.0

    async def test_rows(self, entries):
        """An entry that cannot read the store gets rows from one that can."""
        a, b = await entries("a", "b")
        await until(lambda: a.members.live_count() == b.members.live_count() == 2)
        a.fleet.apply_config(Row("config", 5, b"12"), source="store")
        a.fleet.apply_changes(
            Rows((Row("i-1", 6, b'"x:1"'), Row("i-2", 7, None)), 7), source="store"
        )
        await until(lambda: b.fleet.upstreams_at == (0, 7))
        await until(lambda: b.fleet.config_at == (0, 5))
        assert [record.instance for record in b.fleet.upstreams(SERVICE)] == ["i-1"]

    async def test_broadcast(self, entries):
        """Only the first entries broadcast changed rows of upstreams."""
        names = [f"e{number}" for number in range(4)]
        started = await entries(*names)
        for entry in started:
            await until(lambda entry=entry: entry.members.live_count() == 4)
        for number, entry in enumerate(started):
            rows = Rows((Row(f"i-{number}", 5 + number, b'"x:1"'),), 5 + number)
            # The version is hidden, so that no entry requests the row.
            entry.fleet.apply_upstream(rows.rows[0], source="store")
            entry.fleet.upstreams_at = StoreVersion()
            entry.exchange.broadcast(rows.rows)
        await until(lambda: {"i-0", "i-1"} <= set(started[3].fleet.cached_rows))
        assert set(started[0].fleet.cached_rows) == {"i-0", "i-1"}

    async def test_not_current(self, entries):
        """A row that is not an entry's current one is not broadcast by it."""
        a, b = await entries("a", "b")
        await until(lambda: a.members.live_count() == b.members.live_count() == 2)
        a.exchange.broadcast([Row("i-1", 5, None)])
        a.fleet.apply_config(Row("config", 5, b"12"), source="store")
        await until(lambda: b.fleet.config_at == (0, 5))
        assert not b.fleet.cached_rows

    # Guards against an entry without the store that takes newer rows for older ones.
    async def test_rows_of_later_era(self, entries):
        """Rows of a later era reach an entry that still has those of the former one."""
        a, b = await entries("a", "b")
        b.fleet.apply_config(Row("config", 50, b"5"), source="store")
        b.fleet.apply_changes(Rows((Row("i-1", 60, b'"x"'),), 60), source="store")
        a.fleet.apply_config(Row("config", 10, b"6", 1), source="store")
        rows = Rows((Row("i-1", 12, None, 1),), 12, era=1)
        a.fleet.apply_changes(rows, source="store")
        await until(lambda: b.fleet.config_at == (1, 10))
        await until(lambda: not list(b.fleet.upstreams(SERVICE)))
        assert b.fleet.table.config.version == 6

    # Guards against an older configuration that stays because its row's era is later.
    async def test_older_copy(self, entries):
        """An entry that reads a copy of the store gets the newer version of another."""
        x, y = await entries("x", "y")
        x.fleet.apply_config(Row("config", 100, b"5"), source="store")
        y.fleet.apply_config(Row("config", 90, b"4", 1), source="store")
        await until(lambda: y.fleet.table.config.version == 5)
        assert x.fleet.table.config.version == 5

    # Guards against a missed change that waits for updates of this entry's own.
    async def test_missed_change(self, entries):
        """An entry gets a change from another without sending updates meanwhile."""
        x, y = await entries("x", "y")
        await until(lambda: x.members.live_count() == y.members.live_count() == 2)
        for entry in (x, y):
            entry.members.update_interval_s = lambda: 3600.0
            entry.exchange.pace.interval_s = lambda: 3600.0
            entry.exchange.pace.silence_timeout_s = lambda: 3600.0
        # Intervals that began before end.
        await asyncio.sleep(1.5 * HEARTBEAT_S)
        x.fleet.apply_config(Row("config", 5, b"12"), source="store")
        x.exchange.send_update("y")
        await until(lambda: y.fleet.config_at == (0, 5))

    async def test_store_down_at_start(self, entries):
        """An entry that starts during an outage of the store joins after it."""
        (a,) = await entries("a")
        await until(lambda: "a" in entries.store.rows)
        entries.store.is_down = True
        (b,) = await entries("b")
        await asyncio.sleep(0.1)
        entries.store.is_down = False
        await until(lambda: a.members.live_count() == b.members.live_count() == 2)

    async def test_versions(self, entries):
        """An entry that joins gets the history, and later changes at once."""
        (a,) = await entries("a")
        a.members.streams.history.covers_past = True
        a.fleet.apply_snapshot(Rows((Row("i-1", 5, b'"x:1"'),), 5))
        (b,) = await entries("b")
        b.fleet.apply_snapshot(Rows((Row("i-1", 5, b'"x:1"'),), 5))
        history = b.members.streams.history
        await until(lambda: history.only_version(SERVICE) == "")
        a.members.streams.history.add(SERVICE, "v2")
        a.members.streams.history.notify({})
        await until(lambda: history.only_version(SERVICE) is None)

    async def test_streams(self, entries):
        """An entry that starts asks the others for a stream, as it connects to them."""
        (a,) = await entries("a")
        began = make_admitted(make_request(request_id="first"))
        a.members.streams.on_begun(began, "v1")
        (b,) = await entries("b")
        b.fleet.is_read = True
        again = make_admitted(make_request(request_id="again", resumes="first"))
        assert await b.members.streams.find(again) == "v1"
        assert not b.exchange.opening

    async def test_closed(self, entries):
        """An entry that closed its stream does not count as partitioned."""
        a, b = await entries("a", "b")
        await until(lambda: a.members.live_count() == b.members.live_count() == 2)
        await b.kill()
        await until(lambda: a.members.by_name["b"].has_closed_stream)
        assert list(entries.store.rows) == ["a"]
        assert a.members.silent_entries() == (0, 1)

    async def test_silent(self, entries):
        """An entry that sends no updates counts as partitioned."""
        a, b = await entries("a", "b")
        await until(lambda: a.members.live_count() == b.members.live_count() == 2)
        for task in list(b.kernel.tasks):
            task.cancel()
        a.members.by_name["b"].last_update_at -= 1.0
        a.members.by_name["b"].has_closed_stream = False
        assert a.members.silent_entries() == (1, 2)

    # Guards against an entry that stops and yet connects to those which it leaves.
    async def test_stopped(self, entries):
        """An entry that stops opens no stream in place of those that it closes."""
        (a,) = await entries("a")
        await until(lambda: a.exchange.has_joined)
        await entries("b")
        await until(lambda: "b" in a.exchange.inbound)
        await a.exchange.stop()
        assert not a.exchange.inbound
        assert not a.exchange.links

    # Guards against a task that is destroyed while it runs, as the process ends.
    def test_stream_after_stop(self, caplog):
        """A stream that begins after the exchange has stopped leaves no task behind."""
        asyncio.run(receive_after_stop())
        gc.collect()
        assert "Task was destroyed" not in caplog.text


async def receive_after_stop():
    """Open a stream to a stopped entry, on a connection that it has accepted before."""
    entry = await EntryUnderTest("a", StubStore()).start()
    host, port = entry.exchange.settings.listen.peers.split(":")
    channel = Channel(host, int(port))
    await channel.__connect__()
    await until(lambda: entry.exchange.server._handlers)
    await entry.exchange.stop()
    await end_tasks(entry.kernel)
    peer = asyncio.create_task(keep_stream(channel))
    await until(lambda: entry.exchange.inbound)
    assert not peer.done()


async def keep_stream(channel):
    """Open a stream as another entry, and keep it until cancelled."""
    address = f"{LOOPBACK}:{free_port()}"
    try:
        async with EntriesStub(channel).Exchange.open() as stream:
            await stream.send_message(pb.EntryNews(instance="b", address=address))
            await asyncio.Event().wait()
    finally:
        channel.close()


class TestLink:
    """`Link`."""

    async def test_closed_before_the_stream_opens(self, entries, monkeypatch):
        """A connection that closes before its stream opens is opened again.

        An entry terminated when the connection to a killed entry had closed before the
        stream on it was opened.
        """
        create_stream = Connection.create_stream
        closed = []

        def close_first(connection, **options):
            if not closed:
                closed.append(connection)
                connection.close()
            return create_stream(connection, **options)

        monkeypatch.setattr(Connection, "create_stream", close_first)
        a, b = await entries("a", "b")
        await until(lambda: a.members.live_count() == b.members.live_count() == 2)
        assert closed


class EntryWithGuard:
    """An entry's scheduler and its streams to guards."""

    def __init__(self, instance, guard_port, slots=1):
        self.kernel = Kernel()
        self.fleet = Fleet(StubAdapter())
        self.scheduler = Scheduler(Upstreams(self.fleet), data_centre="north")
        settings = make_settings(instance, guard_port)
        self.guards = Guards(settings, self.fleet, self.scheduler)
        self.scheduler.choice.guard_link_of = self.guards.link_of

    async def start(self):
        """Add one upstream and wait for the connection to its guard."""
        await self.guards.start(self.kernel)
        self.fleet.apply_config(Row("config", 1, b"1"), source="test")
        address = json.dumps(f"{LOOPBACK}:9").encode()
        self.fleet.apply_changes(Rows((Row("i-1", 2, address),), 2), source="test")
        await until(lambda: any(one.is_connected for one in self.links))
        return self

    @property
    def links(self):
        """The streams to guards."""
        return list(self.guards.links.values())

    async def stop(self):
        """Cancel all tasks."""
        await end_tasks(self.kernel)


@pytest.fixture
async def guard():
    """Return a running guard."""
    guard = Guard(make_settings("side-1"))
    kernel = Kernel()
    await guard.start(kernel)
    yield guard
    await guard.stop()
    await end_tasks(kernel)


def port_of(guard):
    """Return the port on which a guard listens."""
    return int(guard.settings.listen.peers.rpartition(":")[2])


class TestGuards:
    """`Guards`."""

    async def test_no_guard(self):
        """An engine counts as guarded until the first connection attempt has failed."""
        kernel = Kernel()
        fleet = Fleet(StubAdapter())
        scheduler = Scheduler(Upstreams(fleet), data_centre="north")
        guards = Guards(make_settings("edge-1", free_port()), fleet, scheduler)
        await guards.start(kernel)
        fleet.apply_config(Row("config", 1, b"1"), source="test")
        address = json.dumps(f"{LOOPBACK}:9").encode()
        fleet.apply_changes(Rows((Row("i-1", 2, address),), 2), source="test")
        (record,) = fleet.upstreams(SERVICE)
        assert guards.link_of(record) is not None
        await until(lambda: guards.link_of(record) is None)
        await end_tasks(kernel)

    async def test_waiting_as_an_engine_appears(self, guard):
        """Requests that wait when an engine appears get their slots from its guard.

        Engines that restarted after a crash received 18 to 24 requests at once, from as
        many entries, for 8 slots: each entry took slots of its own share before it had
        connected to the guard.
        """
        entry = EntryWithGuard("a", port_of(guard))
        await entry.guards.start(entry.kernel)
        entry.fleet.apply_config(Row("config", 1, b"1"), source="test")
        waiting = asyncio.create_task(entry.scheduler.acquire(make_admitted()))
        await until(lambda: entry.scheduler.waiters)
        address = json.dumps(f"{LOOPBACK}:9").encode()
        entry.fleet.apply_changes(Rows((Row("i-1", 2, address),), 2), source="test")
        slot = await waiting
        assert slot.guard is not None
        await entry.stop()

    async def test_speed(self, guard):
        """A guard learns its engine's speed from complete answers; entries are told."""
        entry = await EntryWithGuard("a", port_of(guard)).start()
        request = make_request(expected_tokens=100, max_tokens=200)
        for is_answered in (False, True, True):
            slot = await entry.scheduler.acquire(make_admitted(request))
            await asyncio.sleep(0.1)
            entry.scheduler.release(slot, is_answered=is_answered)
        (link,) = entry.links
        await until(lambda: link.tokens_per_s)
        assert guard.queue.speed.samples == 2
        assert 100 < link.tokens_per_s <= 1000
        await entry.stop()


class TestRestarts:
    """Starts of upstreams that the registry does not list yet."""

    @pytest.fixture
    async def entry(self, guard):
        """Return an entry whose upstream is listed with a start, and its reports."""
        entry = EntryWithGuard("a", port_of(guard))
        entry.fleet.adapter.started_ms = 5
        entry.reported = []
        entry.guards.on_restarted.append(
            lambda record, started_ms: entry.reported.append(
                (record.instance, started_ms)
            )
        )
        yield entry
        await entry.stop()

    @staticmethod
    def report(guard, started_ms):
        """Let the guard read a report of its engine."""
        guard.on_report(Report(EngineLoad(0, 0, 0, 0, started_ms)))

    # Guards against another start that runs under the listed one's record unnoticed.
    async def test_restarted(self, guard, entry):
        """An entry is told once of a later start than the listed one."""
        await entry.start()
        for started_ms in (5, 7, 7):
            self.report(guard, started_ms)
        await until(lambda: entry.reported)
        guard.queue.resize(3)
        await until(lambda: entry.links[0].load.limit == 3)
        assert entry.reported == [("i-1", 7)]

    async def test_entry_connects_later(self, guard, entry):
        """An entry that connects after the start is told as well."""
        self.report(guard, 7)
        await entry.start()
        await until(lambda: entry.reported == [("i-1", 7)])

    @pytest.mark.parametrize("listed_ms", [0, 7, 8])
    async def test_no_later_start(self, guard, entry, listed_ms):
        """Nothing is told if the registry lists no start, the same or a later one."""
        entry.fleet.adapter.started_ms = listed_ms
        self.report(guard, 7)
        await entry.start()
        await until(lambda: entry.links[0].load.started_ms == 7)
        assert not entry.reported


class TestGuardedStreams:
    """Streams that guards keep."""

    @staticmethod
    def keep(entry):
        """Let the guards of an entry keep its streams; return the streams."""
        streams = StreamVersions(entry.fleet)
        GuardedStreams(entry.guards, streams)
        return streams

    async def test_all_entries_lost(self, guard):
        """A guard tells the version of a stream to an entry that starts."""
        former = EntryWithGuard("a", port_of(guard))
        streams = self.keep(former)
        await former.start()
        began = make_admitted(make_request(request_id="first"))
        streams.on_begun(began, "v1", "i-1")
        await until(lambda: guard.streams.begun)
        await former.stop()
        entry = EntryWithGuard("b", port_of(guard))
        streams = self.keep(entry)
        again = make_admitted(make_request(request_id="again", resumes="first"))
        # The look-up begins before the stream to the guard is open.
        finding = asyncio.create_task(streams.find(again))
        await asyncio.sleep(0.05)
        entry.fleet.is_read = True
        await entry.start()
        assert await finding == "v1"
        await entry.stop()

    async def test_unknown(self, guard):
        """A guard says nothing of streams that it doesn't know."""
        entry = EntryWithGuard("a", port_of(guard))
        streams = self.keep(entry)
        entry.fleet.is_read = True
        await entry.start()
        again = make_admitted(make_request(request_id="again", resumes="first"))
        with pytest.raises(VersionUnknownError):
            await streams.find(again)
        await entry.stop()


class TestGuard:
    """A guard with the schedulers of entries."""

    async def test_shared_slots(self, guard):
        """Entries share an upstream's slots; the higher tier goes first."""
        one = await EntryWithGuard("a", port_of(guard)).start()
        two = await EntryWithGuard("b", port_of(guard)).start()
        slots = [await one.scheduler.acquire(make_admitted()) for _ in range(2)]
        order = []

        async def wait(entry, rank):
            slot = await entry.scheduler.acquire(make_admitted(rank=rank))
            order.append(rank)
            entry.scheduler.release(slot)

        low = asyncio.create_task(wait(one, 2))
        await until(lambda: len(guard.queue.waiting) == 1)
        high = asyncio.create_task(wait(two, 0))
        await until(lambda: len(guard.queue.waiting) == 2)
        one.scheduler.release(slots[0])
        await asyncio.gather(low, high)
        assert order == [0, 2]
        one.scheduler.release(slots[1])
        await until(lambda: guard.queue.counts().running == 0)
        for entry in (one, two):
            await entry.stop()

    async def test_correction_outlives_grants(self, guard):
        """The reported load is not negative if grants end before their correction.

        A guard terminated when it reported a load of -1, as the correction still came
        from the previous engine report.
        """
        entry = await EntryWithGuard("a", port_of(guard)).start()
        slot = await entry.scheduler.acquire(make_admitted())
        guard.queue.set_correction(-1)
        entry.scheduler.release(slot)
        await until(lambda: not guard.queue.granted)
        assert guard.load().load.running == 0
        await entry.stop()

    async def test_caller_disconnects(self, guard):
        """A request whose caller disconnected is withdrawn from the guard."""
        entry = await EntryWithGuard("a", port_of(guard)).start()
        for _ in range(2):
            await entry.scheduler.acquire(make_admitted())
        task = asyncio.create_task(entry.scheduler.acquire(make_admitted()))
        await until(lambda: len(guard.queue.waiting) == 1)
        task.cancel()
        await until(lambda: not guard.queue.waiting)
        await entry.stop()

    async def test_guard_lost(self, guard):
        """An upstream whose guard is lost is used within the entry's share."""
        entry = await EntryWithGuard("a", port_of(guard)).start()
        for _ in range(2):
            await entry.scheduler.acquire(make_admitted())
        task = asyncio.create_task(entry.scheduler.acquire(make_admitted()))
        await until(lambda: len(guard.queue.waiting) == 1)
        await guard.stop()
        slot = await task
        assert slot.guard is None
        await entry.stop()

    async def test_entry_lost(self, guard):
        """Waiting requests of an entry that disconnected get no slots."""
        entry = await EntryWithGuard("a", port_of(guard)).start()
        for _ in range(2):
            await entry.scheduler.acquire(make_admitted())
        task = asyncio.create_task(entry.scheduler.acquire(make_admitted()))
        await until(lambda: len(guard.queue.waiting) == 1)
        await entry.stop()
        await until(lambda: not guard.queue.waiting)
        assert guard.queue.counts().running == 2
        task.cancel()
