"""Tests of the retry budget that all entries share."""

import pytest

from skylarkdoor.wire import pb
from skylarkdoord._retry_limiter import (
    BURST_SHARE,
    USABLE_BUDGET_SHARE,
    RetryBudget,
    RetryLimiter,
)
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._members import SILENT_RETENTION_S, Members
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._settings import QuotaBounds
from skylarkdoord.direct.evidence import Crashes

from ._make import SERVICE, Clock

BUDGET = RetryBudget(ratio=0.2, slack=52.0, window_s=10.0)
ENTRIES = ("a", "b", "c", "d")
PARTITION_S = 5.0
BURST = USABLE_BUDGET_SHARE * BURST_SHARE


def make_members(instance):
    """Return the members as known to one entry, which has heard of none."""
    return Members(instance, Fleet(None), Quota(QuotaBounds()), Crashes())


def make_limiter(clock, members=None, *, idle_s=0.0):
    """Return the limiter of an entry that got no requests since its start."""
    entries = members.sharing_count if members else lambda: 1
    limiter = RetryLimiter(BUDGET, sharing_entries=entries, clock=clock)
    limiter.earned_since -= idle_s
    return limiter


def count_requests(limiter, count):
    """Count requests."""
    for _ in range(count):
        limiter.count_request(SERVICE)


def spend_all(limiter):
    """Send retries until one is refused; return their number."""
    spent = 0
    while (retry := limiter.approve(SERVICE)) is not None:
        spent += retry.send()
    return spent


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


class TestRetryLimiter:
    """`RetryLimiter`."""

    def test_requests(self, clock):
        """Requests earn retries in proportion, up to those of one window's burst."""
        limiter = make_limiter(clock)
        spend_all(limiter)
        count_requests(limiter, 105)
        earned = USABLE_BUDGET_SHARE * (1 - BURST_SHARE) * 0.2 * 105
        assert spend_all(limiter) == int(earned)

    def test_capacity(self, clock):
        """A bucket holds no more than the burst of a window with its requests."""
        limiter = make_limiter(clock)
        for _ in range(10):
            clock.now += BUDGET.window_s / 10
            count_requests(limiter, 10)
        clock.now += BUDGET.window_s / 10
        assert spend_all(limiter) <= BURST * (0.2 * 100 + 52)
        assert spend_all(limiter) == 0

    def test_idle(self, clock):
        """An entry without requests may use the burst of the slack, and no more."""
        limiter = make_limiter(clock, idle_s=100 * BUDGET.window_s)
        assert spend_all(limiter) == int(BURST * 52)

    # Guards against a restart that makes the slack available a second time.
    def test_restart(self, clock):
        """An entry that starts anew has earned no retries."""
        spend_all(make_limiter(clock, idle_s=BUDGET.window_s))
        assert spend_all(make_limiter(clock)) == 0

    def test_first_start(self, clock):
        """An entry of a new deployment may use the burst of its part of the slack."""
        limiter = RetryLimiter(BUDGET, is_first_start=True, clock=clock)
        assert spend_all(limiter) == int(BURST * 52)

    def test_services(self, clock):
        """Requests for a service earn no retries of another one."""
        limiter = make_limiter(clock)
        for _ in range(100):
            limiter.count_request("other")
        assert spend_all(limiter) == 0


class TestRetry:
    """`Retry`."""

    @pytest.fixture
    def limiter(self, clock):
        """Return a limiter that allows several retries."""
        limiter = make_limiter(clock)
        count_requests(limiter, 100)
        return limiter

    # Guards against retries of two windows that arrive within one.
    def test_waiting(self, clock, limiter):
        """Waiting retries and further ones together stay within the capacity."""
        waiting = []
        for _ in range(4):
            while (retry := limiter.approve(SERVICE)) is not None:
                waiting.append(retry)
            clock.now += BUDGET.window_s
        capacity = limiter.bucket(SERVICE).capacity(BUDGET, BUDGET.slack, clock.now)
        sent = sum(retry.send() for retry in waiting) + spend_all(limiter)
        assert sent <= capacity

    def test_given_back(self, limiter):
        """A retry that is never sent is left to others."""
        first = limiter.approve(SERVICE)
        others = spend_all(limiter)
        first.end()
        assert spend_all(limiter) == 1
        assert others > 1

    def test_unreached(self, limiter):
        """An attempt that reached no upstream takes no token."""
        retry = limiter.approve(SERVICE)
        tokens = limiter.bucket(SERVICE).tokens
        assert retry.send()
        retry.take_back()
        assert limiter.bucket(SERVICE).tokens == tokens
        assert retry.is_waiting
        assert retry.send()
        assert limiter.bucket(SERVICE).counts.sent == 1


class TestPartition:
    """Entries that do not hear of each other."""

    # Guards against entries that each take the whole slack because others are silent.
    def test_slack(self, clock):
        """Entries that were cut off from each other still share the slack."""
        spent = 0
        for name in ENTRIES:
            members = make_members(name)
            for other in ENTRIES:
                if other != name:
                    members.receive(pb.EntryNews(instance=other, incarnation=1))
            for member in members.by_name.values():
                member.last_update_at -= PARTITION_S
                member.has_closed_stream = True
            spent += spend_all(make_limiter(clock, members, idle_s=BUDGET.window_s))
        assert 0 < spent <= BUDGET.slack

    # Guards against an entry that starts while it is cut off and assumes it is alone.
    def test_start(self, clock):
        """An entry that has reached none of the listed entries shares with them."""
        spent = 0
        for name in ENTRIES:
            members = make_members(name)
            members.listed = len(ENTRIES) - 1
            spent += spend_all(make_limiter(clock, members, idle_s=BUDGET.window_s))
        assert 0 < spent <= BUDGET.slack

    def test_gone(self):
        """Entries that have been silent for long do not share any more."""
        members = make_members("a")
        members.receive(pb.EntryNews(instance="b", incarnation=1))
        assert members.sharing_count() == 2
        members.by_name["b"].last_update_at = members.clock() - SILENT_RETENTION_S
        assert members.sharing_count() == 1
