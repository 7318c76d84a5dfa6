"""The configuration in force and the upstreams that are known."""

import asyncio
import json
import time

import pytest

from skylarkdoord.direct import FleetConfig, Row, Rows, Service
from skylarkdoord.direct._fleet import CONFIG, UPSTREAMS, Fleet
from skylarkdoord.direct._watch import FleetWatcher
from skylarkdoord.direct.exceptions import HistoryLostError, RowError, StoreError

from ._make import SERVICE, make_record, make_route


class StubAdapter:
    """Decodes rows of plain JSON."""

    def decode_config(self, data):
        """Return a configuration of one route."""
        if data == b"spoilt":
            raise RowError("version: expected a whole number")
        version = json.loads(data)
        services = {SERVICE: Service(SERVICE)}
        return FleetConfig(version, (make_route(),), services, ())

    def decode_upstream(self, key, data):
        """Return an upstream in the state that the row names."""
        if data == b"spoilt":
            raise RowError("state: unknown value")
        state = json.loads(data)
        return make_record(
            key, is_leaving=state == "leaving", started_ms=1 if state == "again" else 0
        )


@pytest.fixture
def fleet():
    """Return a fleet that knows nothing."""
    return Fleet(StubAdapter())


def rows(version, **states):
    """Return rows of upstreams, all changed at this version."""
    made = (
        Row(key, version, None if state is None else json.dumps(state).encode())
        for key, state in states.items()
    )
    return Rows(tuple(made), version)


def ready(fleet):
    """Return the upstreams that take new work."""
    return sorted(record.instance for record in fleet.upstreams(SERVICE))


class TestConfig:
    """Configurations."""

    def apply(self, fleet, version, content):
        """Apply a row of that store version."""
        data = content if isinstance(content, bytes) else json.dumps(content).encode()
        fleet.apply_config(Row("config", version, data), source="test")

    def test_newer(self, fleet):
        """A newer configuration comes into force, an older one never."""
        self.apply(fleet, 5, 7)
        self.apply(fleet, 4, 6)
        assert fleet.table.config.version == 7
        self.apply(fleet, 6, 9)
        assert fleet.table.config.version == 9

    def test_older_content(self, fleet):
        """A later row with an older configuration changes nothing."""
        self.apply(fleet, 5, 7)
        self.apply(fleet, 6, 6)
        assert fleet.table.config.version == 7

    def test_spoilt(self, fleet):
        """A row that can't be read leaves the former one in force."""
        self.apply(fleet, 5, 7)
        self.apply(fleet, 6, b"spoilt")
        assert fleet.table.config.version == 7
        self.apply(fleet, 7, 8)
        assert fleet.table.config.version == 8


class TestUpstreams:
    """Upstreams."""

    def test_states(self, fleet):
        """One that leaves or is gone takes no new work."""
        fleet.apply_snapshot(rows(1, a="ready", b="ready", c="ready"))
        fleet.apply_changes(rows(2, a="leaving", b=None), source="test")
        assert ready(fleet) == ["c"]

    def test_older(self, fleet):
        """An older row of an upstream changes nothing."""
        fleet.apply_snapshot(rows(5, a="leaving"))
        fleet.apply_changes(rows(4, a="ready"), source="test")
        assert ready(fleet) == []

    def test_spoilt(self, fleet):
        """A row that can't be read names no upstream; the others hold."""
        spoilt = Row("b", 1, b"spoilt")
        fleet.apply_snapshot(Rows((*rows(1, a="ready").rows, spoilt), 1))
        assert ready(fleet) == ["a"]

    def test_absent(self, fleet):
        """One that a full reading lacks is gone."""
        fleet.apply_snapshot(rows(1, a="ready", b="ready"))
        fleet.apply_snapshot(rows(2, a="ready"))
        assert ready(fleet) == ["a"]

    def test_old_reading(self, fleet):
        """A reading from before an upstream came does not take it away."""
        fleet.apply_snapshot(rows(1, a="ready"))
        fleet.apply_changes(rows(5, b="ready"), source="test")
        fleet.apply_snapshot(rows(3, a="ready"))
        assert ready(fleet) == ["a", "b"]

    def test_returns_after_outage(self, fleet):
        """One that is missing after an outage is used until it had time to return."""
        fleet.apply_snapshot(rows(1, a="ready", b="ready"))
        fleet.apply_snapshot(rows(2), grace_until=time.monotonic() + 60)
        assert ready(fleet) == ["a", "b"]
        fleet.apply_changes(rows(3, a="ready"), source="test")
        fleet.missing["b"] = fleet.missing["b"]._replace(until=0.0)
        fleet.remove_expired()
        assert ready(fleet) == ["a"]

    def test_leaving_before_outage(self, fleet):
        """One that was leaving does not come back."""
        fleet.apply_snapshot(rows(1, a="leaving"))
        fleet.apply_snapshot(rows(2), grace_until=time.monotonic() + 60)
        assert fleet.missing == {}

    def test_restart_under_same_name(self, fleet):
        """A new life of an upstream is another upstream."""
        fleet.apply_snapshot(rows(1, a="ready"))
        (before,) = fleet.upstreams(SERVICE)
        fleet.apply_changes(rows(2, a="again"), source="test")
        (after,) = fleet.upstreams(SERVICE)
        assert not fleet.is_current(before)
        assert fleet.is_current(after)


