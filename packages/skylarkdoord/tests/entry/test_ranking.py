"""Tests of the estimated finish times and of the detection of stragglers."""

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
    """Tests of the estimated wait and service times."""

    def test_speed(self, make_peer):
        """The service time is prefill plus decoding at the reported speeds."""
        found = estimates([make_peer("a", room=1, **FAST)])
        assert found["a"].finish_s == pytest.approx(0.25 + 1.0)

    def test_cached_prefix(self, make_peer):
        """The prefill time of cached tokens is saved."""
        found = estimates([make_peer("a", room=1, **SLOW)], hits={"a": 640})
        assert found["a"].saved_prefill_s == pytest.approx(0.64)
        assert found["a"].service_s == pytest.approx(0.36 + 4.0)

    def test_queue_of_own_tier_and_higher(self, make_peer):
        """Offers of lower tiers do not add to the wait."""
        load = {"waiting_by_tier": [1, 2, 50], "drain_per_second": 2.0, **FAST}
        found = estimates([make_peer("a", **load)], tier=1)
        assert found["a"].wait_s == pytest.approx(2.0)

    def test_unreported_offers_use_slots(self, make_peer):
        """Offers sent since the last load report occupy the free slots."""
        peer = make_peer("a", room=1, drain_per_second=1.0, **FAST)
        peer.unreported_offers = 1
        assert estimates([peer])["a"].wait_s == pytest.approx(2.0)


class TestStragglers:
    """Tests of `stragglers`."""

    def test_single_slow_sidecar(self, make_peer):
        """A sidecar four times slower than its average is a straggler."""
        peers = [make_peer(name, slowdown=1.0) for name in "abc"]
        peers.append(make_peer("d", slowdown=4.0))
        assert stragglers(peers, min_share=0.5) == {"d"}

    def test_slow_pool(self, make_peer):
        """A slowdown of the whole pool makes no sidecar a straggler."""
        peers = [make_peer(name, slowdown=4.0) for name in "abcd"]
        assert stragglers(peers, min_share=0.5) == set()

    def test_min_share(self, make_peer):
        """Only the slowest count as stragglers when `min_share` limits their number."""
        peers = [make_peer(name, slowdown=1.0) for name in "abc"]
        peers += [make_peer("d", slowdown=9.0), make_peer("e", slowdown=4.0)]
        assert stragglers(peers, min_share=0.7) == {"d"}
        assert stragglers(peers, min_share=1.0) == set()
