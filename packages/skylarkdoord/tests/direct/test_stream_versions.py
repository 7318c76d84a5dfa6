"""Tests of the versions of resumable streams."""

import asyncio

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from skylarkdoor.hashing import rendezvous
from skylarkdoor.wire import pb
from skylarkdoord.direct._guard import MAX_STREAMS as MAX_GUARDED_STREAMS
from skylarkdoord.direct._guarded_streams import (
    GUARDS_KEEPING_A_STREAM,
    MAX_GUARDS_ASKED,
    GuardedStreams,
)
from skylarkdoord.direct.exceptions import VersionUnknownError
from skylarkdoord.direct.streams import (
    StreamRecords,
    StreamVersions,
    _versions,
    key_of,
    to_wire,
)
from skylarkdoord.direct.streams._versions import MAX_STREAMS, RETENTION_S

from ._make import (
    SERVICE,
    Clock,
    make_admitted,
    make_customer,
    make_record,
    make_request,
    make_route,
)

TIMEOUT_S = make_route().timeout_s


class StubCache:
    """The cached row of an upstream."""

    def __init__(self, record):
        self.record = record


class StubFleet:
    """A fleet whose upstreams the test sets."""

    def __init__(self, *versions):
        self.on_upstreams = []
        self.cached_rows = {}
        self.is_read = True
        self.set(*versions)

    def set(self, *versions):
        """List one upstream of each version."""
        self.cached_rows = {
            version: StubCache(make_record(version, version=version))
            for version in versions
        }
        for listener in self.on_upstreams:
            listener()


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    """Wait only briefly for other entries."""
    monkeypatch.setattr(_versions, "ASK_TIMEOUT_S", 0.01)
    monkeypatch.setattr(_versions, "CONTRADICTION_TIMEOUT_S", 0.002)
    monkeypatch.setattr(_versions, "OPENING_TIMEOUT_S", 0.01)
    monkeypatch.setattr(_versions, "OPENING_POLL_S", 0.002)


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


@pytest.fixture
def fleet():
    """Return a fleet with two versions."""
    return StubFleet("v1", "v2")


@pytest.fixture
def streams(fleet, clock):
    """Return the versions of an entry that has run for long."""
    streams = make_streams(fleet, clock)
    clock.now += 100.0
    return streams


def make_streams(fleet, clock, *, is_first_start=False):
    """Return the versions of an entry that starts now."""
    streams = StreamVersions(fleet, is_first_start=is_first_start, clock=clock)
    streams.history.update()
    return streams


def attempt(request_id, resumes="", customer=None):
    """Return an attempt to begin a stream, or to take one up again."""
    request = make_request(
        request_id=request_id, resumes=resumes, last_event_id="3" if resumes else ""
    )
    return make_admitted(request, customer=customer)


async def found(streams, admitted):
    """Return the version found; None if it is unknown."""
    try:
        return await streams.find(admitted)
    except VersionUnknownError:
        return None


class TestFind:
    """`StreamVersions.find` at one entry."""

    async def test_begun(self, streams):
        """The version that began the named attempt is found."""
        streams.on_begun(attempt("a"), "v1")
        assert await found(streams, attempt("b", resumes="a")) == "v1"

    async def test_two_versions(self, streams):
        """An attempt id that began streams at two versions tells nothing."""
        streams.on_begun(attempt("a"), "v1")
        streams.on_begun(attempt("a"), "v2")
        assert await found(streams, attempt("b", resumes="a")) is None

    # Guards against a caller that names the attempt of another customer.
    async def test_other_customer(self, streams):
        """A stream of another customer is not found."""
        streams.on_begun(attempt("a", customer=make_customer()), "v1")
        other = make_customer(name="orchard")
        assert await found(streams, attempt("b", "a", other)) is None

    async def test_retention(self, streams, clock):
        """A stream is forgotten after the retention time."""
        streams.on_begun(attempt("a"), "v1")
        clock.now += RETENTION_S + 1
        streams.on_begun(attempt("other"), "v1")
        assert await found(streams, attempt("b", resumes="a")) is None

    def test_bounded(self, streams):
        """Only the latest streams are kept."""
        for number in range(MAX_STREAMS + 10):
            streams.records.remember(key_of(attempt("a"), f"{number}"), "v1")
        assert len(streams.records.begun) == MAX_STREAMS


