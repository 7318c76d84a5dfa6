"""Tests of customers' limits, the waiting queue and the retry budget."""

from contextlib import ExitStack

import pytest

from skylarkdoord._retry_limiter import RetryLimiter
from skylarkdoord.entry._admission import (
    RETRY_BUDGET,
    CustomerLimits,
    TokenBucket,
    WaitingQueue,
)
from skylarkdoord.exceptions import RefusedError


class TestTokenBucket:
    """Tests of `TokenBucket`."""

    def test_burst_then_wait(self):
        """After the burst, the bucket returns the time until the next token."""
        bucket = TokenBucket()
        for _ in range(20):
            assert bucket.wait_s(10, 0.0) == 0.0
            bucket.take(1)
        assert bucket.wait_s(10, 0.0) == pytest.approx(0.1)
        assert bucket.wait_s(10, 0.2) == 0.0

    def test_debt(self):
        """A request larger than the bucket is admitted and delays later ones."""
        bucket = TokenBucket()
        assert bucket.wait_s(10, 0.0) == 0.0
        bucket.take(120)
        assert bucket.wait_s(10, 5.0) == pytest.approx(5.1)


class TestCustomerLimits:
    """Tests of the limits of one customer."""

    def test_concurrency(self, make_request):
        """A request beyond the limit is refused until another one has ended."""
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
        """Requests beyond the burst are refused."""
        limits = CustomerLimits()
        for _ in range(2):
            with limits.admit(make_request(requests_per_s=1.0)):
                pass
        with pytest.raises(RefusedError, match="requests_limited"):
            with limits.admit(make_request(requests_per_s=1.0)):
                pass

    def test_token_rate(self, make_request):
        """The tokens of the prompt and of the answer count."""
        limits = CustomerLimits()
        first = make_request(tokens_per_s=10.0)
        first.prompt_tokens, first.max_tokens = 90, 10
        with limits.admit(first):
            pass
        with pytest.raises(RefusedError, match="tokens_limited"):
            with limits.admit(make_request(tokens_per_s=10.0)):
                pass

    def test_no_limits(self, make_request):
        """Limits of zero, the default, are not enforced."""
        limits = CustomerLimits()
        with ExitStack() as stack:
            for _ in range(500):
                stack.enter_context(limits.admit(make_request()))


class TestWaitingRoom:
    """Tests of the bounds on waiting requests."""

    def test_newest_of_lowest_tier_is_shed(self, make_request):
        """The newest request of the lowest tier is shed for a higher tier's."""
        queue = WaitingQueue(max_count=3, max_bytes=1000)
        shed = []
        with ExitStack() as stack:
            for name, tier in (("mid", 1), ("old", 2), ("new", 2)):
                request = make_request(tier=tier)
                stack.enter_context(
                    queue.join(request, lambda name=name: shed.append(name))
                )
            stack.enter_context(queue.join(make_request(tier=0), lambda: None))
            assert shed == ["new"]
            assert queue.count == 3
        assert (queue.count, queue.bytes) == (0, 0)

    def test_higher_or_equal_tier_is_never_shed(self, make_request):
        """A request is refused if no request of a lower tier can be shed."""
        queue = WaitingQueue(max_count=1, max_bytes=1000)
        with queue.join(make_request(tier=1), lambda: pytest.fail("was shed")):
            for tier in (1, 2):
                with pytest.raises(RefusedError, match="overloaded"):
                    with queue.join(make_request(tier=tier), lambda: None):
                        pass

    def test_bytes(self, make_request):
        """Requests are shed when the size of the bodies exceeds its bound."""
        queue = WaitingQueue(max_count=100, max_bytes=10)
        shed = []
        with queue.join(make_request(tier=3, body=b"12345678"), lambda: shed.append(3)):
            with queue.join(make_request(tier=0, body=b"1234"), lambda: None):
                assert shed == [3]
                assert queue.bytes == 4


class TestRetryBudget:
    """The retry budget of all entries."""

    # Guards against entries that each take the budget of all.
    def test_retry_storm(self):
        """Five entries that retry whatever they may stay within the budget of all."""
        now = 1000.0
        limiters = [
            RetryLimiter(
                RETRY_BUDGET,
                sharing_entries=lambda: 5,
                is_first_start=True,
                clock=lambda: now,
            )
            for _ in range(5)
        ]
        sent = 0
        for _ in range(200):
            now += RETRY_BUDGET.window_s / 200
            for limiter in limiters:
                limiter.count_request("notes")
                retry = limiter.approve("notes")
                sent += retry is not None and retry.send()
        assert 0 < sent <= RETRY_BUDGET.ratio * 1000 + RETRY_BUDGET.slack
