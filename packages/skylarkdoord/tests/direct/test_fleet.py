"""Tests of `Fleet` and of `FleetWatcher`, which fills it from the store."""

import asyncio
import json
import time

import pytest
from prometheus_client import REGISTRY

from skylarkdoord.direct import FleetConfig, Row, Rows, Service
from skylarkdoord.direct._fleet import CONFIG, UPSTREAMS, Fleet
from skylarkdoord.direct._watch import FleetWatcher
from skylarkdoord.direct.exceptions import HistoryLostError, RowError, StoreError

from ._make import SERVICE, make_record, make_route


class StubAdapter:
    """Decodes rows of plain JSON.

    Attributes:
        decoded_configs: Number of configurations that it was given.
    """

    decoded_configs = 0

    def decode_config(self, data):
        """Return a configuration of one route; its bodies are as long as the row."""
        self.decoded_configs += 1
        if data == b"spoilt":
            raise RowError("version: expected a whole number")
        version = json.loads(data)
        services = {SERVICE: Service(SERVICE)}
        config = FleetConfig(version, (make_route(),), services, ())
        return config._replace(max_body_bytes=len(data))

    def decode_upstream(self, key, data):
        """Return an upstream in the state given by the row."""
        if data == b"spoilt":
            raise RowError("state: unknown value")
        if data == b"nested":
            raise RecursionError
        state = json.loads(data)
        return make_record(
            key, is_draining=state == "leaving", started_ms=1 if state == "again" else 0
        )


REJECTED = "skylarkdoor_direct_config_rejected"


def fail(data):
    """Raise an error that has nothing to do with the contents."""
    raise MemoryError


@pytest.fixture
def fleet():
    """Return an empty fleet."""
    return Fleet(StubAdapter())


def rows(version, **states):
    """Return rows of upstreams, all changed at one store version."""
    encoded = (
        Row(key, version, None if state is None else json.dumps(state).encode())
        for key, state in states.items()
    )
    return Rows(tuple(encoded), version)


def ready(fleet):
    """Return the names of the upstreams that accept new requests."""
    return sorted(record.instance for record in fleet.upstreams(SERVICE))


class TestConfig:
    """`Fleet.apply_config`."""

    def apply(self, fleet, version, content):
        """Apply a configuration row with a store version."""
        data = content if isinstance(content, bytes) else json.dumps(content).encode()
        fleet.apply_config(Row("config", version, data), source="test")

    def test_newer(self, fleet):
        """Only a newer configuration replaces the current one."""
        self.apply(fleet, 5, 7)
        self.apply(fleet, 4, 6)
        assert fleet.table.config.version == 7
        self.apply(fleet, 6, 9)
        assert fleet.table.config.version == 9

    def test_older_content(self, fleet):
        """A newer row that contains an older configuration is ignored."""
        self.apply(fleet, 5, 7)
        self.apply(fleet, 6, 6)
        assert fleet.table.config.version == 7

    def test_same_content_in_later_era(self, fleet):
        """The current configuration, written again, counts from then on."""
        self.apply(fleet, 5, 7)
        changes = []
        fleet.on_config.append(lambda: changes.append(fleet.config_at))
        fleet.apply_config(Row("config", 2, b"7", 1), source="test")
        assert fleet.config_at == (1, 2)
        assert changes == []

    # Guards against a later version that is lost because an entry has read a copy.
    def test_newer_content_of_former_era(self, fleet):
        """A newer configuration counts, whichever era its row is of."""
        fleet.apply_config(Row("config", 90, b"4", 1), source="test")
        fleet.apply_config(Row("config", 100, b"5"), source="test")
        assert fleet.table.config.version == 5
        fleet.apply_config(Row("config", 90, b"4", 1), source="test")
        assert fleet.table.config.version == 5

    # Guards against entries that have different contents of one version for ever.
    def test_same_version(self, fleet):
        """Of two configurations of one version, the one written later counts."""
        earlier, later = Row("config", 100, b"5"), Row("config", 95, b" 5", 1)
        other = Fleet(StubAdapter())
        for row in (earlier, later):
            fleet.apply_config(row, source="test")
        for row in (later, earlier):
            other.apply_config(row, source="test")
        assert fleet.config_row == other.config_row == later
        assert fleet.table.config.max_body_bytes == len(later.data)
        assert other.table.config.max_body_bytes == len(later.data)

    def test_written_again(self, fleet):
        """Contents that were replaced within a version count once written again."""
        for changed_at in ((0, 100), (1, 95), (0, 100), (2, 7)):
            era, version = changed_at
            data = b" 5" if era == 1 else b"5"
            fleet.apply_config(Row("config", version, data, era), source="test")
        assert fleet.config_at == (2, 7)
        assert fleet.table.config.max_body_bytes == 1

    @pytest.mark.parametrize("content", [b"4", b"spoilt"])
    def test_decoded_once(self, fleet, content):
        """The same contents are decoded once, however often a row has them."""
        self.apply(fleet, 5, 7)
        for era in range(1, 5):
            fleet.apply_config(Row("config", 2, content, era), source="test")
        assert fleet.adapter.decoded_configs == 2

    def test_malformed(self, fleet):
        """A malformed row leaves the current configuration in force."""
        self.apply(fleet, 5, 7)
        self.apply(fleet, 6, b"spoilt")
        assert fleet.table.config.version == 7
        self.apply(fleet, 7, 8)
        assert fleet.table.config.version == 8

    # Guards against a version that is not in force and of which one line tells.
    def test_loud(self, fleet, caplog):
        """A version that is not taken has an event and a gauge of its own."""
        caplog.set_level("INFO", "skylarkdoor")
        self.apply(fleet, 5, 7)
        self.apply(fleet, 6, b"spoilt")
        names = [record.event_name for record in caplog.records]
        assert names[-1] == "config_rejected"
        assert REGISTRY.get_sample_value(REJECTED) == 1
        self.apply(fleet, 7, 8)
        assert REGISTRY.get_sample_value(REJECTED) == 0

    def test_retry(self, fleet, monkeypatch):
        """Contents that were rejected are decoded again on request only."""
        self.apply(fleet, 5, 7)
        spoilt = Row("config", 6, b"9")
        with monkeypatch.context() as patch:
            patch.setattr(fleet.adapter, "decode_config", fail)
            fleet.apply_config(spoilt, source="test")
        fleet.apply_config(spoilt, source="test")
        assert fleet.has_rejected_newer()
        fleet.retry_config(spoilt, source="test")
        assert fleet.table.config.version == 9
        assert not fleet.has_rejected_newer()


