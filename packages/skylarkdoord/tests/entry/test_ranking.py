"""Estimates of finish, and stragglers."""

import pytest

from skylarkdoord.entry._ranking import Work, estimate_all, stragglers

FAST = {
    "prefill_tokens_per_second": 4000,
    "decode_tokens_per_second": 100,
    "length_share": 1.0,
}
SLOW = {
    "prefill_tokens_per_second": 1000,
    "decode_tokens_per_second": 25,
    "length_share": 1.0,
}


def estimates(peers, *, hits=None, tier=1):
    """Return the estimates for one request by instance."""
    work = Work(tier=tier, prompt_tokens=1000, max_tokens=100)
    found = estimate_all(work, peers, hits=hits or {}, min_share=0.5)
    return {one.peer.instance: one for one in found}


class TestEstimateAll:
    """Waits and times of service."""

    def test_speed(self, make_peer):
        """Service is prefill and decoding at the reported speeds."""
        found = estimates([make_peer("a", room=1, **FAST)])
        assert found["a"].finish_s == pytest.approx(0.25 + 1.0)

    def test_hit(self, make_peer):
        """What is cached is not computed."""
        found = estimates([make_peer("a", room=1, **SLOW)], hits={"a": 640})
        assert found["a"].hit_s == pytest.approx(0.64)
        assert found["a"].service_s == pytest.approx(0.36 + 4.0)

    def test_queue_of_own_tier_and_higher(self, make_peer):
        """Lower tiers' work is no wait."""
        load = {"waiting_by_tier": [1, 2, 50], "drain_per_second": 2.0, **FAST}
        found = estimates([make_peer("a", **load)], tier=1)
        assert found["a"].wait_s == pytest.approx(2.0)

    def test_charged(self, make_peer):
        """What was sent since the last report takes the room."""
        peer = make_peer("a", room=1, drain_per_second=1.0, **FAST)
        peer.charged = 1
        assert estimates([peer])["a"].wait_s == pytest.approx(2.0)


class TestStragglers:
    """Sidecars that are slow by themselves."""

    def test_one_slow(self, make_peer):
        """One that is four times slower than usual is found."""
        peers = [make_peer(name, slowdown=1.0) for name in "abc"]
        peers.append(make_peer("d", slowdown=4.0))
        assert stragglers(peers, min_share=0.5) == {"d"}

    def test_all_slow(self, make_peer):
        """A pool that is slow as a whole has none."""
        peers = [make_peer(name, slowdown=4.0) for name in "abcd"]
        assert stragglers(peers, min_share=0.5) == set()

    def test_min_share(self, make_peer):
        """Never more than the rest of the pool's share."""
        peers = [make_peer(name, slowdown=1.0) for name in "abc"]
        peers += [make_peer("d", slowdown=9.0), make_peer("e", slowdown=4.0)]
        assert stragglers(peers, min_share=0.7) == {"d"}
        assert stragglers(peers, min_share=1.0) == set()
