"""Tests of the listeners of the components of an entry."""

import asyncio

import pytest

from skylarkdoor.exceptions import InvariantBrokenError
from skylarkdoor.tasks import end_tasks
from skylarkdoord.direct import Row, Rows, StoreEra, UpstreamHead, _watch
from skylarkdoord.direct._call import UpstreamClient
from skylarkdoord.direct._fleet import CONFIG, UPSTREAMS, Fleet
from skylarkdoord.direct._guards import Guards
from skylarkdoord.direct._watch import FleetWatcher
from skylarkdoord.direct.streams import StreamVersions, key_of

from ._make import make_admitted, make_record, make_settings
from .test_fleet import Settings, StubAdapter, StubStore, rows
from .test_stream_versions import StubFleet


class Listeners:
    """Three listeners, the second of which raises an error.

    Attributes:
        called: Listeners that were called.
    """

    def __init__(self, error):
        self.error = error
        self.called = []

    def first(self, *arguments):
        """Be called."""
        self.called.append("first")

    def failing(self, *arguments):
        """Raise the error."""
        raise self.error

    def last(self, *arguments):
        """Be called."""
        self.called.append("last")

    def all(self):
        """Return the three in order."""
        return [self.first, self.failing, self.last]


@pytest.fixture
def fleet():
    """Return an empty fleet."""
    return Fleet(StubAdapter())


class TestFailures:
    """A listener that raises an error."""

    # Guards against a version that some components of an entry never learn of.
    def test_config(self, fleet, caplog):
        """The other listeners learn of the configuration, which is in force."""
        caplog.set_level("INFO", "skylarkdoor")
        listeners = Listeners(KeyError("desk"))
        fleet.on_config += listeners.all()
        fleet.apply_config(Row("config", 5, b"7"), source="test")
        assert fleet.table.config.version == 7
        assert listeners.called == ["first", "last"]
        (failure,) = [r for r in caplog.records if r.event_name == "listener_failed"]
        assert (failure.listener, failure.error) == ("Listeners.failing", "KeyError")
        assert failure.at.startswith("test_listeners.py:")

    # Guards against upstreams that get no requests for the failure of another part.
    def test_upstreams(self, fleet):
        """The other listeners learn of the upstreams."""
        listeners = Listeners(ValueError())
        fleet.on_upstreams += listeners.all()
        fleet.apply_snapshot(rows(1, a="ready"))
        fleet.apply_changes(rows(2, b="ready"), source="test")
        assert listeners.called == ["first", "last"] * 2

    # Guards against rows that an entry doesn't write again after the store lost them.
    def test_era(self):
        """The other listeners learn of the new era, and the response is used."""
        era = StoreEra()
        listeners = Listeners(ValueError())
        era.listeners += listeners.all()
        era.observe(1, call="read")
        era.observe(2, call="read")
        assert listeners.called == ["first", "last"]

    def test_invariant(self, fleet):
        """A broken invariant still reaches the kernel, which ends the process."""
        fleet.on_upstreams += Listeners(InvariantBrokenError("x")).all()
        with pytest.raises(InvariantBrokenError):
            fleet.apply_snapshot(rows(1, a="ready"))


class TestWatcher:
    """A callback of `FleetWatcher` that raises an error."""

    # Guards against upstreams that are never removed for the failure of another part.
    async def test_tick(self, fleet, monkeypatch):
        """The later callbacks run as well, and all of them at the next tick."""
        monkeypatch.setattr(_watch, "TICK_S", 0.001)
        watcher = FleetWatcher(Settings(), fleet, StubStore())
        listeners = Listeners(KeyError())
        watcher.on_tick = listeners.all()
        task = asyncio.create_task(watcher.expire())
        await asyncio.wait({task}, timeout=0.1)
        await end_tasks([task])
        assert task.cancelled()
        assert listeners.called[:4] == ["first", "last"] * 2

    # Guards against orders that are not read as one before them can't be handled.
    async def test_configuration_rows(self, fleet):
        """The other rows of the answer are handled, and the next changes are read."""
        rows_read = (Row("order", 4, b"1"), Row("config", 5, b"7"))
        seen = []

        def fail(row, is_snapshot):
            seen.append(row.key)
            raise KeyError(row.key)

        calls = await self.watch(
            fleet, CONFIG, [Rows(rows_read, 5)], on_config_row=fail
        )
        assert seen == ["order", "config"]
        assert fleet.table.config.version == 7
        assert calls == [("read", CONFIG), ("changes", CONFIG, 5)]

    # Guards against changes that are read again and again as one can't be passed on.
    async def test_changes(self, fleet):
        """The changes are applied, and the next ones are read."""
        calls = await self.watch(
            fleet,
            UPSTREAMS,
            [rows(3, a="ready"), rows(5, b="ready")],
            on_changes=Listeners(ValueError()).failing,
        )
        assert calls[-1] == ("changes", UPSTREAMS, 5)

    async def watch(self, fleet, table, answers, **callbacks):
        """Watch until all answers are consumed; return the calls."""
        store = StubStore(*answers)
        watcher = FleetWatcher(Settings(), fleet, store)
        for name, callback in callbacks.items():
            setattr(watcher, name, callback)
        tasks = [
            asyncio.create_task(watcher.watch(table)),
            asyncio.create_task(store.done.wait()),
        ]
        async with asyncio.timeout(10):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        await end_tasks(tasks)
        assert tasks[0].cancelled()
        return store.calls


class StubHeadAdapter:
    """Finds every answer signed and complete."""

    def read_head(self, status, headers):
        """Return the head of an answer of the upstream that was called."""
        return UpstreamHead("", False, False, True, False)


class StubResponse:
    """An answer whose head has arrived."""

    def __init__(self):
        self.status = 200
        self.headers = {}
        self.connection = None


class TestOthers:
    """Listeners of further components of an entry."""

    # Guards against a request that fails though its answer has arrived.
    async def test_head(self):
        """The answer is used, and the other listeners learn of its head."""
        listeners = Listeners(KeyError())
        client = UpstreamClient(StubHeadAdapter(), listeners.all())
        try:
            answer = client.validate(make_admitted(), make_record(), StubResponse())
        finally:
            await client.close()
        assert answer.head.is_signed
        assert listeners.called == ["first", "last"]

    # Guards against the loss of a guard's stream, and a restart that others miss.
    def test_restart(self, fleet):
        """The other listeners learn that an upstream has started again."""
        guards = Guards(make_settings("a"), fleet, None)
        listeners = Listeners(KeyError())
        guards.on_restarted += listeners.all()
        guards.tell_restarted(make_record(), 2)
        assert listeners.called == ["first", "last"]

    # Guards against a stream that is not taken up again as one of those asked fails.
    def test_stream_lookup(self):
        """The others are asked for a stream as well."""
        streams = StreamVersions(StubFleet("v1"))
        listeners = Listeners(KeyError())
        streams.ask += listeners.all()
        streams.ask_all(key_of(make_admitted(), "r0"))
        assert listeners.called == ["first", "last"]