class TestUpstreams:
    """`Fleet.apply_snapshot` and `Fleet.apply_changes`."""

    def test_states(self, fleet):
        """Draining and removed upstreams accept no new requests."""
        fleet.apply_snapshot(rows(1, a="ready", b="ready", c="ready"))
        fleet.apply_changes(rows(2, a="leaving", b=None), source="test")
        assert ready(fleet) == ["c"]

    def test_older(self, fleet):
        """An older row of an upstream is ignored."""
        fleet.apply_snapshot(rows(5, a="leaving"))
        fleet.apply_changes(rows(4, a="ready"), source="test")
        assert ready(fleet) == []

    @pytest.mark.parametrize("data", [b"spoilt", b"nested"])
    def test_malformed(self, fleet, data):
        """A malformed row adds no upstream and does not affect the others."""
        malformed = Row("b", 1, data)
        fleet.apply_snapshot(Rows((*rows(1, a="ready").rows, malformed), 1))
        assert ready(fleet) == ["a"]

    def test_absent(self, fleet):
        """An upstream that is absent from a snapshot is removed."""
        fleet.apply_snapshot(rows(1, a="ready", b="ready"))
        fleet.apply_snapshot(rows(2, a="ready"))
        assert ready(fleet) == ["a"]

    def test_outdated_snapshot(self, fleet):
        """A snapshot older than an upstream's row does not remove the upstream."""
        fleet.apply_snapshot(rows(1, a="ready"))
        fleet.apply_changes(rows(5, b="ready"), source="test")
        fleet.apply_snapshot(rows(3, a="ready"))
        assert ready(fleet) == ["a", "b"]

    def test_grace_period_after_outage(self, fleet):
        """An upstream that is missing after an outage is used for the grace period."""
        fleet.apply_snapshot(rows(1, a="ready", b="ready"))
        fleet.apply_snapshot(rows(2), grace_until=time.monotonic() + 60)
        assert ready(fleet) == ["a", "b"]
        fleet.apply_changes(rows(3, a="ready"), source="test")
        fleet.missing["b"] = fleet.missing["b"]._replace(until=0.0)
        fleet.remove_expired()
        assert ready(fleet) == ["a"]

    def test_draining_before_outage(self, fleet):
        """A draining upstream gets no grace period."""
        fleet.apply_snapshot(rows(1, a="leaving"))
        fleet.apply_snapshot(rows(2), grace_until=time.monotonic() + 60)
        assert fleet.missing == {}

    def test_restart_under_same_name(self, fleet):
        """A new incarnation of an upstream is not the former one."""
        fleet.apply_snapshot(rows(1, a="ready"))
        (before,) = fleet.upstreams(SERVICE)
        fleet.apply_changes(rows(2, a="again"), source="test")
        (after,) = fleet.upstreams(SERVICE)
        assert not fleet.is_current(before)
        assert fleet.is_current(after)


