"""Load-balancing policies: how an entry selects sidecars for a request."""

import itertools
import random
import time
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._ranking import Estimate, Work, estimate_all, slowdown
from skylarkdoord.entry._request import EntryRequest

# Age at which least-connections reads the sidecars' request counts again.
COUNT_REFRESH_INTERVAL_S = 1.0
# For how long only the best sidecar has the offer, if it has a free slot.
FANOUT_DELAY_S = 0.02
# Sidecars that least-finish samples at random for each request.
RANDOM_CANDIDATES = 2


class Choice(NamedTuple):
    """The sidecars selected for one request.

    Attributes:
        ranked: All sidecars that may serve the request, the best first.
        offers: Maximum number of sidecars that have the offer at a time.
        fanout_delay_s: Time during which only the first sidecar has the offer,
            in seconds.
    """

    ranked: list[SidecarPeer]
    offers: int
    fanout_delay_s: float = 0.0


class Policy(Protocol):
    """Ranks a pool's sidecars for a request."""

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Return the ranked sidecars and how many of them get offers at a time."""


def estimates(
    request: EntryRequest,
    peers: Sequence[SidecarPeer],
    hits: Mapping[str, int] | None = None,
) -> list[Estimate]:
    """Return an estimate for each sidecar, the earliest finish first.

    Args:
        request: The request.
        peers: The pool's sidecars.
        hits: Number of leading prompt tokens presumed cached, by instance.
    """
    work = Work(request.resolved.tier.rank, request.prompt_tokens, request.max_tokens)
    found = estimate_all(work, peers, hits=hits or {}, min_share=request.pool.min_share)
    random.shuffle(found)
    return sorted(found, key=lambda one: (_is_deprioritized(one), one.finish_s))


def cached_prefix_tokens(
    request: EntryRequest, peers: Sequence[SidecarPeer]
) -> dict[str, int]:
    """Return the number of leading prompt tokens presumed cached, by instance."""
    return {
        peer.instance: peer.cached_prefixes.tokens(request.model, request.prefix_hashes)
        for peer in peers
    }


def _is_deprioritized(estimate: Estimate) -> bool:
    # A straggler keeps its rank with probability 1 / slowdown: its recovery can
    # only be measured while it still serves requests.
    if not estimate.straggler:
        return False
    return random.random() * slowdown(estimate.peer) > 1


class LateBinding:
    """Offers a request to several sidecars; the first one to grant it serves it."""

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Rank by estimated finish and offer to as many as the pool's settings allow.

        If the best sidecar has a free slot, only it has the offer for
        `FANOUT_DELAY_S`: grants of the others would reserve slots that go unused.
        """
        found = estimates(request, peers)
        ranked = [one.peer for one in found]
        has_room = bool(found) and found[0].wait_s == 0
        return Choice(ranked, request.pool.offers, FANOUT_DELAY_S if has_room else 0.0)


class LeastFinish:
    """Offers to the sidecar with the earliest estimated finish of two random ones.

    The sidecar with the largest cached prefix of the prompt is a third candidate.
    Offers that this entry has sent since a sidecar's last load report count as
    waiting there.
    """

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Rank the candidates by estimated finish, followed by all other sidecars."""
        found = estimates(request, peers, cached_prefix_tokens(request, peers))
        candidates = [one for one in found if not one.straggler] or found
        sampled = random.sample(candidates, min(RANDOM_CANDIDATES, len(candidates)))
        best_cached = max(found, key=lambda one: one.saved_prefill_s, default=None)
        if (
            best_cached is not None
            and best_cached.saved_prefill_s
            and best_cached not in sampled
        ):
            sampled.append(best_cached)
        sampled.sort(key=lambda one: one.finish_s)
        rest = [one for one in found if one not in sampled]
        return Choice([one.peer for one in sampled + rest], 1)


class LeastConnections:
    """Offers to the sidecar with the fewest requests, by counts up to 1 s old."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.refreshed_at = 0.0

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Rank by the last counts, which are `COUNT_REFRESH_INTERVAL_S` old at most."""
        now = time.monotonic()
        if now - self.refreshed_at > COUNT_REFRESH_INTERVAL_S:
            self.refreshed_at = now
            self.counts = {peer.instance: reported_requests(peer) for peer in peers}
        ranked = sorted(
            peers,
            key=lambda peer: (self.counts.get(peer.instance, 0), random.random()),
        )
        return Choice(ranked, 1)


def reported_requests(peer: SidecarPeer) -> int:
    """Return the number of running and waiting requests that a sidecar reported."""
    return peer.load.running + sum(peer.load.waiting_by_tier)


class RoundRobin:
    """Offers to each sidecar in turn."""

    def __init__(self) -> None:
        self.next_start = itertools.count()

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Rank by instance name, starting one sidecar further at each call."""
        if not peers:
            return Choice([], 1)
        ordered = sorted(peers, key=lambda peer: peer.instance)
        start = next(self.next_start) % len(ordered)
        return Choice(ordered[start:] + ordered[:start], 1)


def policies() -> dict[str, Policy]:
    """Return a new instance of each policy, by the name used in the settings."""
    return {
        "late-binding": LateBinding(),
        "least-finish": LeastFinish(),
        "least-connections": LeastConnections(),
        "round-robin": RoundRobin(),
    }
