"""Choices of the policies."""

import pytest

from skylarkdoord.entry._affinity import AffinityTable
from skylarkdoord.entry._policies import HEAD_START_S, policies

SPEED = {
    "prefill_tokens_per_second": 1000,
    "decode_tokens_per_second": 50,
    "length_share": 1.0,
}


@pytest.fixture
def affinity():
    """Return an empty table."""
    return AffinityTable()


def names(choice):
    """Return the ranking by instance."""
    return [peer.instance for peer in choice.ranked]


class TestEveryPolicy:
    """What all have in common."""

    @pytest.mark.parametrize("name", sorted(policies(AffinityTable())))
    def test_ranks_all(self, name, affinity, make_request, make_peer):
        """Each ranks every sidecar once, and none where there is none."""
        policy = policies(affinity)[name]
        peers = [make_peer(instance, **SPEED) for instance in "abcd"]
        assert sorted(names(policy.choose(make_request(), peers))) == list("abcd")
        assert policy.choose(make_request(), []).ranked == []


class TestLateBinding:
    """Offers to several."""

    def test_earliest_finish_first(self, affinity, make_request, make_peer):
        """Room goes before a queue."""
        policy = policies(affinity)["late-binding"]
        peers = [
            make_peer("full", drain_per_second=1.0, waiting_by_tier=[5], **SPEED),
            make_peer("free", room=3, **SPEED),
        ]
        choice = policy.choose(make_request(), peers)
        assert names(choice) == ["free", "full"]
        assert choice.head_start_s == pytest.approx(HEAD_START_S)

    def test_straggler_gets_less(self, affinity, make_request, make_peer):
        """A straggler is passed over mostly, in proportion to its slowdown."""
        policy = policies(affinity)["late-binding"]
        peers = [make_peer(name, **SPEED) for name in "abc"]
        peers.append(make_peer("slow", room=9, slowdown=4.0, **SPEED))
        request = make_request()
        request.max_tokens = 100
        firsts = [policy.choose(request, peers).ranked[0] for _ in range(400)]
        times = sum(peer.instance == "slow" for peer in firsts)
        assert 40 < times < 160

    def test_hit_has_a_head_start(self, affinity, make_request, make_peer):
        """The holder of the prompt's beginning is first, for longer."""
        policy = policies(affinity)["late-binding"]
        request = make_request()
        request.prompt_tokens, request.prefix_hashes = 700, tuple(range(10))
        affinity.note(request.model, request.prefix_hashes, "b")
        peers = [make_peer(name, room=1, **SPEED) for name in "abc"]
        choice = policy.choose(request, peers)
        assert choice.ranked[0].instance == "b"
        assert choice.head_start_s > HEAD_START_S


class TestLeastFinish:
    """A push to the best of a few."""

    def test_charging(self, affinity, make_request, make_peer):
        """What was sent since the last report counts."""
        policy = policies(affinity)["least-finish"]
        peers = [make_peer(name, room=1, **SPEED) for name in "ab"]
        peers[0].charged = 5
        choice = policy.choose(make_request(), peers)
        assert (names(choice), choice.offers) == (["b", "a"], 1)

    def test_holder_is_a_choice(self, affinity, make_request, make_peer):
        """The holder of the prompt's beginning is always among the choices."""
        policy = policies(affinity)["least-finish"]
        request = make_request()
        request.prompt_tokens, request.prefix_hashes = 700, tuple(range(10))
        affinity.note(request.model, request.prefix_hashes, "h")
        peers = [make_peer(name, room=1, **SPEED) for name in "abcdefgh"]
        for _ in range(20):
            assert names(policy.choose(request, peers))[0] == "h"


class TestLeastConnections:
    """A push to the fewest requests, by stale reports."""

    def test_stale(self, affinity, make_request, make_peer):
        """A new report is not seen at once."""
        policy = policies(affinity)["least-connections"]
        peers = [make_peer("a", running=1), make_peer("b", running=2)]
        assert names(policy.choose(make_request(), peers)) == ["a", "b"]
        peers[0].load.running = 9
        assert names(policy.choose(make_request(), peers)) == ["a", "b"]


class TestRoundRobin:
    """Each in turn."""

    def test_turns(self, affinity, make_request, make_peer):
        """The first of the ranking moves on."""
        policy = policies(affinity)["round-robin"]
        peers = [make_peer(name) for name in "abc"]
        firsts = [names(policy.choose(make_request(), peers))[0] for _ in range(4)]
        assert firsts == ["a", "b", "c", "a"]
