"""Tests of how an entry keeps its configuration recent without calling often."""

import asyncio
import math

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.direct import FleetConfig, Row, Rows, Service
from skylarkdoord.direct import _config_age as config_age
from skylarkdoord.direct._config_age import CLOSE_WATCHERS, ConfigAge
from skylarkdoord.direct._fleet import CONFIG, CONFIG_KEY, UPSTREAMS, Fleet
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._missed_news import NEWS_TOLERANCE_S, MissedNews
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct._watch import HOLD_MARGIN_S, FleetWatcher
from skylarkdoord.direct.evidence import Crashes
from skylarkdoord.direct.exceptions import HistoryLostError

from ._make import SERVICE, Clock, make_route

# With this many entries, the store may hold a watch call for 9 to 15 s.
ENTRIES = 34
# Time after which an entry to which everything is back has to know what is in force.
CONTACT_S = 4.0


class StubAdapter:
    """Decodes the version of a configuration."""

    def decode_config(self, data):
        """Return a configuration with one service."""
        services = {SERVICE: Service(SERVICE)}
        return FleetConfig(int(data), (make_route(),), services, ())


class Settings:
    """The one setting that the watcher reads."""

    return_after_s = 60.0


class HoldingStore:
    """A store whose first watch call of each table is never answered.

    Attributes:
        calls: Number of watch calls.
    """

    def __init__(self):
        self.calls = 0
        self.held = set()

    async def read(self, table):
        """Return the first version."""
        return Rows((Row(CONFIG_KEY, 1, b"1"),) if table == CONFIG else (), 1)

    async def changes(self, table, since, *, wait_s):
        """Hold the first call for ever; return the second version to others."""
        self.calls += 1
        if table not in self.held:
            self.held.add(table)
            await asyncio.Event().wait()
        if since < 2:
            return Rows((Row(CONFIG_KEY, 2, b"2"),) if table == CONFIG else (), 2)
        await asyncio.sleep(wait_s)
        return Rows((), 2)


class ForgetfulStore(HoldingStore):
    """A store that has no history for as long as the test lasts."""

    async def changes(self, table, since, *, wait_s):
        """Report that the history is lost."""
        self.calls += 1
        raise HistoryLostError("410")


def make_fleet():
    """Return a fleet without a configuration."""
    return Fleet(StubAdapter())


def put(fleet, version):
    """Put a version in force."""
    fleet.apply_config(Row(CONFIG_KEY, version, b"%d" % version), source="store")


async def until(condition, timeout_s):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class TestHeldCall:
    """`FleetWatcher.watch` while the store does not answer a call."""

    # Guards against a replaced configuration that stays in force for as long as the
    # store may hold a watch call, because its answer never comes.
    @pytest.mark.parametrize("table", [CONFIG, UPSTREAMS])
    async def test_never_answered(self, table):
        """An entry that hears nothing from anybody asks the store again in time."""
        fleet, store = make_fleet(), HoldingStore()
        watcher = FleetWatcher(Settings(), fleet, store, live_entries=lambda: ENTRIES)
        task = asyncio.create_task(watcher.watch(table))
        await until(lambda: store.calls == 1, CONTACT_S)
        await until(lambda: store.calls >= 2, CONTACT_S)
        if table == CONFIG:
            await until(lambda: fleet.table.config.version == 2, CONTACT_S)
        task.cancel()

    async def test_vouched_for(self, monkeypatch):
        """The call goes on while another entry has recent answers of the store."""
        monkeypatch.setattr(config_age, "MIN_STALE_AFTER_S", 0.2)
        monkeypatch.setattr(config_age, "CLOSE_WATCH_S", 0.0)
        fleet, store = make_fleet(), HoldingStore()
        age = ConfigAge(fleet)
        watcher = FleetWatcher(Settings(), fleet, store, age=age)
        task = asyncio.create_task(watcher.watch(CONFIG))
        await until(lambda: store.calls == 1, CONTACT_S)
        for _ in range(20):
            age.on_update(1, 0.0, sent_at=age.clock(), source="b")
            await asyncio.sleep(0.02)
        assert store.calls == 1
        await until(lambda: store.calls >= 2, CONTACT_S)
        task.cancel()

    # Guards against a watch of upstreams that hears nothing for as long as the store
    # may hold a call, while other entries vouch for the configuration.
    @pytest.mark.parametrize("table", [CONFIG, UPSTREAMS])
    async def test_change_of_other_entry(self, monkeypatch, table):
        """A call that does not return what another entry has sent is given up."""
        monkeypatch.setattr(config_age, "MIN_STALE_AFTER_S", 3600.0)
        fleet, store, missed = make_fleet(), HoldingStore(), MissedNews()
        watcher = FleetWatcher(
            Settings(), fleet, store, live_entries=lambda: ENTRIES, missed=missed
        )
        task = asyncio.create_task(watcher.watch(table))
        await until(lambda: store.calls == 1, CONTACT_S)
        missed.record(table)
        await until(lambda: store.calls >= 2, CONTACT_S)
        task.cancel()

    # Guards against a store that is read without a pause while it has no history.
    async def test_no_history(self):
        """The whole table is read less and less often."""
        store = ForgetfulStore()
        watcher = FleetWatcher(Settings(), make_fleet(), store)
        task = asyncio.create_task(watcher.watch(CONFIG))
        await asyncio.sleep(1.0)
        task.cancel()
        assert 3 <= store.calls <= 8


