"""State machine: entries never go back, whatever copy the store comes back from."""

import json
import math

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarkdoor.wire import pb
from skylarkdoord.direct import FleetConfig, Row, Rows, Service, UpstreamAge
from skylarkdoord.direct._fleet import CONFIG_KEY, Fleet
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.evidence import Crashes

from ._make import SERVICE, make_record, make_route

ENTRIES = ("a", "b")
UPSTREAMS = ("i-1", "i-2")
READY, DRAINING = "ready", "draining"


class StubAdapter:
    """Decodes rows of plain JSON."""

    def decode_config(self, data):
        """Return a configuration with one service."""
        services = {SERVICE: Service(SERVICE)}
        return FleetConfig(json.loads(data), (make_route(),), services, ())

    def decode_upstream(self, key, data):
        """Return an upstream in the state that its row gives."""
        state, born, _ = json.loads(data)
        return make_record(key, is_draining=state == DRAINING, started_ms=born)

    def upstream_age(self, data):
        """Return the start and the count of reports that a row gives."""
        _, born, sequence = json.loads(data)
        return UpstreamAge(born, sequence)


class ModelStore:
    """The store: the current rows, and a version that drills give out again."""

    def __init__(self):
        self.era = 0
        self.version = 0
        self.rows = {}
        self.removed = {}

    def come_back(self, rows, version):
        """Come back from a copy; what was removed since is not known."""
        self.rows, self.version, self.removed = dict(rows), version, {}
        self.era += 1

    def changes(self, since, *keys):
        """Return the rows with these keys that were written or removed since."""
        rows = [
            Row(key, version, None, self.era)
            for key, version in self.removed.items()
            if key in keys and key not in self.rows
        ]
        rows = [row for row in (*self.read(*keys).rows, *rows) if row.version > since]
        return Rows(tuple(rows), self.version, era=self.era)

    def write(self, key, content):
        """Write a row; None removes it."""
        self.version += 1
        if content is None:
            self.rows.pop(key, None)
            self.removed[key] = self.version
            return
        data = json.dumps(content).encode()
        self.rows[key] = (self.version, data)

    def read(self, *keys):
        """Return the rows with these keys."""
        rows = tuple(
            Row(key, version, data, self.era)
            for key, (version, data) in self.rows.items()
            if key in keys
        )
        return Rows(rows, self.version, era=self.era)


class ModelEntry:
    """An entry, and what it has seen of upstreams that left."""

    def __init__(self, name, adapter=None, **options):
        self.fleet = Fleet(adapter or StubAdapter())
        quota = Quota(QuotaBounds())
        self.members = Members(name, self.fleet, quota, Crashes(), **options)
        self.era = 0
        self.version = 0
        self.config_version = 0
        self.left_at = {}

    def listed(self):
        """Return the age of each upstream that accepts requests."""
        adapter = self.fleet.adapter
        return {
            record.instance: adapter.upstream_age(
                self.fleet.cached_rows[record.instance].row.data
            )
            for record in self.fleet.upstreams(SERVICE)
        }

    def read(self, store):
        """Read all tables of the store, with a grace period in a new era."""
        for row in store.read(CONFIG_KEY).rows:
            self.fleet.apply_config(row, source="store")
        grace_until = 0.0 if store.era == self.era else math.inf
        self.era, self.version = store.era, store.version
        self.fleet.apply_snapshot(store.read(*UPSTREAMS), grace_until=grace_until)

    def follow(self, store):
        """Read what has changed; all of it after the store came back."""
        if store.era != self.era:
            self.read(store)
            return
        changes = store.changes(self.version, *UPSTREAMS)
        self.version = store.version
        self.fleet.apply_changes(changes, source="store")

    def receive(self, other):
        """Receive the rows that another entry has and this one lacks."""
        fleet = self.fleet
        requested = pb.RowsWanted(
            config_since=fleet.config_at.number,
            config_era=fleet.config_at.era,
            config_number=fleet.config_version.number,
            upstreams_since=fleet.upstreams_at.number,
            upstreams_era=fleet.upstreams_at.era,
        )
        self.members.rows.apply(other.members.rows.newer(requested), "other")

    def check(self):
        """Check that nothing went back, and record what is known now."""
        config = self.fleet.routing.config.version if self.fleet.routing else 0
        assert config >= self.config_version
        self.config_version = config
        listed = self.listed()
        for instance, age in listed.items():
            assert age > self.left_at.get(instance, UpstreamAge(0, 0))
        for instance, cached in self.fleet.cached_rows.items():
            # An upstream that the copy lacks was not seen to leave.
            if instance in listed or cached.is_lost:
                continue
            if cached.latest is not None and instance not in self.fleet.missing:
                age = self.fleet.adapter.upstream_age(cached.latest.data)
                left_at = self.left_at.get(instance, age)
                self.left_at[instance] = max(left_at, age)