class TestOnlyVersion:
    """Streams that are unknown while a service has had one version only."""

    @pytest.fixture
    def fleet(self):
        """Return a fleet with one version."""
        return StubFleet("v1")

    @pytest.fixture
    def first(self, fleet, clock):
        """Return the versions of an entry of the deployment's first start."""
        return make_streams(fleet, clock, is_first_start=True)

    async def test_one(self, first):
        """The only version since the first start is the one that began a stream."""
        assert await found(first, attempt("b", resumes="lost")) == "v1"
        assert await found(first, attempt("b")) == "v1"

    # Guards against the report: callers came back later than the time for which the
    # registry was trusted.
    @pytest.mark.parametrize("timeouts", [0.2, 1.2, 2.3, 3.5, 100.0])
    async def test_several(self, first, fleet, clock, timeouts):
        """A version that left long ago may have begun the stream."""
        fleet.set("v2")
        clock.now += timeouts * TIMEOUT_S
        assert await found(first, attempt("b", resumes="lost")) is None

    @pytest.mark.parametrize("timeouts", [0.2, 1.2, 2.3, 3.5, 100.0])
    async def test_started(self, fleet, clock, timeouts):
        """An entry that starts later never knows which versions have left before."""
        streams = make_streams(fleet, clock)
        clock.now += timeouts * TIMEOUT_S
        assert await found(streams, attempt("b", resumes="lost")) is None

    async def test_none(self, clock):
        """Without upstreams, nothing is known."""
        streams = make_streams(StubFleet(), clock, is_first_start=True)
        assert await found(streams, attempt("b", resumes="lost")) is None

    # Guards against a history that counts from the entry's start: other entries may
    # have used versions that were gone when this one read the registry.
    async def test_not_read(self, first, fleet, clock):
        """The registry tells nothing before it was read whole."""
        fleet.is_read = False
        clock.now += 100.0
        assert await found(first, attempt("b", resumes="lost")) is None
        fleet.is_read = True
        assert await found(first, attempt("b", resumes="lost")) == "v1"

    # Guards against a dropped stream that is then looked up in the registry.
    async def test_dropped_by_number(self, fleet, clock):
        """A stream that others pushed out is unknown, not at the listed version."""
        streams = make_streams(fleet, clock)
        streams.on_begun(attempt("a"), "v1")
        fleet.set("v2")
        for number in range(MAX_STREAMS):
            streams.records.remember(key_of(attempt("a"), f"{number}"), "v2")
        clock.now += 3 * TIMEOUT_S
        assert await found(streams, attempt("b", resumes="a")) is None

    # Guards against a dropped stream that is then looked up in the registry.
    async def test_dropped_by_age(self, first, fleet, clock):
        """A stream that is too old is unknown, not at the listed version."""
        first.on_begun(attempt("a"), "v1")
        fleet.set("v2")
        clock.now += RETENTION_S + 1.0
        first.on_begun(attempt("other"), "v2")
        assert await found(first, attempt("b", resumes="a")) is None

    # Guards against a version that only other entries have seen.
    async def test_cut_off(self, first):
        """While new versions don't reach an entry, it asks instead."""
        first.history.is_current = lambda: False
        assert await found(first, attempt("b", resumes="lost")) is None

    async def test_opening(self, first):
        """Streams that are being opened to other entries may bring another version."""
        opening = [True]
        first.is_opening.append(lambda service: bool(opening))

        def open_first(message):
            others = make_streams(StubFleet("v2"), Clock())
            first.history.merge(others.history.report(-1).history, "e2", is_complete=0)
            opening.clear()

        first.ask.append(open_first)
        assert await found(first, attempt("b", resumes="lost")) is None