class TestMissedNews:
    """`MissedNews`."""

    @pytest.fixture
    def members(self):
        """Return an entry that has version 5."""
        fleet = make_fleet()
        put(fleet, 5)
        return Members("a", fleet, Quota(QuotaBounds()), Crashes())

    @pytest.mark.parametrize(("version", "is_missed"), [(5, False), (6, True)])
    def test_rows(self, members, version, is_missed):
        """Only a row that is new to this entry counts."""
        row = pb.StoreRow(
            table=CONFIG, key=CONFIG_KEY, version=version, data=b"%d" % version
        )
        members.rows.apply([row], "b")
        assert (CONFIG in members.missed.since) == is_missed

    def test_overdue(self):
        """The first change counts that a call has not returned."""
        clock = Clock()
        missed = MissedNews(clock)
        assert missed.remaining_s(CONFIG) == math.inf
        missed.record(CONFIG)
        clock.now += 0.75
        missed.record(CONFIG)
        assert missed.remaining_s(CONFIG) == pytest.approx(NEWS_TOLERANCE_S - 0.75)
        missed.begin(CONFIG)
        assert missed.remaining_s(CONFIG) == math.inf


class TestWait:
    """`FleetWatcher.wait_s`."""

    @staticmethod
    def make_watcher(*, is_close):
        """Return the watcher of an entry among many, and the age that it goes by."""
        fleet = make_fleet()
        put(fleet, 5)
        age = ConfigAge(fleet, update_interval_s=lambda: 0.85, clock=Clock())
        watcher = FleetWatcher(
            Settings(),
            fleet,
            HoldingStore(),
            live_entries=lambda: ENTRIES,
            age=age,
            is_close=lambda count: is_close,
        )
        return watcher, age

    @staticmethod
    def waits(watcher, table):
        """Return the waits of some calls in ascending order."""
        return sorted(watcher.wait_s(table, is_down=False) for _ in range(50))

    def test_close_watchers(self):
        """Few entries watch the configuration closely, all others rarely call."""
        for is_close, shortest_s, longest_s in ((True, 1.2, 2.0), (False, 9.0, 15.0)):
            watcher, age = self.make_watcher(is_close=is_close)
            age.on_update(5, 1.0, sent_at=age.clock(), source="b")
            waits = self.waits(watcher, CONFIG)
            assert shortest_s <= waits[0] <= waits[-1] <= longest_s
            assert self.waits(watcher, UPSTREAMS)[0] >= 9.0

    # Guards against calls that are given up again and again beside entries of a release
    # that doesn't vouch: each counts as an outage of the store.
    def test_nobody_vouches(self):
        """An entry that relies on its own calls lets none be held until it is stale."""
        watcher, age = self.make_watcher(is_close=False)
        age.on_store_answer()
        longest_s = age.stale_after_s() - HOLD_MARGIN_S
        assert self.waits(watcher, CONFIG)[-1] <= longest_s
        # The answers about the configuration keep this call from being given up.
        assert self.waits(watcher, UPSTREAMS)[0] >= 9.0
        age.clock.now += age.stale_after_s() + 0.1
        assert self.waits(watcher, UPSTREAMS)[-1] <= longest_s
        age.on_update(5, 0.0, sent_at=age.clock(), source="b")
        assert self.waits(watcher, CONFIG)[0] >= 9.0

    @staticmethod
    def close_watchers(ages_ms):
        """Return which entries watch closely, given the ages that each one states."""
        clock = Clock()
        chosen = []
        for name in ages_ms:
            members = Members(
                name, make_fleet(), Quota(QuotaBounds()), Crashes(), clock=clock
            )
            for other, age_ms in ages_ms.items():
                if other != name:
                    members.receive(
                        pb.EntryNews(
                            instance=other, incarnation=1, config_age_ms=age_ms
                        )
                    )
            if members.watches_closely(CLOSE_WATCHERS):
                chosen.append(name)
        return chosen

    @pytest.mark.parametrize("count", [3, 34, 300])
    def test_as_many_as_needed(self, count):
        """The entries agree on which of them watch closely."""
        ages_ms = {f"entry-{number}": 100 for number in range(count)}
        assert len(self.close_watchers(ages_ms)) == min(count, CLOSE_WATCHERS)

    # Guards against entries that leave it to some that the store does not answer, or
    # that are of a release that doesn't tell: then all held calls are given up.
    @pytest.mark.parametrize("age_ms", [None, 20_000])
    def test_not_answered(self, age_ms):
        """Others take the place of the chosen entries that can't vouch."""
        ages_ms = {f"entry-{number}": 100 for number in range(ENTRIES)}
        former = self.close_watchers(ages_ms)
        watching = self.close_watchers(ages_ms | dict.fromkeys(former, age_ms))
        others = set(watching) - set(former)
        assert len(others) == CLOSE_WATCHERS
        # Each of the former ones goes on, as it does not tell itself from the others.
        assert set(watching) == others | set(former)


