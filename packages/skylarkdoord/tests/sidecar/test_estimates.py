"""Speeds learned from answers."""

import random

import pytest

from skylarkdoor.wire import pb
from skylarkdoord.sidecar._estimates import (
    DecodeEstimate,
    Estimates,
    PrefillEstimate,
)


class TestPrefillEstimate:
    """The line through measured first tokens."""

    def test_finds_speed_behind_overhead(self):
        """A fixed cost of each first token is not taken for a slow prefill."""
        estimate = PrefillEstimate()
        source = random.Random(1)
        for _ in range(200):
            tokens = source.randint(50, 5000)
            estimate.learn(tokens, 0.2 + tokens / 2000)
        assert 1 / estimate.token_s() == pytest.approx(2000, rel=0.05)
        assert estimate.overhead_s() == pytest.approx(0.2, rel=0.2)

    def test_outlier(self):
        """One frozen answer does not ruin the estimate."""
        estimate = PrefillEstimate()
        for tokens in (100, 400, 1600, 800, 200) * 6:
            estimate.learn(tokens, tokens / 1000)
        before = estimate.token_s()
        estimate.learn(500, 60.0)
        assert estimate.token_s() < 2 * before

    def test_equal_lengths(self):
        """Prompts of one length give the plain ratio."""
        estimate = PrefillEstimate()
        for _ in range(10):
            estimate.learn(100, 0.1)
        assert estimate.token_s() == pytest.approx(0.001)


class TestDecodeEstimate:
    """Times between tokens by the size of the batch."""

    def test_batch_is_no_slowdown(self):
        """A fuller batch is slower without being a slow spell."""
        estimate = DecodeEstimate()
        for _ in range(50):
            estimate.learn([0.02], 2)
            estimate.learn([0.05], 16)
        assert estimate.slowdown == pytest.approx(1.0, abs=0.05)
        assert estimate.token_s(16) == pytest.approx(0.05, rel=0.1)
        assert estimate.token_s(2) == pytest.approx(0.02, rel=0.1)

    def test_slow_spell(self):
        """Four times the usual time is a slowdown of four, at every size."""
        estimate = DecodeEstimate()
        for _ in range(50):
            estimate.learn([0.02], 4)
        for _ in range(30):
            estimate.learn([0.08], 4)
        assert estimate.slowdown == pytest.approx(4.0, rel=0.1)

    def test_stretched_gaps(self):
        """Other requests' prompts cost time and make no slow spell."""
        estimate = DecodeEstimate()
        for _ in range(100):
            estimate.learn([0.02] * 9 + [0.22], 4)
        assert estimate.slowdown == pytest.approx(1.0, abs=0.01)
        assert estimate.token_s(4) == pytest.approx(0.04, rel=0.05)

    def test_first_sample_is_not_the_norm(self):
        """A slow first sample is soon outweighed."""
        estimate = DecodeEstimate()
        estimate.learn([0.2], 4)
        for _ in range(100):
            estimate.learn([0.02], 4)
        assert estimate.slowdown == pytest.approx(1.0, abs=0.3)


class TestEstimates:
    """What is asked of all of it together."""

    def test_unknown_is_no_obstacle(self):
        """Before anything was measured, nothing is held to take time."""
        asked = pb.Offer(model="m", prompt_tokens=9000, max_tokens=900)
        assert Estimates().service_s(asked, 1) == 0.0

    def test_service(self):
        """Prefill of what is not cached and decoding of the usual length."""
        estimates = Estimates()
        for tokens in (100, 1000, 3000):
            estimates.of_prefill("m").learn(tokens, tokens / 1000)
        estimates.of_decode("m").learn([0.01], 1)
        estimates.learn_length("m", 0.5)
        asked = pb.Offer(model="m", prompt_tokens=1000, max_tokens=200)
        service_s = estimates.service_s(asked, 1, cached=500)
        assert service_s == pytest.approx(0.5 + 1.0, rel=0.01)

    def test_confidence_fades(self):
        """What was never measured or long ago does not count."""
        estimates = Estimates()
        estimates.touch()
        assert estimates.confidence() == 1.0
        estimates.learned_at -= 60
        assert estimates.confidence() < 0.01