class StubStore:
    """A store that gives scripted answers, then waits."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.done = asyncio.Event()
        self.calls = []

    async def read(self, table):
        """Return all rows."""
        return await self.next(("read", table))

    async def changes(self, table, since, *, wait_s):
        """Return changed rows."""
        return await self.next(("changes", table, since))

    async def next(self, call):
        """Return or raise the next answer."""
        self.calls.append(call)
        if not self.answers:
            self.done.set()
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Settings:
    """The one setting that the watcher reads."""

    return_after_s = 60.0


class TestWatcher:
    """`FleetWatcher.watch`."""

    async def watch(self, fleet, *answers, table=UPSTREAMS):
        """Watch until every answer was given; return the calls."""
        store = StubStore(*answers)
        task = asyncio.create_task(FleetWatcher(Settings(), fleet, store).watch(table))
        async with asyncio.timeout(10):
            await store.done.wait()
        task.cancel()
        return store.calls

    async def test_follows(self, fleet):
        """After a full reading only changes are asked for."""
        calls = await self.watch(fleet, rows(3, a="ready"), rows(5, b="ready"))
        assert ready(fleet) == ["a", "b"]
        assert calls == [
            ("read", UPSTREAMS),
            ("changes", UPSTREAMS, 3),
            ("changes", UPSTREAMS, 5),
        ]

    async def test_history_lost(self, fleet):
        """Where the history is lost, everything is read again."""
        await self.watch(
            fleet, rows(3, a="ready"), HistoryLostError("410"), rows(9, b="ready")
        )
        assert ready(fleet) == ["b"]

    async def test_gone_in_an_outage(self, fleet):
        """Rows that lapsed in an outage may come back after it."""
        await self.watch(
            fleet,
            rows(3, a="ready", b="ready"),
            StoreError("status 503"),
            rows(9, a=None, b=None),
            rows(11, a="ready"),
        )
        assert ready(fleet) == ["a", "b"]
        assert list(fleet.missing) == ["b"]

    async def test_gone_after_an_outage(self, fleet, monkeypatch):
        """What goes once the time to return is over is gone at once.

        On seklu-maina trouble-3 the outage's end was counted once for each table,
        and a server that left afterwards got work for 2054 ms.
        """
        monkeypatch.setattr(Settings, "return_after_s", 0.0)
        await self.watch(
            fleet,
            rows(3, a="ready", b="ready"),
            StoreError("status 503"),
            rows(9),
            rows(11, a=None),
        )
        assert ready(fleet) == ["b"]

    async def test_tells_changes(self, fleet):
        """What changed is passed on, a full reading is not."""
        told = []
        store = StubStore(rows(3, a="ready"), rows(5, b="ready"))
        watcher = FleetWatcher(Settings(), fleet, store)
        watcher.on_changes = lambda changed: told.extend(row.key for row in changed)
        task = asyncio.create_task(watcher.watch(UPSTREAMS))
        async with asyncio.timeout(10):
            await store.done.wait()
        task.cancel()
        assert told == ["b"]

    @pytest.mark.parametrize(
        ("position", "table", "pause_s"),
        [(3, UPSTREAMS, 0.4), (4, UPSTREAMS, 1.2), (4, CONFIG, 0.4)],
    )
    def test_pauses(self, fleet, position, table, pause_s):
        """Of many entries, those that are told of upstreams ask less often.

        On a day of 29 entries each asked 83 times.
        """
        watcher = FleetWatcher(
            Settings(),
            fleet,
            StubStore(),
            live_entries=lambda: 29,
            position=lambda: position,
        )
        assert watcher.pause_s(table) == pause_s

    async def test_configuration(self, fleet):
        """The other table brings configurations."""
        config = Rows((Row("config", 4, b"12"),), 4)
        await self.watch(fleet, config, table=CONFIG)
        assert fleet.table.config.version == 12