class TestAge:
    """`ConfigAge`."""

    @pytest.fixture
    def clock(self):
        """Return a clock that the test sets."""
        return Clock()

    @pytest.fixture
    def fleet(self):
        """Return a fleet with version 5 in force."""
        fleet = make_fleet()
        put(fleet, 5)
        return fleet

    @pytest.fixture
    def age(self, fleet, clock):
        """Return the age of a configuration for which nobody has vouched."""
        return ConfigAge(fleet, clock=clock)

    def test_unknown(self, age):
        """Without any word of the store, the age has no bound."""
        assert age.age_s() == math.inf
        assert age.age_ms() is None

    def test_own_answer(self, age, clock):
        """An answer of the store vouches for it at that moment."""
        age.on_store_answer()
        clock.now += 2.0
        assert age.age_ms() == 2000

    @pytest.mark.parametrize(
        ("version", "expected_s"), [(4, math.inf), (5, 1.5), (6, math.inf)]
    )
    def test_other_entry(self, age, clock, version, expected_s):
        """The word of an entry counts if it has the same version in force."""
        age.on_update(version, 1.0, sent_at=clock.now - 0.5, source="b")
        assert age.age_s() == pytest.approx(expected_s)

    def test_not_passed_on(self, age, clock):
        """Other entries are told of the store's answers to this entry alone."""
        age.on_update(5, 0.0, sent_at=clock.now, source="b")
        assert age.age_ms() is None
        age.on_store_answer()
        clock.now += 2.0
        age.on_update(5, 0.0, sent_at=clock.now, source="b")
        assert (age.age_s(), age.age_ms()) == (0.0, 2000)

    # Guards against entries that vouch for each other long after the store's last word.
    def test_circle(self, clock):
        """The age grows as fast as time passes, however often entries repeat it."""
        ages = []
        for _ in range(2):
            fleet = make_fleet()
            put(fleet, 5)
            ages.append(ConfigAge(fleet, clock=clock))
        began = clock.now
        ages[0].on_store_answer()
        # The delay of the network is not known to the receiver.
        delay_s, interval_s = 0.04, 0.06
        for sender, receiver in (ages, ages[::-1]) * 25:
            clock.now += interval_s - delay_s
            age_ms = sender.age_ms()
            clock.now += delay_s
            age_s = None if age_ms is None else age_ms / 1000
            receiver.on_update(5, age_s, sent_at=clock.now, source="b")
        assert clock.now - began == pytest.approx(3.0)
        assert min(age.age_s() for age in ages) > 2.9

    def test_latest_word(self, age, clock):
        """An older word does not make it older again."""
        age.on_store_answer()
        age.on_update(5, 3.0, sent_at=clock.now, source="b")
        assert age.age_s() == 0.0

    # Guards against an entry that vouches for a version though it refused a newer one.
    def test_refused(self, age, fleet):
        """The store does not vouch for a version that an unreadable one replaced."""
        fleet.apply_config(Row(CONFIG_KEY, 6, b"?"), source="store")
        age.on_store_answer()
        assert age.age_s() == math.inf
        put(fleet, 7)
        age.on_store_answer()
        assert age.age_s() == 0.0

    def test_behind(self, age, fleet, clock):
        """A lag lasts from the first word of a newer version until it is in force."""
        age.on_update(6, 0.0, sent_at=clock.now, source="b")
        clock.now += 2.0
        age.on_update(7, 0.0, sent_at=clock.now, source="c")
        clock.now += 1.0
        assert age.lag_s() == pytest.approx(3.0)
        put(fleet, 6)
        assert age.lag_s() == pytest.approx(3.0)
        put(fleet, 7)
        assert age.lag_s() == 0.0

    @pytest.mark.parametrize(
        ("interval_s", "limit_s"), [(0.2, 3.0), (0.85, 3.275), (3.0, 6.5), (87.0, 6.5)]
    )
    def test_limit_grows(self, age, interval_s, limit_s):
        """Where updates come rarely, a longer age is usual."""
        age.update_interval_s = lambda: interval_s
        assert age.stale_after_s() == pytest.approx(limit_s)

    def test_logs(self, age, fleet, clock, monkeypatch):
        """There is a line when it falls behind or becomes stale, and one at the end."""
        names = []
        monkeypatch.setattr(
            age.log, "event", lambda event, **fields: names.append(event.name)
        )
        age.on_store_answer()
        age.check()
        age.on_update(6, 0.0, sent_at=clock.now, source="b")
        clock.now += 4.0
        age.check()
        age.check()
        put(fleet, 6)
        age.on_store_answer()
        age.check()
        assert names == [
            "config_behind",
            "config_stale",
            "config_caught_up",
            "config_confirmed",
        ]
