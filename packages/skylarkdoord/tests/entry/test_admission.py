"""Customers' limits, bounds on what waits, the retry budget."""

from contextlib import ExitStack

import pytest

from skylarkdoord.entry._admission import (
    MOST_SAVED_RETRIES,
    CustomerLimits,
    RetryBudget,
    TokenBucket,
    WaitingRoom,
)
from skylarkdoord.exceptions import RefusedError


class TestTokenBucket:
    """A rate with a burst."""

    def test_burst_then_wait(self):
        """After the burst, the wait is told."""
        bucket = TokenBucket()
        for _ in range(20):
            assert bucket.wait_s(10, 0.0) == 0.0
            bucket.take(1)
        assert bucket.wait_s(10, 0.0) == pytest.approx(0.1)
        assert bucket.wait_s(10, 0.2) == 0.0

    def test_debt(self):
        """A large take is let through and paid for afterwards."""
        bucket = TokenBucket()
        assert bucket.wait_s(10, 0.0) == 0.0
        bucket.take(120)
        assert bucket.wait_s(10, 5.0) == pytest.approx(5.1)


class TestCustomerLimits:
    """Limits of one customer."""

    def test_concurrency(self, make_request):
        """One more than the limit is refused, until one has ended."""
        limits = CustomerLimits()
        with limits.admit(make_request(max_concurrent=1)):
            with pytest.raises(RefusedError) as caught:
                with limits.admit(make_request(max_concurrent=1)):
                    pass
        assert caught.value.code == "concurrency_limited"
        assert caught.value.retry_after_s > 0
        with limits.admit(make_request(max_concurrent=1)):
            pass

    def test_request_rate(self, make_request):
        """The rate is refused beyond its burst."""
        limits = CustomerLimits()
        for _ in range(2):
            with limits.admit(make_request(requests_per_s=1.0)):
                pass
        with pytest.raises(RefusedError, match="requests_limited"):
            with limits.admit(make_request(requests_per_s=1.0)):
                pass

    def test_token_rate(self, make_request):
        """Prompt and answer count."""
        limits = CustomerLimits()
        first = make_request(tokens_per_s=10.0)
        first.prompt_tokens, first.max_tokens = 90, 10
        with limits.admit(first):
            pass
        with pytest.raises(RefusedError, match="tokens_limited"):
            with limits.admit(make_request(tokens_per_s=10.0)):
                pass

    def test_no_limits(self, make_request):
        """Zero stands for no limit."""
        limits = CustomerLimits()
        with ExitStack() as stack:
            for _ in range(500):
                stack.enter_context(limits.admit(make_request()))


class TestWaitingRoom:
    """Bounds on what waits."""

    def test_lowest_newest_is_shed(self, make_request):
        """The lowest tier's newest makes room for a higher tier."""
        room = WaitingRoom(max_count=3, max_bytes=1000)
        shed = []
        with ExitStack() as stack:
            for name, tier in (("mid", 1), ("old", 2), ("new", 2)):
                request = make_request(tier=tier)
                stack.enter_context(
                    room.join(request, lambda name=name: shed.append(name))
                )
            stack.enter_context(room.join(make_request(tier=0), lambda: None))
            assert shed == ["new"]
            assert room.count == 3
        assert (room.count, room.bytes) == (0, 0)

    def test_never_a_higher_or_equal(self, make_request):
        """A request that nothing lower makes room for is refused."""
        room = WaitingRoom(max_count=1, max_bytes=1000)
        with room.join(make_request(tier=1), lambda: pytest.fail("was shed")):
            for tier in (1, 2):
                with pytest.raises(RefusedError, match="overloaded"):
                    with room.join(make_request(tier=tier), lambda: None):
                        pass

    def test_bytes(self, make_request):
        """Bodies count by their size."""
        room = WaitingRoom(max_count=100, max_bytes=10)
        shed = []
        with room.join(make_request(tier=3, body=b"12345678"), lambda: shed.append(3)):
            with room.join(make_request(tier=0, body=b"1234"), lambda: None):
                assert shed == [3]
                assert room.bytes == 4


class TestRetryBudget:
    """Retries in proportion to requests."""

    def test_storm(self):
        """Once the savings are spent, five requests allow one retry."""
        budget = RetryBudget()
        spent = 0
        for _ in range(1000):
            budget.deposit()
            spent += budget.spend()
        assert spent <= MOST_SAVED_RETRIES + 1000 / 5 + 1
