"""Tests of the versions of resumable streams."""

import asyncio

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from skylarkdoor.hashing import rendezvous
from skylarkdoord.direct import _stream_versions
from skylarkdoord.direct._stream_versions import (
    HORIZON_TIMEOUTS,
    MAX_STREAMS,
    RETENTION_S,
    StreamVersions,
    key_of,
    to_wire,
)
from skylarkdoord.direct.exceptions import VersionUnknownError

from ._make import (
    SERVICE,
    Clock,
    make_admitted,
    make_customer,
    make_record,
    make_request,
    make_route,
)

HORIZON_S = HORIZON_TIMEOUTS * make_route().timeout_s


class StubCache:
    """The cached row of an upstream."""

    def __init__(self, record):
        self.record = record


class StubFleet:
    """A fleet whose upstreams the test sets."""

    def __init__(self, *versions):
        self.on_upstreams = []
        self.cached_rows = {}
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
    monkeypatch.setattr(_stream_versions, "ASK_TIMEOUT_S", 0.01)


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


def make_streams(fleet, clock):
    """Return the versions of an entry that starts now."""
    streams = StreamVersions(fleet, clock=clock)
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
            streams.remember(key_of(attempt("a"), f"{number}"), "v1")
        assert len(streams.begun) == MAX_STREAMS


class TestOnlyVersion:
    """Streams that are unknown while a service has one version."""

    async def test_one(self, streams, fleet, clock):
        """The only version of a long time is the one that began a stream."""
        fleet.set("v2")
        assert await found(streams, attempt("b", resumes="lost")) is None
        clock.now += HORIZON_S + 1.0
        assert await found(streams, attempt("b", resumes="lost")) == "v2"
        assert await found(streams, attempt("b")) == "v2"

    async def test_started(self, fleet, clock):
        """An entry that has just started does not know which versions have left."""
        fleet.set("v2")
        assert await found(make_streams(fleet, clock), attempt("b", "lost")) is None

    async def test_none(self, streams, fleet, clock):
        """Without upstreams, nothing is known."""
        fleet.set()
        clock.now += HORIZON_S + 1.0
        assert await found(streams, attempt("b", resumes="lost")) is None


class TestAsk:
    """Asking the other entries."""

    async def test_answered(self, streams):
        """The answer of another entry is used, for all that wait for it."""
        asked = []
        streams.ask = asked.append
        waiting = [
            asyncio.create_task(found(streams, attempt("b", resumes="a")))
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        (message,) = asked
        streams.merge([to_wire(key_of(attempt("b"), message.request_id), "v1")])
        assert await asyncio.gather(*waiting) == ["v1"] * 3
        assert not streams.asked

    async def test_silence(self, streams):
        """If nobody answers in time, the version is unknown, and nothing is left."""
        assert await found(streams, attempt("b", resumes="a")) is None
        assert not streams.asked


class ResumptionMachine(RuleBasedStateMachine):
    """Entries that start anew, streams that begin, and callers that come back.

    What an entry finds is the version that began the stream, or nothing.
    """

    ENTRIES = ("e1", "e2", "e3", "e4")

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.fleet = StubFleet("v1", "v2")
        self.begun = {}
        self.begun_at = {}
        self.count = 0
        self.entries = {}
        for name in self.ENTRIES:
            self.start(name)

    def start(self, name):
        """Start an entry anew, without what it knew."""
        streams = make_streams(self.fleet, self.clock)
        streams.share = lambda message: self.share(name, message)
        streams.ask = lambda message: self.ask(name, message)
        self.entries[name] = streams

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

    @rule(name=st.sampled_from(ENTRIES), version=st.sampled_from(["v1", "v2", "v3"]))
    def begin(self, name, version):
        """A stream begins at a listed version."""
        if version in self.fleet.cached_rows:
            self.count += 1
            request_id = f"a{self.count}"
            self.entries[name].on_begun(attempt(request_id), version)
            self.begun[request_id] = version
            self.begun_at[request_id] = self.clock.now

    @rule(name=st.sampled_from(ENTRIES))
    def restart(self, name):
        """An entry starts anew."""
        self.start(name)

    @rule(versions=st.sets(st.sampled_from(["v1", "v2", "v3"])))
    def roll(self, versions):
        """Other versions are listed."""
        self.fleet.set(*sorted(versions))

    @rule(time_s=st.sampled_from([0.5, 3.0, 8.0]))
    def wait(self, time_s):
        """Time passes, and with it the streams that callers may take up again."""
        self.clock.now += time_s
        for request_id, at in self.begun_at.items():
            if self.clock.now - at > HORIZON_S:
                self.begun.pop(request_id, None)

    @rule(name=st.sampled_from(ENTRIES), data=st.data())
    def resume(self, name, data):
        """A caller comes back at an entry, and later names its second attempt."""
        if not self.begun:
            return
        request_id = data.draw(st.sampled_from(sorted(self.begun)))
        self.count += 1
        again = attempt(f"a{self.count}", resumes=request_id)
        version = asyncio.run(found(self.entries[name], again))
        assert version in (None, self.begun[request_id])
        # Without an upstream of the version, the request is refused and begins nothing.
        if version in self.fleet.cached_rows:
            self.entries[name].on_begun(again, version)
            self.begun[again.request.request_id] = version
            self.begun_at[again.request.request_id] = self.clock.now

    @rule(name=st.sampled_from(ENTRIES))
    def resume_unknown(self, name):
        """A caller names an attempt that never was."""
        version = asyncio.run(found(self.entries[name], attempt("x", resumes="never")))
        only = self.entries[name].history.only_version(SERVICE, HORIZON_S)
        assert version == only

    @invariant()
    def none_waits(self):
        """No entry keeps a question that was answered or timed out."""
        assert not any(entry.asked for entry in self.entries.values())


TestResumptionMachine = ResumptionMachine.TestCase
