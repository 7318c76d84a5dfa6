"""Tests of `Members`: what an entry takes over from another at their first contact."""

import pytest

from skylarkdoor.clock import boot_time_s
from skylarkdoor.wire import pb
from skylarkdoord.direct import FleetConfig, Row
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._members import (
    LIVE_TIMEOUT_S,
    SILENT_RETENTION_S,
    Members,
)
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.evidence import Crashes

from ._make import Clock, make_admitted, make_customer, make_request

CUSTOMER = make_customer()
BASE = 300.0
OWN_TOKENS = 100
OTHERS_TOKENS = 200.0
INCARNATION = 7
LONG_MS = 60_000


class TestFirstContact:
    """An entry that used a limit before it heard of an older entry."""

    @pytest.fixture
    def members(self):
        """Return an entry that took over a total and then used tokens itself."""
        quota = Quota(QuotaBounds())
        quota.merge_totals({CUSTOMER.name: BASE}, covers_window=True)
        request = make_request(prompt_tokens=OWN_TOKENS, max_tokens=0)
        quota.use(make_admitted(request, customer=CUSTOMER))
        return Members("b", Fleet(None), quota, Crashes(), incarnation=INCARNATION)

    @staticmethod
    def update(total, included=0):
        """Return the first update of an older entry."""
        return pb.EntryNews(
            instance="a",
            incarnation=1,
            age_ms=LONG_MS,
            knows_past=True,
            used={CUSTOMER.name: OTHERS_TOKENS},
            totals={CUSTOMER.name: total},
            included_incarnation=included,
        )

    # Guards against use that is lost because both entries used the limit while apart.
    def test_apart(self, members):
        """The use of both entries counts."""
        members.receive(self.update(BASE + OTHERS_TOKENS))
        total = members.quota.totals()[CUSTOMER.name]
        assert total == BASE + OTHERS_TOKENS + OWN_TOKENS

    def test_included(self, members):
        """Use that the other entry's totals include does not count twice."""
        total = BASE + OTHERS_TOKENS + OWN_TOKENS
        members.receive(self.update(total, included=INCARNATION))
        assert members.quota.totals() == {CUSTOMER.name: total}

    def test_former_incarnation(self, members):
        """Totals that include a former incarnation's use don't include this one's."""
        members.receive(self.update(BASE + OTHERS_TOKENS, included=INCARNATION - 1))
        total = members.quota.totals()[CUSTOMER.name]
        assert total == BASE + OTHERS_TOKENS + OWN_TOKENS

    def test_only_own(self, members):
        """Use of which the other entry has no total counts as before."""
        update = self.update(0.0)
        update.totals.clear()
        members.receive(update)
        assert members.quota.totals() == {CUSTOMER.name: BASE + OWN_TOKENS}


class TestOwnership:
    """`Members.owns`."""

    # Guards against trials of one request by every entry, each of which may crash an
    # upstream.
    def test_one_owner(self):
        """Of the entries that hear of each other, exactly one owns a request."""
        names = ["a", "b", "c"]
        entries = [
            Members(name, Fleet(None), Quota(QuotaBounds()), Crashes())
            for name in names
        ]
        for members in entries:
            for name in names:
                if name != members.instance:
                    members.receive(pb.EntryNews(instance=name, incarnation=1))
        for fingerprint in range(50):
            assert sum(members.owns(fingerprint) for members in entries) == 1


class TestLimitShare:
    """`Members.limit_share`."""

    @pytest.fixture
    def members(self):
        """Return an entry that heard of three others."""
        members = Members("a", Fleet(None), Quota(QuotaBounds()), Crashes())
        for name in ("b", "c", "d"):
            members.receive(pb.EntryNews(instance=name, incarnation=1))
        return members

    def test_divided(self, members):
        """Entries divide a limit equally, or a few of them if there are many."""
        assert members.limit_share("i-1", 4) == 1 / 4
        shares = {members.limit_share(f"i-{number}", 2) for number in range(50)}
        assert shares == {0.0, 1 / 2}

    # Guards against entries that each take the whole limit once they are cut off.
    def test_silent(self, members):
        """Entries that can't be reached keep their parts for a while."""
        for other in members.by_name.values():
            other.last_update_at -= SILENT_RETENTION_S / 2
        assert members.limit_share("i-1", 4) == 1 / 4
        for other in members.by_name.values():
            other.last_update_at -= SILENT_RETENTION_S
        assert members.limit_share("i-1", 4) == 1.0

    def test_left(self, members):
        """An entry that closed its stream soon leaves its part to the others."""
        members.on_stream_end("b", is_silent=False)
        members.by_name["b"].last_update_at -= LIVE_TIMEOUT_S + 0.1
        assert members.limit_share("i-1", 4) == 1 / 3

    def test_listed(self, members):
        """After the start, entries that the store lists have parts as well."""
        members.by_name.clear()
        members.listed = 3
        assert members.limit_share("i-1", 4) == 1 / 4