class TestHistory:
    """`VersionHistory` between entries."""

    @staticmethod
    def exchange(source, target):
        """Send one history to another."""
        report = source.report(-1)
        target.merge(report.history, "e1", is_complete=report.history_complete)

    async def test_taken_over(self, clock):
        """An entry that joins has the history of one that ran from the start."""
        fleet = StubFleet("v1")
        first = make_streams(fleet, clock, is_first_start=True)
        joined = make_streams(fleet, clock)
        assert joined.history.only_version(SERVICE) is None
        self.exchange(first.history, joined.history)
        assert joined.history.only_version(SERVICE) == "v1"

    async def test_left_before(self, clock):
        """A version that left before an entry started is in the history it gets."""
        fleet = StubFleet("v1")
        first = make_streams(fleet, clock, is_first_start=True)
        fleet.set("v2")
        joined = make_streams(fleet, clock)
        self.exchange(first.history, joined.history)
        assert joined.history.is_complete
        assert joined.history.only_version(SERVICE) is None

    async def test_incomplete(self, clock):
        """Entries that started later don't make each other's history complete."""
        fleet = StubFleet("v1")
        one, two = make_streams(fleet, clock), make_streams(fleet, clock)
        self.exchange(one.history, two.history)
        assert not two.history.is_complete

    # Guards against an entry that learns of a version only by the other one.
    async def test_change(self, clock):
        """A change is reported once, and again to others."""
        fleet = StubFleet("v1")
        history = make_streams(fleet, clock, is_first_start=True).history
        history.merge(
            [pb.ServiceVersions(service="other", versions=["v1"])],
            "e2",
            is_complete=False,
        )
        sent = history.change
        assert not history.report(sent).history
        fleet.set("v1", "v2")
        (service,) = history.report(sent).history
        assert service.service == SERVICE
        assert service.several
        assert not history.report(history.change).history
        assert len(history.report(-1).history) == 2


