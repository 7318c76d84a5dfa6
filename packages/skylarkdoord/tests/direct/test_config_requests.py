"""Tests of requests for a configuration that another entry has."""

import pytest

from skylarkdoord.direct import FleetConfig, Row, StoreVersion
from skylarkdoord.direct._config_requests import (
    ANSWER_TIMEOUT_S,
    LAG_TOLERANCE_S,
    MAX_SEND_BACKLOG_S,
    SEND_BYTES_PER_S,
    ConfigRequests,
    SendLimit,
)
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._fleet_rows import ConfigVersion
from skylarkdoord.direct._member import Member
from skylarkdoord.direct.exceptions import RowError

from ._make import Clock

MANY = 299


class StubAdapter:
    """Decodes configurations that consist of their version."""

    def decode_config(self, data):
        """Return an empty configuration."""
        if data == b"spoilt":
            raise RowError("version: expected a whole number")
        return FleetConfig(int(data), (), {}, ())


class Timers:
    """Timers that the test lets expire."""

    def __init__(self):
        self.pending = []

    def call_later(self, delay_s, call):
        """Add a timer."""
        timer = Timer(self, delay_s, call)
        self.pending.append(timer)
        return timer

    def expire(self):
        """Let the only timer expire; return its delay."""
        (timer,) = self.pending
        timer.cancel()
        timer.call()
        return timer.delay_s


class Timer:
    """A timer that is pending until it is cancelled."""

    def __init__(self, timers, delay_s, call):
        self.timers = timers
        self.delay_s = delay_s
        self.call = call

    def cancel(self):
        """Drop the call."""
        if self in self.timers.pending:
            self.timers.pending.remove(self)


class StubPeer:
    """A stream that records requests."""

    def __init__(self, name, asked):
        self.name = name
        self.asked = asked

    def request_config(self):
        """Record a request."""
        self.asked.append(self.name)


class Requester:
    """The requests of an entry that has version 4, read in the second era."""

    def __init__(self):
        self.fleet = Fleet(StubAdapter())
        self.members = {}
        self.peers = {}
        self.asked = []
        self.timers = Timers()
        self.requests = ConfigRequests(
            self.fleet, self.members, self.peers, call_later=self.timers.call_later
        )
        self.apply(4, (1, 90))

    def apply(self, content, changed_at):
        """Apply a row of the configuration."""
        data = str(content).encode()
        era, version = changed_at
        self.fleet.apply_config(Row("config", version, data, era), source="test")

    def hear(self, name, number, changed_at=(0, 100)):
        """Receive an update of another entry that states its version."""
        member = self.members.setdefault(name, Member(name))
        member.config = ConfigVersion(number, StoreVersion(*changed_at))
        self.peers.setdefault(name, StubPeer(name, self.asked))
        self.requests.on_update(name)


@pytest.fixture
def requester():
    """Return an entry and its requests."""
    return Requester()


class TestRequests:
    """`ConfigRequests`."""

    @pytest.mark.parametrize(
        ("number", "changed_at", "is_newer"),
        [
            (5, (0, 100), True),
            (4, (1, 91), True),
            (4, (1, 90), False),
            (4, (0, 100), False),
            (3, (2, 7), False),
        ],
    )
    # Guards against an entry that stays at the version of an older copy of the store.
    def test_order(self, requester, number, changed_at, is_newer):
        """The operator's version decides, then the time at which it was written."""
        requester.hear("x", number, changed_at)
        assert bool(requester.timers.pending) == is_newer

    # Guards against a configuration that an entry misses during an upgrade, as those of
    # the former release have it and do not state the operator's version.
    @pytest.mark.parametrize(
        ("changed_at", "is_newer"),
        [((1, 91), True), ((1, 90), False), ((0, 100), False), ((2, 7), False)],
    )
    def test_former_release(self, requester, changed_at, is_newer):
        """Without the operator's version, the place within the era decides."""
        requester.hear("x", 0, changed_at)
        assert bool(requester.timers.pending) == is_newer

    def test_after_tolerance(self, requester):
        """A newer version is requested once the store had time to state it as well."""
        requester.hear("x", 5)
        assert requester.asked == []
        assert requester.timers.expire() == LAG_TOLERANCE_S
        assert requester.asked == ["x"]
        requester.apply(5, (0, 100))
        assert requester.timers.pending == []

    def test_own_watch(self, requester):
        """Nothing is requested if the store states the version meanwhile."""
        requester.hear("x", 5)
        requester.apply(5, (0, 100))
        assert requester.timers.pending == []

    def test_later_version(self, requester):
        """A version that another entry got meanwhile is requested afterwards."""
        requester.hear("x", 5)
        requester.hear("z", 6, (0, 101))
        requester.apply(5, (0, 100))
        assert requester.timers.expire() == LAG_TOLERANCE_S
        assert requester.asked == ["z"]

    # Guards against 299 answers of tens of kilobytes each to one entry.
    def test_many(self, requester):
        """Of many entries, one after the other is asked until one has answered."""
        for number in range(MANY):
            requester.hear(f"x{number}", 5)
        requester.timers.expire()
        assert len(requester.asked) == 1
        for _ in range(MANY - 1):
            assert requester.timers.expire() == ANSWER_TIMEOUT_S
        assert set(requester.asked) == set(requester.peers)
        requester.timers.expire()
        assert len(requester.asked) == MANY + 1
        requester.apply(5, (0, 100))
        assert requester.timers.pending == []

    def test_newest(self, requester):
        """The entry with the newest version is asked first, then the others."""
        requester.hear("w", 5)
        requester.hear("x", 7)
        requester.hear("z", 6)
        for _ in range(3):
            requester.timers.expire()
        assert requester.asked == ["x", "z", "w"]

    def test_stream_lost(self, requester):
        """Without a stream to an entry with the version, its next update is awaited."""
        requester.hear("x", 5)
        del requester.peers["x"]
        requester.timers.expire()
        assert (requester.asked, requester.timers.pending) == ([], [])
        requester.hear("x", 5)
        requester.timers.expire()
        assert requester.asked == ["x"]

    # Guards against requests for ever for contents that this entry can't decode.
    def test_rejected(self, requester):
        """A configuration that can't be decoded is not requested again."""
        requester.hear("x", 5)
        requester.hear("z", 5, (1, 95))
        requester.timers.expire()
        requester.apply("spoilt", (0, 100))
        requester.apply("spoilt", (1, 95))
        requester.timers.expire()
        requester.hear("x", 5)
        assert requester.timers.pending == []
        requester.hear("x", 6, (1, 97))
        requester.timers.expire()
        assert requester.asked[1:] == ["x"]


class TestSendLimit:
    """`SendLimit`."""

    def test_backlog(self):
        """What is sent at once is bounded, and so is the rate after that."""
        clock = Clock()
        limit = SendLimit(clock)
        each_s = 0.125
        size = int(SEND_BYTES_PER_S * each_s)
        at_once = int(MAX_SEND_BACKLOG_S / each_s) + 1
        assert [limit.allows(size) for _ in range(at_once)] == [True] * at_once
        assert not limit.allows(size)
        clock.now += each_s
        assert limit.allows(size)
        assert not limit.allows(size)

    def test_large(self):
        """A configuration of any size is sent once nothing else is being sent."""
        clock = Clock()
        limit = SendLimit(clock)
        assert limit.allows(10 * SEND_BYTES_PER_S)
        clock.now += 9.0
        assert not limit.allows(1)
        clock.now += 1.0
        assert limit.allows(10 * SEND_BYTES_PER_S)
