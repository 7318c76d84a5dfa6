"""Tests of the load-balancing policies."""

import pytest

from skylarkdoor.hashing import sampled_prefix_hashes
from skylarkdoord.entry._policies import FANOUT_DELAY_S, policies

SPEED = {
    "prefill_tokens_per_second": 1000,
    "decode_tokens_per_second": 50,
    "length_share": 1.0,
}


def names(choice):
    """Return the instances in the order of the ranking."""
    return [peer.instance for peer in choice.ranked]


class TestEveryPolicy:
    """Tests that every policy must pass."""

    @pytest.mark.parametrize("name", sorted(policies()))
    def test_ranks_all(self, name, make_request, make_peer):
        """A policy ranks every sidecar exactly once, and accepts an empty pool."""
        policy = policies()[name]
        peers = [make_peer(instance, **SPEED) for instance in "abcd"]
        assert sorted(names(policy.choose(make_request(), peers))) == list("abcd")
        assert policy.choose(make_request(), []).ranked == []


class TestLateBinding:
    """Tests of `LateBinding`."""

    def test_earliest_finish_first(self, make_request, make_peer):
        """A sidecar with a free slot ranks before one with a queue."""
        policy = policies()["late-binding"]
        peers = [
            make_peer("full", drain_per_second=1.0, waiting_by_tier=[5], **SPEED),
            make_peer("free", room=3, **SPEED),
        ]
        choice = policy.choose(make_request(), peers)
        assert names(choice) == ["free", "full"]
        assert choice.fanout_delay_s == pytest.approx(FANOUT_DELAY_S)

    def test_straggler_is_rarely_first(self, make_request, make_peer):
        """A straggler ranks first with a probability of about 1 / slowdown."""
        policy = policies()["late-binding"]
        peers = [make_peer(name, **SPEED) for name in "abc"]
        peers.append(make_peer("slow", room=9, slowdown=4.0, **SPEED))
        request = make_request()
        request.max_tokens = 100
        firsts = [policy.choose(request, peers).ranked[0] for _ in range(400)]
        times = sum(peer.instance == "slow" for peer in firsts)
        assert 40 < times < 160

    def test_no_fanout_delay_without_free_slot(self, make_request, make_peer):
        """If the best sidecar has no free slot, several get the offer at once."""
        policy = policies()["late-binding"]
        peers = [make_peer(name, drain_per_second=1.0, **SPEED) for name in "abc"]
        assert policy.choose(make_request(), peers).fanout_delay_s == 0.0


class TestLeastFinish:
    """Tests of `LeastFinish`."""

    def test_unreported_offers_count(self, make_request, make_peer):
        """Offers sent since the last load report count as waiting."""
        policy = policies()["least-finish"]
        peers = [make_peer(name, room=1, **SPEED) for name in "ab"]
        peers[0].unreported_offers = 5
        choice = policy.choose(make_request(), peers)
        assert (names(choice), choice.offers) == (["b", "a"], 1)

    def test_best_cached_is_candidate(self, make_request, make_peer):
        """The sidecar with the largest cached prefix is always a candidate."""
        policy = policies()["least-finish"]
        request = make_request()
        request.prompt_tokens, request.prefix_hashes = 700, tuple(range(10))
        peers = [make_peer(name, room=1, **SPEED) for name in "abcdefgh"]
        peers[7].cached_prefixes.note(
            request.model, sampled_prefix_hashes(request.prefix_hashes)
        )
        for _ in range(20):
            assert names(policy.choose(request, peers))[0] == "h"


class TestLeastConnections:
    """Tests of `LeastConnections`."""

    def test_counts_are_stale(self, make_request, make_peer):
        """A new load report does not change the ranking immediately."""
        policy = policies()["least-connections"]
        peers = [make_peer("a", running=1), make_peer("b", running=2)]
        assert names(policy.choose(make_request(), peers)) == ["a", "b"]
        peers[0].load.running = 9
        assert names(policy.choose(make_request(), peers)) == ["a", "b"]


class TestRoundRobin:
    """Tests of `RoundRobin`."""

    def test_turns(self, make_request, make_peer):
        """Each call starts the ranking at the next sidecar."""
        policy = policies()["round-robin"]
        peers = [make_peer(name) for name in "abc"]
        firsts = [names(policy.choose(make_request(), peers))[0] for _ in range(4)]
        assert firsts == ["a", "b", "c", "a"]
