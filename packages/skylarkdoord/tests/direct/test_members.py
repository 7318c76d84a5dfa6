"""Tests of `Members`: what an entry takes over from another at their first contact."""

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.direct._crashes import Crashes
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._settings import QuotaBounds

from ._make import make_admitted, make_customer, make_request

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
