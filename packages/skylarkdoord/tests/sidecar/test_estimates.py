"""Tests of `skylarkdoord.sidecar._estimates`."""

import random

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.sidecar._estimates import (
    DecodeEstimate,
    Estimates,
    PrefillEstimate,
    Reservation,
)


class TestPrefillEstimate:
    """Linear estimate of the time to first token."""

    def test_overhead(self):
        """A constant overhead per request doesn't affect the prefill speed."""
        estimate = PrefillEstimate()
        source = random.Random(1)
        for _ in range(200):
            tokens = source.randint(50, 5000)
            estimate.learn(tokens, 0.2 + tokens / 2000)
        assert 1 / estimate.token_s() == pytest.approx(2000, rel=0.05)
        assert estimate.overhead_s() == pytest.approx(0.2, rel=0.2)

    def test_outlier(self):
        """One extremely slow response doesn't double the estimate."""
        estimate = PrefillEstimate()
        for tokens in (100, 400, 1600, 800, 200) * 6:
            estimate.learn(tokens, tokens / 1000)
        before = estimate.token_s()
        estimate.learn(500, 60.0)
        assert estimate.token_s() < 2 * before

    def test_equal_lengths(self):
        """With prompts of equal length the estimate is the ratio of time to tokens."""
        estimate = PrefillEstimate()
        for _ in range(10):
            estimate.learn(100, 0.1)
        assert estimate.token_s() == pytest.approx(0.001)


class TestDecodeEstimate:
    """Time between tokens by batch size."""

    def test_batch_is_no_slowdown(self):
        """A larger batch is slower but isn't counted as a slowdown."""
        estimate = DecodeEstimate()
        for _ in range(50):
            estimate.learn([0.02], 2)
            estimate.learn([0.05], 16)
        assert estimate.slowdown == pytest.approx(1.0, abs=0.05)
        assert estimate.token_s(16) == pytest.approx(0.05, rel=0.1)
        assert estimate.token_s(2) == pytest.approx(0.02, rel=0.1)

    def test_slow_period(self):
        """Four times the typical time is a slowdown of four."""
        estimate = DecodeEstimate()
        for _ in range(50):
            estimate.learn([0.02], 4)
        for _ in range(30):
            estimate.learn([0.08], 4)
        assert estimate.slowdown == pytest.approx(4.0, rel=0.1)

    def test_stretched_gaps(self):
        """Gaps stretched by other prompts raise the time, not the slowdown."""
        estimate = DecodeEstimate()
        for _ in range(100):
            estimate.learn([0.02] * 9 + [0.22], 4)
        assert estimate.slowdown == pytest.approx(1.0, abs=0.01)
        assert estimate.token_s(4) == pytest.approx(0.04, rel=0.05)

    def test_slow_first_sample(self):
        """A slow first sample doesn't affect the slowdown for long."""
        estimate = DecodeEstimate()
        estimate.learn([0.2], 4)
        for _ in range(100):
            estimate.learn([0.02], 4)
        assert estimate.slowdown == pytest.approx(1.0, abs=0.3)


class TestEstimates:
    """`Estimates`."""

    def test_no_samples(self):
        """Without samples the service time is 0."""
        asked = pb.Offer(model="m", prompt_tokens=9000, max_tokens=900)
        assert Estimates().service_s(asked, 1) == 0.0

    def test_service(self):
        """Service time is uncached prefill plus decoding of the average length."""
        estimates = Estimates()
        for tokens in (100, 1000, 3000):
            estimates.of_prefill("m").learn(tokens, tokens / 1000)
        estimates.of_decode("m").learn([0.01], 1)
        estimates.learn_length("m", 0.5)
        asked = pb.Offer(model="m", prompt_tokens=1000, max_tokens=200)
        service_s = estimates.service_s(asked, 1, cached=500)
        assert service_s == pytest.approx(0.5 + 1.0, rel=0.01)

    def test_unstreamed_model_response(self):
        """A response that isn't streamed updates the decode estimate."""
        estimates = Estimates()
        asked = pb.Offer(model="m", max_tokens=100)
        estimates.learn_unstreamed(Reservation(asked, 0, 0.0), 2.0, 1)
        assert estimates.service_s(asked, 1) == pytest.approx(2.0)

    def test_service_response(self):
        """For a request without a model the total time is averaged."""
        estimates = Estimates()
        estimates.learn_unstreamed(Reservation(pb.Offer(), 0, 0.0), 0.2, 1)
        assert estimates.service_s(pb.Offer(), 1) == pytest.approx(0.2)

    def test_confidence_decays(self):
        """The confidence decays with the age of the newest sample."""
        estimates = Estimates()
        estimates.touch()
        assert estimates.confidence() == 1.0
        estimates.learned_at -= 60
        assert estimates.confidence() < 0.01
