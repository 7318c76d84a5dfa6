"""Tests of the time from which streams may begin at a further version of a service."""

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._members import SILENT_RETENTION_S, Members
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.entry import ANNOUNCEMENT_MARGIN
from skylarkdoord.direct.evidence import Crashes
from skylarkdoord.direct.streams import StreamVersions

from ._make import SERVICE, Clock
from .test_stream_versions import StubFleet

NAMES = ("a", "b", "c")
LATENCY_S = 0.01


class Network:
    """Entries that send each other updates, in simulated time.

    Attributes:
        clock: The time.
        entries: The entries, by name.
        cut: Pairs of names between which no updates pass.
        suspended: Names of entries that stand still; their updates wait.
        waiting: Updates in the buffers of suspended entries, oldest first.
    """

    def __init__(self):
        self.clock = Clock()
        self.cut = set()
        self.suspended = set()
        self.waiting = {name: [] for name in NAMES}
        self.entries = {name: NetworkEntry(name, self) for name in NAMES}

    def run(self, seconds):
        """Let time pass; running entries send updates at their interval."""
        interval_s = next(iter(self.entries.values())).members.update_interval_s()
        for _ in range(max(1, round(seconds / interval_s))):
            self.clock.now += interval_s
            self.exchange()

    def exchange(self):
        """Let every running entry send an update to all others."""
        for source in self.entries.values():
            if source.name in self.suspended:
                continue
            update = source.update()
            for name in NAMES:
                if name != source.name and {name, source.name} not in self.cut:
                    self.waiting[name].append(update)
        self.clock.now += LATENCY_S
        for name in set(NAMES) - self.suspended:
            self.deliver(name)

    def deliver(self, name, count=None):
        """Deliver the updates in an entry's buffer, or only so many."""
        updates = self.waiting[name][:count]
        del self.waiting[name][: len(updates)]
        for update in updates:
            self.entries[name].members.receive(update)


class NetworkEntry:
    """One entry, with its view of the registry."""

    def __init__(self, name, network):
        self.name = name
        self.fleet = StubFleet("v1")
        self.streams = StreamVersions(self.fleet, is_first_start=True)
        self.history = self.streams.history
        self.history.clock = network.clock
        self.members = Members(
            name,
            Fleet(None),
            Quota(QuotaBounds()),
            Crashes(),
            streams=self.streams,
            clock=network.clock,
        )
        self.members.started -= 100.0
        self.history.all_know = self.members.all_know
        self.history.timeout_s = lambda: (
            ANNOUNCEMENT_MARGIN * self.members.version_timeout_s()
        )
        self.history.is_current = lambda: self.members.learns_versions(
            is_registry_down=False
        )
        self.history.update()

    def update(self):
        """Return an update for the other entries."""
        update = pb.EntryNews(
            instance=self.name, incarnation=1, age_ms=self.members.age_ms()
        )
        update.MergeFrom(self.history.report(-1))
        return update

    def learn(self, *versions):
        """Read the registry, which lists upstreams of these versions."""
        self.fleet.set(*versions)

    @property
    def only(self):
        """The version that the entry tells for streams that it does not know."""
        return self.history.only_version(SERVICE)

    def may_begin(self, version="v2"):
        """Return whether the entry lets streams begin at a version."""
        return self.history.may_begin(SERVICE, version)


@pytest.fixture
def network():
    """Return entries that know each other and one version."""
    network = Network()
    network.run(3)
    assert all(entry.only == "v1" for entry in network.entries.values())
    return network


def check(network):
    """Check that no entry tells one version while another one begins streams at two."""
    if any(entry.may_begin() for entry in network.entries.values() if entry.knows_v2):
        told = {entry.only for entry in network.entries.values()}
        assert told <= {None}


NetworkEntry.knows_v2 = property(lambda self: (SERVICE, "v2") in self.history.seen)


class TestRelease:
    """Upstreams of a new version join a service."""

    def test_others_are_told_first(self, network):
        """Streams begin at the new version once all entries know it."""
        a = network.entries["a"]
        assert a.may_begin("v1")
        a.learn("v1", "v2")
        assert not a.may_begin()
        network.run(0.6)
        assert a.may_begin()
        check(network)

    # Guards against a stream that a cut entry takes up at another version.
    @pytest.mark.parametrize("knowing", ["a", "b"])
    @pytest.mark.parametrize("is_closed", [False, True], ids=["silent", "closed"])
    def test_entry_is_cut(self, network, knowing, is_closed):
        """A cut entry tells no version any more when streams begin at the new one."""
        network.cut = [{"c", "a"}, {"c", "b"}]
        if is_closed:
            for name, entry in network.entries.items():
                for member in entry.members.by_name.values():
                    member.has_closed_stream = "c" in (name, member.instance)
        network.run(0.2)
        network.entries[knowing].learn("v1", "v2")
        for _ in range(40):
            network.run(0.2)
            check(network)
        assert network.entries[knowing].may_begin()
        assert network.entries["c"].only is None

    # Guards against old updates that an entry reads first when it wakes.
    def test_entry_stands_still(self, network):
        """An entry that wakes tells no version until it has read recent updates."""
        c = network.entries["c"]
        network.suspended.add("c")
        network.run(0.2)
        network.entries["a"].learn("v1", "v2")
        for _ in range(40):
            network.run(0.2)
        assert network.entries["a"].may_begin()
        network.suspended.clear()
        while network.waiting["c"]:
            assert c.only is None
            network.deliver("c", 1)
        assert c.only is None
        network.cut = []
        network.run(1)
        check(network)

    def test_both_sides_of_a_cut(self, network):
        """Two entries that are cut off together tell no version either."""
        network.cut = [{"a", "b"}, {"a", "c"}]
        network.run(0.2)
        network.entries["a"].learn("v1", "v2")
        for _ in range(40):
            network.run(0.2)
            check(network)
        assert network.entries["a"].may_begin()

    def test_entry_is_gone(self, network):
        """An entry that is gone for good delays a version for a moment only."""
        network.suspended.add("c")
        network.run(0.4)
        a = network.entries["a"]
        a.learn("v1", "v2")
        network.run(ANNOUNCEMENT_MARGIN * a.members.version_timeout_s() + 0.4)
        assert a.may_begin()

    def test_entry_is_long_gone(self, network):
        """Entries tell versions again once an entry is gone for long."""
        network.suspended.add("c")
        network.run(SILENT_RETENTION_S / 2)
        assert network.entries["a"].only is None
        network.run(SILENT_RETENTION_S)
        assert network.entries["a"].only == "v1"

    def test_first_version(self, network):
        """The first version of a service is used at once."""
        a = network.entries["a"]
        a.history.add("lookup", "v7")
        assert a.history.may_begin("lookup", "v7")
