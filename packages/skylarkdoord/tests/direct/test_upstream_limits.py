"""Tests of the limits on requests that upstreams name."""

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from skylarkdoor.hashing import rendezvous
from skylarkdoord.direct._adapter import UpstreamHead
from skylarkdoord.direct._upstream_limits import (
    DOUBLING_S,
    MAX_WAIT_S,
    MIN_RATE,
    MIN_SHARING_ENTRIES,
    RAMP_S,
    UpstreamLimits,
)

from ._make import Clock, make_record

WINDOW_S = 4.0
TICK_S = 0.01
RATES = [0.0, 0.1, 0.5, 1.0, 1.3, 5.0, 50.0]
RECORD = make_record("i-1", started_ms=5)


def make_head(limit=None, *, is_signed=True, is_malformed=False):
    """Return the head of an answer that names a limit, or none."""
    return UpstreamHead("r1", False, False, is_signed, False, limit, is_malformed)


def allowed(rate):
    """Return the requests that are accepted within 4 s."""
    return 1.5 * WINDOW_S * rate + 5


def most_in_window(times):
    """Return the most times within 4 s."""
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times),
        default=0,
    )


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


def make_limits(clock, instance="edge-1", entries=("edge-1",)):
    """Return the limits of one of several entries."""
    limits = UpstreamLimits(instance, clock=clock)

    def share_of(upstream, most):
        sharing = rendezvous(upstream, entries, count=most)
        return 1 / len(sharing) if instance in sharing else 0.0

    limits.share_of = share_of
    return limits


def send_all(entries, clock, seconds):
    """Send whatever the entries admit; return the times."""
    times = []
    until = clock.now + seconds
    while clock.now < until:
        clock.now += TICK_S
        for limits in entries:
            while limits.has_room(RECORD):
                limits.reserve(RECORD)
                times.append(clock.now)
    return times


class TestRate:
    """Requests that entries send to a limited upstream."""

    # Guards against a limit that is kept on average, but not in every window.
    @given(
        rate=st.sampled_from(RATES),
        gaps=st.lists(st.floats(0.0, 10.0), max_size=60),
    )
    def test_any_window(self, rate, gaps):
        """Any pattern of requests keeps the limit in any 4 s."""
        clock = Clock()
        limits = make_limits(clock)
        limits.on_head(RECORD, make_head(rate))
        times = []
        for gap in gaps:
            clock.now += gap
            while limits.has_room(RECORD):
                limits.reserve(RECORD)
                times.append(clock.now)
        assert most_in_window(times) <= allowed(rate)

    # Guards against entries that each take the whole limit.
    @pytest.mark.parametrize("rate", RATES)
    @pytest.mark.parametrize("count", [1, 2, 4, 8, 29])
    def test_entries(self, clock, rate, count):
        """Entries keep the limit together, and use at least half of it."""
        names = [f"edge-{number}" for number in range(count)]
        entries = [make_limits(clock, name, names) for name in names]
        for limits in entries:
            limits.on_head(RECORD, make_head(rate))
        times = send_all(entries, clock, 60.0)
        assert most_in_window(times) <= allowed(rate)
        assert len(times) >= 0.5 * rate * 60.0

    def test_zero(self, clock):
        """An upstream that takes nothing still gets a request now and then."""
        limits = make_limits(clock)
        limits.on_head(RECORD, make_head(0.0))
        times = send_all([limits], clock, 100.0)
        assert len(times) == pytest.approx(MIN_RATE * 100.0, abs=1)

    # Guards against a jump when the upstream has just recovered.
    @pytest.mark.parametrize("later", [None, 50.0])
    def test_recovery(self, clock, later):
        """The rate rises slowly after the limit has ended or risen."""
        limits = make_limits(clock)
        limits.on_head(RECORD, make_head(2.0))
        send_all([limits], clock, 10.0)
        limits.on_head(RECORD, make_head(later))
        assert len(send_all([limits], clock, DOUBLING_S)) <= 2 * 2.0 + 1
        clock.now += RAMP_S
        assert (limits.in_force(RECORD) is None) == (later is None)

    def test_lowered(self, clock):
        """A lower limit is in force at once."""
        limits = make_limits(clock)
        limits.on_head(RECORD, make_head(50.0))
        send_all([limits], clock, 10.0)
        limits.on_head(RECORD, make_head(1.0))
        assert len(send_all([limits], clock, WINDOW_S)) <= WINDOW_S + 1

    def test_refund(self, clock):
        """A request that was not sent can be sent elsewhere, but never two for one."""
        limits = make_limits(clock)
        limits.on_head(RECORD, make_head(1.0))
        clock.now += 2.0
        limits.reserve(RECORD)
        assert not limits.has_room(RECORD)
        for _ in range(3):
            limits.refund(RECORD)
        limits.reserve(RECORD)
        assert not limits.has_room(RECORD)

    def test_recheck(self, clock):
        """The time of the next token is told, within bounds."""
        limits = make_limits(clock)
        assert limits.recheck_s([RECORD]) is None
        limits.on_head(RECORD, make_head(4.0))
        assert limits.recheck_s([RECORD]) == pytest.approx(0.25)
        limits.on_head(RECORD, make_head(0.1))
        assert limits.recheck_s([RECORD]) == MAX_WAIT_S


