"""Choices of the policies."""

import pytest

from skylarkdoor.hashing import prefix_marks
from skylarkdoord.entry._policies import HEAD_START_S, policies

SPEED = {
    "prefill_tokens_per_second": 1000,
    "decode_tokens_per_second": 50,
    "length_share": 1.0,
}


def names(choice):
    """Return the ranking by instance."""
    return [peer.instance for peer in choice.ranked]


class TestEveryPolicy:
    """What all have in common."""

    @pytest.mark.parametrize("name", sorted(policies()))
    def test_ranks_all(self, name, make_request, make_peer):
        """Each ranks every sidecar once, and none where there is none."""
        policy = policies()[name]
        peers = [make_peer(instance, **SPEED) for instance in "abcd"]
        assert sorted(names(policy.choose(make_request(), peers))) == list("abcd")
        assert policy.choose(make_request(), []).ranked == []


class TestLateBinding:
    """Offers to several."""

    def test_earliest_finish_first(self, make_request, make_peer):
        """Room goes before a queue."""
        policy = policies()["late-binding"]
        peers = [
            make_peer("full", drain_per_second=1.0, waiting_by_tier=[5], **SPEED),
            make_peer("free", room=3, **SPEED),
        ]
        choice = policy.choose(make_request(), peers)
        assert names(choice) == ["free", "full"]
        assert choice.head_start_s == pytest.approx(HEAD_START_S)

    def test_straggler_gets_less(self, make_request, make_peer):
        """A straggler is passed over mostly, in proportion to its slowdown."""
        policy = policies()["late-binding"]
        peers = [make_peer(name, **SPEED) for name in "abc"]
        peers.append(make_peer("slow", room=9, slowdown=4.0, **SPEED))
        request = make_request()
        request.max_tokens = 100
        firsts = [policy.choose(request, peers).ranked[0] for _ in range(400)]
        times = sum(peer.instance == "slow" for peer in firsts)
        assert 40 < times < 160

    def test_no_head_start_in_a_queue(self, make_request, make_peer):
        """Where the best has no room, several get the offer at once."""
        policy = policies()["late-binding"]
        peers = [make_peer(name, drain_per_second=1.0, **SPEED) for name in "abc"]
        assert policy.choose(make_request(), peers).head_start_s == 0.0


class TestLeastFinish:
    """A push to the best of a few."""

    def test_charging(self, make_request, make_peer):
        """What was sent since the last report counts."""
        policy = policies()["least-finish"]
        peers = [make_peer(name, room=1, **SPEED) for name in "ab"]
        peers[0].charged = 5
        choice = policy.choose(make_request(), peers)
        assert (names(choice), choice.offers) == (["b", "a"], 1)

    def test_holder_is_a_choice(self, make_request, make_peer):
        """The holder of the prompt's beginning is always among the choices."""
        policy = policies()["least-finish"]
        request = make_request()
        request.prompt_tokens, request.prefix_hashes = 700, tuple(range(10))
        peers = [make_peer(name, room=1, **SPEED) for name in "abcdefgh"]
        peers[7].held.note(request.model, prefix_marks(request.prefix_hashes))
        for _ in range(20):
            assert names(policy.choose(request, peers))[0] == "h"


class TestLeastConnections:
    """A push to the fewest requests, by stale reports."""

    def test_stale(self, make_request, make_peer):
        """A new report is not seen at once."""
        policy = policies()["least-connections"]
        peers = [make_peer("a", running=1), make_peer("b", running=2)]
        assert names(policy.choose(make_request(), peers)) == ["a", "b"]
        peers[0].load.running = 9
        assert names(policy.choose(make_request(), peers)) == ["a", "b"]


class TestRoundRobin:
    """Each in turn."""

    def test_turns(self, make_request, make_peer):
        """The first of the ranking moves on."""
        policy = policies()["round-robin"]
        peers = [make_peer(name) for name in "abc"]
        firsts = [names(policy.choose(make_request(), peers))[0] for _ in range(4)]
        assert firsts == ["a", "b", "c", "a"]