class TestAsk:
    """Asking the other entries."""

    async def test_answered(self, streams):
        """The answer of another entry is used, for all that wait for it."""
        asked = []
        streams.ask.append(asked.append)
        waiting = [
            asyncio.create_task(found(streams, attempt("b", resumes="a")))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        (message,) = asked
        streams.merge([to_wire(key_of(attempt("b"), message.request_id), "v1")])
        assert await asyncio.gather(*waiting) == ["v1"] * 3
        assert not streams.asked

    # Guards against the first answer being taken for the only one.
    async def test_contradiction(self, streams):
        """Two answers with different versions tell nothing."""

        def answer(message):
            for version in ("v1", "v2"):
                key = key_of(attempt("b"), message.request_id)
                streams.merge([to_wire(key, version)])

        streams.ask.append(answer)
        assert await found(streams, attempt("b", resumes="a")) is None

    async def test_opened_meanwhile(self, streams, monkeypatch):
        """Another entry that connects during a look-up is asked as well."""
        monkeypatch.setattr(_versions, "OPENING_TIMEOUT_S", 1.0)
        opening = [True]
        streams.is_opening.append(lambda service: bool(opening))
        waiting = asyncio.create_task(found(streams, attempt("b", resumes="a")))
        await asyncio.sleep(0.05)
        (message,) = streams.wanted()
        streams.merge([to_wire(key_of(attempt("b"), message.request_id), "v1")])
        assert await waiting == "v1"
        assert not streams.wanted()

    # Guards against streams of different callers that share the empty id.
    async def test_without_id(self, streams):
        """An attempt without an id is not recorded, and a resumption names none."""
        streams.on_begun(attempt(""), "v1")
        assert not streams.records.begun
        assert await found(streams, attempt("b", resumes="")) is None

    async def test_silence(self, streams):
        """If nobody answers in time, the version is unknown, and nothing is left."""
        assert await found(streams, attempt("b", resumes="a")) is None
        assert not streams.asked


class StubLink:
    """The stream to one guard, which handles messages at once.

    Attributes:
        records: What the guard keeps.
    """

    def __init__(self, name):
        self.record = make_record(name)
        self.is_connected = True
        self.is_opening = False
        self.records = StreamRecords(MAX_GUARDED_STREAMS)
        self.link = self
        self.outbox = self
        self.on_streams = lambda streams: None

    def put(self, message):
        """Handle a message as the guard does."""
        if message.HasField("begun"):
            self.records.merge([message.begun])
        else:
            self.on_streams(self.records.answer(message.streams_wanted.streams))


class StubGuards:
    """The streams of one entry to guards, which keep their records."""

    def __init__(self, links):
        self.by_service = {SERVICE: {link.record.instance: link for link in links}}
        self.on_streams = None
        self.on_connected = None


def connect(streams, links):
    """Connect an entry to guards; return what it does with them."""
    guards = StubGuards(links)
    guarded = GuardedStreams(guards, streams)
    for link in links:
        link.on_streams = guards.on_streams
    return guarded


def keeping(links):
    """Return the guards that keep a stream."""
    return [link for link in links if link.records.begun]


class TestGuards:
    """`GuardedStreams`."""

    @pytest.mark.parametrize("upstream", ["i-1", "unguarded"])
    async def test_keeping(self, streams, upstream):
        """The granting guard and a further one keep a stream, or two others."""
        links = [StubLink(f"i-{number}") for number in range(5)]
        connect(streams, links)
        streams.on_begun(attempt("a"), "v1", upstream)
        assert len(keeping(links)) == GUARDS_KEEPING_A_STREAM
        assert upstream == "unguarded" or links[1] in keeping(links)

    async def test_all_entries_lost(self, streams, fleet, clock):
        """The guards tell an entry that knows nothing."""
        links = [StubLink(f"i-{number}") for number in range(5)]
        connect(streams, links)
        streams.on_begun(attempt("a"), "v1", "i-1")
        anew = make_streams(fleet, clock)
        connect(anew, links)
        assert await found(anew, attempt("b", resumes="a")) == "v1"

    async def test_one_lost(self, streams, fleet, clock):
        """One of the two guards may be lost."""
        links = [StubLink(f"i-{number}") for number in range(5)]
        connect(streams, links)
        streams.on_begun(attempt("a"), "v1", "i-1")
        links[1].is_connected = False
        anew = make_streams(fleet, clock)
        connect(anew, links)
        assert await found(anew, attempt("b", resumes="a")) == "v1"

    # Guards against questions to thousands of guards.
    async def test_many(self, streams, fleet, clock):
        """Only some guards are asked, among them the one chosen by hashing."""
        links = [StubLink(f"i-{number}") for number in range(3 * MAX_GUARDS_ASKED)]
        connect(streams, links)
        for number in range(10):
            streams.on_begun(attempt(f"a{number}"), "v1", "i-1")
        anew = make_streams(fleet, clock)
        guarded = connect(anew, links)
        for number in range(10):
            wanted = to_wire(key_of(attempt("b"), f"a{number}"), None)
            assert len(guarded.asked_links(wanted)) == MAX_GUARDS_ASKED
            assert await found(anew, attempt("b", resumes=f"a{number}")) == "v1"

    async def test_connected_later(self, streams, fleet, clock, monkeypatch):
        """A guard that connects during a look-up is asked."""
        monkeypatch.setattr(_versions, "OPENING_TIMEOUT_S", 1.0)
        link = StubLink("i-1")
        connect(streams, [link])
        streams.on_begun(attempt("a"), "v1", "i-1")
        anew = make_streams(fleet, clock)
        guarded = connect(anew, [link])
        link.is_connected, link.is_opening = False, True
        waiting = asyncio.create_task(found(anew, attempt("b", resumes="a")))
        await asyncio.sleep(0.02)
        link.is_connected, link.is_opening = True, False
        guarded.on_connected(link)
        assert await waiting == "v1"

    def test_bounded(self):
        """A guard keeps its latest streams, however old they are."""
        records = StreamRecords(MAX_GUARDED_STREAMS)
        for number in range(MAX_GUARDED_STREAMS + 10):
            records.remember(key_of(attempt("a"), f"{number}"), "v1")
        assert len(records.begun) == MAX_GUARDED_STREAMS
        assert key_of(attempt("a"), "9") not in records.begun


class ResumptionMachine(RuleBasedStateMachine):
    """Entries that start anew, streams that begin, and callers that come back.

    What an entry finds is the version that began the stream, or nothing, however late
    the caller comes back and whatever was restarted.
    """

    ENTRIES = ("e1", "e2", "e3", "e4")
    GUARDS = 3

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.fleet = StubFleet("v1")
        self.begun = {}
        self.count = 0
        self.entries = {}
        self.links = [StubLink(f"i-{number}") for number in range(self.GUARDS)]
        for name in self.ENTRIES:
            self.start(name, is_first_start=True)

    def start(self, name, *, is_first_start=False):
        """Start an entry anew, without what it knew."""
        self.fleet.on_upstreams.clear()
        streams = make_streams(self.fleet, self.clock, is_first_start=is_first_start)
        streams.share = lambda message: self.share(name, message)
        streams.ask.append(lambda message: self.ask(name, message))
        connect(streams, self.links)
        self.entries[name] = streams
        for entry in self.entries.values():
            if entry.history.update not in self.fleet.on_upstreams:
                self.fleet.on_upstreams.append(entry.history.update)
        for other in self.others(name).values():
            TestHistory.exchange(other.history, streams.history)
            TestHistory.exchange(streams.history, other.history)

    def others(self, name):
        """Return the other entries by name."""
        return {key: entry for key, entry in self.entries.items() if key != name}

    def share(self, name, message):
        """Send a stream to two other entries."""
        others = self.others(name)
        for receiver in rendezvous(message.request_id, others, count=2):
            others[receiver].merge([message])

    def ask(self, name, message):
        """Let all other entries answer."""
        for other in self.others(name).values():
            self.entries[name].merge(other.answer([message]))

    def begin_at(self, name, admitted, version):
        """Let a stream begin, or go on, through an entry at a listed version."""
        self.count += 1
        upstream = f"i-{self.count % (self.GUARDS + 1)}"
        self.entries[name].on_begun(admitted, version, upstream)
        self.begun[admitted.request.request_id] = version

    @initialize()
    def begin_first(self):
        """A stream begins, so that each run has one to come back to."""
        self.begin_at("e1", attempt("first"), "v1")

    @rule(name=st.sampled_from(ENTRIES), version=st.sampled_from(["v1", "v2", "v3"]))
    def begin(self, name, version):
        """A stream begins at a listed version."""
        if version in self.fleet.cached_rows:
            self.begin_at(name, attempt(f"a{self.count}"), version)

    @rule(name=st.sampled_from(ENTRIES))
    def restart(self, name):
        """An entry starts anew."""
        self.start(name)

    @rule(
        versions=st.sets(st.sampled_from(["v1", "v2", "v3"])),
        timeouts=st.sampled_from([0.2, 1.2, 2.3, 3.5, 20.0]),
    )
    def restart_all(self, versions, timeouts):
        """All entries are killed at once; other versions may be listed meanwhile."""
        self.entries.clear()
        self.fleet.on_upstreams.clear()
        self.fleet.set(*sorted(versions))
        for name in self.ENTRIES:
            self.start(name)
        self.clock.now += timeouts * TIMEOUT_S

    @rule(link=st.integers(0, GUARDS - 1))
    def restart_guard(self, link):
        """A guard starts anew, without what it knew."""
        self.links[link].records = StreamRecords(MAX_GUARDED_STREAMS)

    @rule(versions=st.sets(st.sampled_from(["v1", "v2", "v3"])))
    def roll(self, versions):
        """Other versions are listed."""
        self.fleet.set(*sorted(versions))

    @rule(timeouts=st.sampled_from([0.2, 1.2, 2.3, 3.5, 20.0]))
    def wait(self, timeouts):
        """Time passes."""
        self.clock.now += timeouts * TIMEOUT_S

    @rule(name=st.sampled_from(ENTRIES), data=st.data())
    def resume(self, name, data):
        """A caller comes back at an entry, and later names its second attempt."""
        if not self.begun:
            return
        request_id = data.draw(st.sampled_from(sorted(self.begun)))
        again = attempt(f"a{self.count}", resumes=request_id)
        version = asyncio.run(found(self.entries[name], again))
        assert version in (None, self.begun[request_id])
        # Without an upstream of the version, the request is refused and begins nothing.
        if version in self.fleet.cached_rows:
            self.begin_at(name, again, version)

    @rule(name=st.sampled_from(ENTRIES))
    def resume_unknown(self, name):
        """A caller names an attempt that never was."""
        version = asyncio.run(found(self.entries[name], attempt("x", resumes="never")))
        assert version == self.entries[name].history.only_version(SERVICE)

    @invariant()
    def none_waits(self):
        """No entry keeps a question that was answered or timed out."""
        assert not any(entry.asked for entry in self.entries.values())


TestResumptionMachine = ResumptionMachine.TestCase