class StoreHistory(RuleBasedStateMachine):
    """The operator, the servers, two entries and a store with drills."""

    def __init__(self):
        super().__init__()
        self.store = ModelStore()
        self.copies = []
        self.entries = {name: ModelEntry(name) for name in ENTRIES}
        self.config = 0
        self.upstreams = dict.fromkeys(UPSTREAMS)
        self.born = dict.fromkeys(UPSTREAMS, 0)

    def write_again(self):
        """Write what the operator and the servers wrote last."""
        if self.config:
            self.store.write(CONFIG_KEY, self.config)
        for name, content in self.upstreams.items():
            self.store.write(name, content)

    def report(self, name, content):
        """Let a server write its row."""
        self.upstreams[name] = content
        self.store.write(name, content)

    @rule()
    def change_config(self):
        """Write a new configuration."""
        self.config += 1
        self.store.write(CONFIG_KEY, self.config)

    @rule(name=st.sampled_from(UPSTREAMS))
    def start_upstream(self, name):
        """Start a server, or start it again."""
        self.born[name] += 1
        self.report(name, [READY, self.born[name], 1])

    @rule(name=st.sampled_from(UPSTREAMS))
    def drain_upstream(self, name):
        """Let a server report that it leaves."""
        if self.upstreams[name] is not None:
            self.report(name, [DRAINING, self.born[name], 2])

    @rule(name=st.sampled_from(UPSTREAMS))
    def end_upstream(self, name):
        """End a server, which removes its row."""
        self.report(name, None)

    @rule()
    def copy(self):
        """Copy the store."""
        self.copies.append((dict(self.store.rows), self.store.version))

    @rule(data=st.data())
    def come_back(self, data):
        """Let the store come back from a copy."""
        if self.copies:
            rows, version = data.draw(st.sampled_from(self.copies))
            self.store.come_back(rows, version)

    @rule(name=st.sampled_from(ENTRIES))
    def read(self, name):
        """Let an entry read the store."""
        self.entries[name].read(self.store)

    @rule(name=st.sampled_from(ENTRIES))
    def follow(self, name):
        """Let an entry read what has changed."""
        self.entries[name].follow(self.store)

    @rule(name=st.sampled_from(ENTRIES))
    def exchange(self, name):
        """Let an entry receive rows from the other."""
        (other,) = (one for key, one in self.entries.items() if key != name)
        self.entries[name].receive(other)

    @rule()
    def settle(self):
        """Once all is written again and read, the entries know what is true."""
        self.write_again()
        ready = {
            name: UpstreamAge(self.born[name], 1)
            for name, content in self.upstreams.items()
            if content is not None and content[0] == READY
        }
        for entry in self.entries.values():
            entry.read(self.store)
            entry.read(self.store)
            assert entry.listed() == ready
            assert not self.config or entry.fleet.table.config.version == self.config

    @invariant()
    def nothing_goes_back(self):
        """Configurations and upstreams never go back at any entry."""
        for entry in self.entries.values():
            entry.check()


class TestLeftUpstream:
    """An upstream that left before the store came back from older copies."""

    def listed_after(self, *steps):
        """Return the upstreams that an entry lists after some steps of a machine."""
        machine = StoreHistory()
        for step in steps:
            step(machine)
            machine.follow("a")
            machine.nothing_goes_back()
        return machine.entries["a"].listed()

    # Guards against an upstream that comes back with the second older copy.
    @pytest.mark.parametrize("drills", [1, 2, 3])
    def test_stays_away(self, drills):
        """It stays away, however often its removal is lost and written again."""

        def come_back(machine):
            machine.store.come_back(*machine.copies[0])

        steps = [lambda m: m.start_upstream("i-1"), StoreHistory.copy]
        steps.append(lambda m: m.end_upstream("i-1"))
        for _ in range(drills):
            steps += [come_back, lambda m: m.end_upstream("i-1")]
        assert self.listed_after(*steps, come_back) == {}

    def test_starts_again(self):
        """A later start of it is listed in any era."""

        def come_back(machine):
            machine.store.come_back(*machine.copies[0])

        def start(machine):
            machine.start_upstream("i-1")

        def end(machine):
            machine.end_upstream("i-1")

        steps = (start, StoreHistory.copy, end, come_back, end, come_back, start)
        assert self.listed_after(*steps) == {"i-1": UpstreamAge(2, 1)}


StoreHistory.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestStoreHistory = StoreHistory.TestCase
