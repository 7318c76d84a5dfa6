"""Tests of the retry budget that all entries share."""

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._members import SILENT_RETENTION_S, Members
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._retry_limiter import USABLE_BUDGET_SHARE, RetryLimiter
from skylarkdoord.direct._settings import QuotaBounds, RetryBudget
from skylarkdoord.direct.evidence import Crashes

from ._make import SERVICE, Clock

BUDGET = RetryBudget(ratio=0.2, slack=52.0, window_s=10.0)
ENTRIES = ("a", "b", "c", "d")
PARTITION_S = 5.0


def make_members(instance):
    """Return the members as known to one entry, which has heard of none."""
    return Members(instance, Fleet(None), Quota(QuotaBounds()), Crashes())


def make_limiter(clock, members=None, **options):
    """Return the limiter of an entry that started with the deployment."""
    entries = members.sharing_count if members else lambda: 1
    options = {"is_first_start": True, **options}
    return RetryLimiter(BUDGET, sharing_entries=entries, clock=clock, **options)


def spend_all(limiter):
    """Spend retries until one is refused; return their number."""
    spent = 0
    while limiter.approve(SERVICE):
        spent += 1
    return spent


@pytest.fixture
def clock():
    """Return a clock that the test sets."""
    return Clock()


class TestRetryLimiter:
    """`RetryLimiter`."""

    def test_budget(self, clock):
        """Retries are allowed in proportion to requests, and the slack in addition."""
        limiter = make_limiter(clock)
        for _ in range(100):
            limiter.count_request(SERVICE)
        assert spend_all(limiter) == int(USABLE_BUDGET_SHARE * (0.2 * 100 + 52))

    def test_window(self, clock):
        """Requests and retries count for the length of the window."""
        limiter = make_limiter(clock)
        spend_all(limiter)
        clock.now += BUDGET.window_s + 0.1
        assert spend_all(limiter) == int(USABLE_BUDGET_SHARE * 52)

    # Guards against a restart that makes the slack available a second time.
    def test_restart(self, clock):
        """An entry that starts anew uses no slack until a window has passed."""
        spent = spend_all(make_limiter(clock))
        restarted = make_limiter(clock, is_first_start=False)
        clock.now += BUDGET.window_s / 2
        assert spent + spend_all(restarted) <= BUDGET.slack
        clock.now += BUDGET.window_s
        assert spend_all(restarted) == spent


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
            spent += spend_all(make_limiter(clock, members))
        assert spent <= BUDGET.slack

    # Guards against an entry that starts while it is cut off and assumes it is alone.
    def test_start(self, clock):
        """An entry that has reached none of the listed entries shares with them."""
        spent = 0
        for name in ENTRIES:
            members = make_members(name)
            members.listed = len(ENTRIES) - 1
            spent += spend_all(make_limiter(clock, members))
        assert spent <= BUDGET.slack

    def test_gone(self):
        """Entries that have been silent for long do not share any more."""
        members = make_members("a")
        members.receive(pb.EntryNews(instance="b", incarnation=1))
        assert members.sharing_count() == 2
        members.by_name["b"].last_update_at = members.clock() - SILENT_RETENTION_S
        assert members.sharing_count() == 1
