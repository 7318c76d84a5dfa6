"""Tests of the retries of one request."""

from types import SimpleNamespace

import pytest

from skylarkdoord._retry_limiter import RetryBudget, RetryLimiter
from skylarkdoord.direct._metrics import RETRIES_WAITING
from skylarkdoord.direct._request_retries import RequestRetries

from ._make import SERVICE, Clock, make_admitted

SLOT = SimpleNamespace(upstream=SimpleNamespace(instance="i-1"), waited_s=0.0)


@pytest.fixture
def limiter():
    """Return a limiter that allows several retries, and no more."""
    budget = RetryBudget(ratio=0.2, slack=10.0, window_s=10.0)
    return RetryLimiter(budget, is_first_start=True, clock=Clock())


@pytest.fixture
def retries(limiter):
    """Return the retries of a request."""
    return RequestRetries(limiter, make_admitted())


def waiting():
    """Return the number of waiting retries that the metrics show."""
    return RETRIES_WAITING.labels(SERVICE)._value.get()


class TestRequestRetries:
    """`RequestRetries`."""

    def test_first_attempt(self, retries, limiter):
        """The first attempt is no retry."""
        assert retries.send(SLOT)
        assert limiter.bucket(SERVICE).counts.sent == 0

    # Guards against retries that count when they are approved, and arrive later.
    def test_counted_when_sent(self, retries, limiter):
        """A retry takes its token when it is sent."""
        before = limiter.bucket(SERVICE).tokens
        assert retries.approve(reached=True)
        held = limiter.bucket(SERVICE).tokens
        assert held >= before
        assert retries.send(SLOT)
        assert limiter.bucket(SERVICE).tokens == held - 1

    def test_never_sent(self, retries, limiter):
        """A retry whose caller leaves while it waits takes no token."""
        was_waiting = waiting()
        retries.approve(reached=True)
        assert waiting() == was_waiting + 1
        retries.end()
        assert waiting() == was_waiting
        assert limiter.bucket(SERVICE).counts.waiting == 0

    def test_unreached_first_attempt(self, retries, limiter):
        """An attempt after one that reached no upstream is no retry."""
        assert retries.approve(reached=False)
        assert retries.send(SLOT)
        assert limiter.bucket(SERVICE).counts.sent == 0

    def test_unreached_retry(self, retries, limiter):
        """A retry that reached no upstream is sent again for the same token."""
        retries.approve(reached=True)
        assert retries.send(SLOT)
        assert retries.approve(reached=False)
        assert retries.send(SLOT)
        assert limiter.bucket(SERVICE).counts.sent == 1

    def test_budget_gone(self, retries, limiter):
        """A retry is not sent if the budget fell while it waited."""
        assert retries.approve(reached=True)
        limiter.bucket(SERVICE).tokens = 0.0
        assert not retries.send(SLOT)

    def test_refused(self, retries, limiter):
        """No retry is allowed once the budget is used up."""
        while limiter.approve(SERVICE) is not None:
            pass
        assert not retries.approve(reached=True)