class StubStore:
    """A store that gives scripted answers and then blocks."""

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
        """Watch until all answers are consumed; return the calls."""
        store = StubStore(*answers)
        task = asyncio.create_task(FleetWatcher(Settings(), fleet, store).watch(table))
        async with asyncio.timeout(10):
            await store.done.wait()
        task.cancel()
        return store.calls

    async def test_follows(self, fleet):
        """After a full read only changes are requested."""
        calls = await self.watch(fleet, rows(3, a="ready"), rows(5, b="ready"))
        assert ready(fleet) == ["a", "b"]
        assert calls == [
            ("read", UPSTREAMS),
            ("changes", UPSTREAMS, 3),
            ("changes", UPSTREAMS, 5),
        ]

    async def test_history_lost(self, fleet):
        """All rows are read again after the store has lost its history."""
        await self.watch(
            fleet, rows(3, a="ready"), HistoryLostError("410"), rows(9, b="ready")
        )
        assert ready(fleet) == ["b"]

    async def test_removed_during_outage(self, fleet):
        """Upstreams whose rows expired in an outage get a grace period after it."""
        await self.watch(
            fleet,
            rows(3, a="ready", b="ready"),
            StoreError("status 503"),
            rows(9, a=None, b=None),
            rows(11, a="ready"),
        )
        assert ready(fleet) == ["a", "b"]
        assert list(fleet.missing) == ["b"]

    async def test_removed_after_grace_period(self, fleet, monkeypatch):
        """An upstream whose row is removed after the grace period is removed at once.

        When the end of an outage was counted once for each table, a server that was
        removed afterwards still received requests for 2054 ms.
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

    async def test_passes_on_changes(self, fleet):
        """Changes are passed on to `on_changes`, a full read is not."""
        passed_on = []
        store = StubStore(rows(3, a="ready"), rows(5, b="ready"))
        watcher = FleetWatcher(Settings(), fleet, store)
        watcher.on_changes = lambda changed: passed_on.extend(
            row.key for row in changed
        )
        task = asyncio.create_task(watcher.watch(UPSTREAMS))
        async with asyncio.timeout(10):
            await store.done.wait()
        task.cancel()
        assert passed_on == ["b"]

    @pytest.mark.parametrize(
        ("position", "table", "pause_s"),
        [(3, UPSTREAMS, 0.4), (4, UPSTREAMS, 1.2), (4, CONFIG, 0.4)],
    )
    def test_pauses(self, fleet, position, table, pause_s):
        """Entries that receive changes from others call the store less often.

        Without the longer pause each of 29 entries called the store 83 times in one
        run.
        """
        watcher = FleetWatcher(
            Settings(),
            fleet,
            StubStore(),
            live_entries=lambda: 29,
            position=lambda: position,
        )
        assert watcher.pause_s(table) == pause_s

    @pytest.mark.parametrize(
        ("entries", "pause_s", "delay_s"),
        [(4, 1.2, 0.5), (29, 1.2, 1.16), (68, 2.72, 2.0), (3500, 3.0, 2.0)],
    )
    def test_many_entries(self, fleet, entries, pause_s, delay_s):
        """The calls of all entries together hardly grow with their number.

        At fixed delays, these calls grew in proportion to the entries.
        """
        fleet.apply_config(Row("config", 4, b"12"), source="store")
        watcher = FleetWatcher(
            Settings(),
            fleet,
            StubStore(),
            live_entries=lambda: entries,
            position=lambda: 4,
        )
        assert watcher.pause_s(UPSTREAMS) == pytest.approx(pause_s)
        assert watcher.max_retry_delay_s() == pytest.approx(delay_s)

    def test_first_read(self, fleet):
        """An entry that knows no configuration yet keeps trying at short intervals."""
        watcher = FleetWatcher(Settings(), fleet, StubStore(), live_entries=lambda: 68)
        assert watcher.max_retry_delay_s() == 0.5

    async def test_configuration(self, fleet):
        """Rows of the other table are applied as configurations."""
        config = Rows((Row("config", 4, b"12"),), 4)
        await self.watch(fleet, config, table=CONFIG)
        assert fleet.table.config.version == 12