class TestSentAt:
    """Estimates of when an update was sent."""

    INTERVAL_S = 0.5

    @pytest.fixture
    def clock(self):
        """Return a clock that the test sets."""
        return Clock()

    @pytest.fixture
    def members(self, clock):
        """Return an entry that heard of another one."""
        return Members("a", Fleet(None), Quota(QuotaBounds()), Crashes(), clock=clock)

    def receive(self, members, clock, age_s):
        """Receive an update and return for how long it seems to have waited."""
        age_ms = int(age_s * 1000)
        members.receive(pb.EntryNews(instance="b", incarnation=1, age_ms=age_ms))
        return clock.now - members.by_name["b"].sent_at

    def run(self, members, clock, age_s, duration_s, rate=1.0):
        """Receive updates for some time; return the age and the last one's wait."""
        waited_s = 0.0
        for _ in range(int(duration_s / self.INTERVAL_S)):
            clock.now += self.INTERVAL_S
            age_s += self.INTERVAL_S * rate
            waited_s = self.receive(members, clock, age_s)
        return age_s, waited_s

    # Guards against an entry whose word counts as old for ever, as its clock is slower.
    def test_slower_clock(self, members, clock):
        """Clocks that drift apart by 0.1 ms a second stay comparable for hours."""
        _, waited_s = self.run(members, clock, 5.0, 3 * 3600.0, rate=1 - 1e-4)
        assert waited_s < 0.05
        assert members.learns_versions(is_registry_down=False)

    # Guards against the same after the machine of the entry stood still.
    def test_paused(self, members, clock):
        """An entry that stood still for some seconds is heard as before in minutes."""
        age_s, _ = self.run(members, clock, 5.0, 60.0)
        clock.now += 10.0
        assert self.receive(members, clock, age_s) == pytest.approx(10.0, abs=0.01)
        _, waited_s = self.run(members, clock, age_s, 180.0)
        assert waited_s < 0.05

    @pytest.mark.parametrize("known_s", [1.0, 59.0, 61.0, 300.0])
    def test_buffered(self, members, clock, known_s):
        """Updates that waited while this process was suspended count as old."""
        age_s, _ = self.run(members, clock, 5.0, known_s)
        clock.now += 100.0
        for number in range(1, 17):
            age = age_s + number * self.INTERVAL_S
            waited_s = self.receive(members, clock, age)
            expected_s = 100.0 - number * self.INTERVAL_S
            assert waited_s == pytest.approx(expected_s, abs=0.01)


class TestSuspend:
    """An entry whose machine was suspended for some seconds."""

    # Guards against an entry that goes on with its share of a limit after it lapsed.
    def test_others_are_silent(self):
        """What it knew of the other entries before counts as old."""
        clock = Clock()
        members = Members(
            "a", Fleet(None), Quota(QuotaBounds()), Crashes(), clock=clock
        )
        for name in ("b", "c", "d"):
            members.receive(pb.EntryNews(instance=name, incarnation=1))
        assert members.silent_entries() == (0, 4)
        clock.now += 5.0
        assert members.silent_entries() == (3, 4)
        assert members.live_count() == 1

    def test_clock(self):
        """Its clock counts the time in suspend."""
        members = Members("a", Fleet(None), Quota(QuotaBounds()), Crashes())
        assert members.clock is boot_time_s


class StubAdapter:
    """Decodes configurations that consist of their version."""

    def decode_config(self, data):
        """Return an empty configuration."""
        return FleetConfig(int(data), (), {}, ())


class TestConfig:
    """Configurations of other entries, which may be of other eras of the store."""

    @pytest.fixture
    def members(self):
        """Return an entry that has version 4, read in the second era."""
        fleet = Fleet(StubAdapter())
        fleet.apply_config(Row("config", 90, b"4", 1), source="store")
        return Members("y", fleet, Quota(QuotaBounds()), Crashes())

    # Guards against an entry that sends no rows to one that has read an older copy.
    def test_rows(self, members):
        """An entry sends its configuration if it is newer by the operator's version."""

        def sent(number, changed_at):
            era, version = changed_at
            requested = pb.RowsWanted(
                config_number=number, config_era=era, config_since=version
            )
            return [row.data for row in members.rows.newer(requested)]

        assert sent(3, (2, 7)) == [b"4"]
        assert sent(4, (0, 100)) == [b"4"]
        assert sent(4, (1, 90)) == []
        assert sent(5, (0, 100)) == []
        # An entry of the former release states no version of the operator's.
        assert sent(0, (1, 89)) == [b"4"]
        assert sent(0, (1, 90)) == []

    def test_unwanted(self, members):
        """A request for rows of upstreams alone asks for no configuration."""
        update = pb.EntryNews(instance="x", config_number=5, config_version=100)
        update.upstreams_version = 7
        members.receive(update)
        assert members.rows_wanted("x", wants_config=False) is None
        members.by_name["x"].behind_since -= 1.0
        wanted = members.rows_wanted("x", wants_config=False)
        assert (wanted.config_number, wanted.config_since) == (5, 100)
        wanted = members.rows_wanted("x", wants_config=True)
        assert (wanted.config_number, wanted.config_since) == (4, 90)