class TestLifetime:
    """The time for which a limit is in force."""

    @pytest.fixture
    def listed(self):
        """Return the upstreams that the registry lists."""
        return {"i-1": RECORD}

    @pytest.fixture
    def limits(self, clock, listed):
        """Return limits of which one was named."""
        limits = make_limits(clock)
        limits.find = listed.get
        limits.on_head(RECORD, make_head(1.0))
        limits.drop_removed()
        return limits

    # Guards against a burst at an upstream in need that has started again, until its
    # first answer names the limit.
    def test_restarted(self, limits, listed):
        """A restart leaves the limit until the first answer without one."""
        listed["i-1"] = RECORD._replace(started_ms=6)
        limits.drop_removed()
        assert limits.in_force(listed["i-1"]).named.per_second == 1.0
        limits.on_head(listed["i-1"], make_head())
        assert math.isinf(limits.in_force(listed["i-1"]).named.per_second)

    def test_left(self, limits, listed):
        """An upstream that leaves ends its limit."""
        del listed["i-1"]
        limits.drop_removed()
        assert not limits.limits

    def test_not_listed_yet(self, clock):
        """A limit of which another entry told first stays until it is listed."""
        limits = make_limits(clock)
        limits.on_head(RECORD, make_head(1.0))
        limits.drop_removed()
        assert limits.in_force(RECORD) is not None

    def test_malformed(self, limits):
        """A malformed limit changes nothing."""
        for _ in range(2):
            limits.on_head(RECORD, make_head(is_malformed=True))
        assert limits.in_force(RECORD).named.per_second == 1.0

    # Guards against a spoilt answer that ends a limit.
    def test_unsigned(self, limits):
        """An unsigned answer without a limit does not end it."""
        limits.on_head(RECORD, make_head(is_signed=False))
        assert limits.in_force(RECORD).named.per_second == 1.0

    def test_repeated(self, limits):
        """The same limit in further answers is no change."""
        limits.on_head(RECORD, make_head(1.0))
        assert limits.changes == 1


class TestSharing:
    """Limits that entries tell each other."""

    @pytest.fixture
    def entries(self, clock):
        """Return two entries."""
        return [make_limits(clock, name) for name in ("edge-1", "edge-2")]

    @staticmethod
    def tell(one, other):
        """Tell one entry all that the other knows."""
        other.merge(one.report().limits, one.instance)

    def test_named_and_ended(self, entries, clock):
        """A limit and its end reach the other entry."""
        one, other = entries
        one.on_head(RECORD, make_head(1.0))
        self.tell(one, other)
        assert other.in_force(RECORD).named.per_second == 1.0
        other.on_head(RECORD, make_head())
        self.tell(other, one)
        assert math.isinf(one.in_force(RECORD).named.per_second)

    # Guards against an entry that hears of a limit only after its end, and fails.
    def test_ended_before(self, entries):
        """The end of a limit that an entry did not know limits nothing."""
        one, other = entries
        one.on_head(RECORD, make_head(1.0))
        one.on_head(RECORD, make_head())
        self.tell(one, other)
        assert other.in_force(RECORD) is None
        assert other.has_room(RECORD)

    # Guards against messages that arrive twice or out of order.
    def test_outdated(self, entries):
        """An earlier limit does not replace a later one."""
        one, other = entries
        one.on_head(RECORD, make_head(5.0))
        earlier = one.report().limits
        one.on_head(RECORD, make_head(1.0))
        self.tell(one, other)
        other.merge(earlier, "edge-1")
        assert other.in_force(RECORD).named.per_second == 1.0

    def test_at_once(self, entries):
        """Of two limits that entries saw at once, both keep the lower."""
        for limits, rate in zip(entries, (1.0, 5.0), strict=True):
            limits.on_head(RECORD, make_head(rate))
        for one, other in itertools.permutations(entries):
            self.tell(one, other)
        assert [e.in_force(RECORD).named.per_second for e in entries] == [1.0, 1.0]

    def test_changes_only(self, entries):
        """A report has only what changed since the one before."""
        one, _ = entries
        one.on_head(RECORD, make_head(1.0))
        change = one.report().change
        assert not one.report(change).limits
        one.on_head(RECORD, make_head(2.0))
        assert len(one.report(change).limits) == 1

    def test_urgent(self, entries):
        """Others are told at once of what this entry saw itself."""
        one, _ = entries
        told = []
        one.on_change = lambda: told.append(1)
        one.on_head(RECORD, make_head(1.0))
        assert told

    def test_burst(self):
        """No more entries divide a limit than may send one request at once."""
        for rate in RATES:
            sharing = MIN_SHARING_ENTRIES + int(rate)
            assert sharing + WINDOW_S * rate <= allowed(rate)
