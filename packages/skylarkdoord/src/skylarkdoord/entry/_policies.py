"""How an entry chooses sidecars for a request."""

import itertools
import random
import time
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._ranking import Estimate, Work, estimate_all, slowdown
from skylarkdoord.entry._request import EntryRequest

STALE_LOAD_S = 1.0
HEAD_START_S = 0.02
CHOICES = 2


class Choice(NamedTuple):
    """Sidecars for one request.

    Attributes:
        ranked: All that may serve it, the best first.
        offers: How many of them get the offer at once.
        head_start_s: For how long the first alone has the offer, in seconds.
    """

    ranked: list[SidecarPeer]
    offers: int
    head_start_s: float = 0.0


class Policy(Protocol):
    """Ranks a pool's sidecars for a request."""

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Return the ranking and how many get the offer at once."""


def estimates(
    request: EntryRequest,
    peers: Sequence[SidecarPeer],
    hits: Mapping[str, int] | None = None,
) -> list[Estimate]:
    """Return the estimates for a request, the earliest finish first.

    Args:
        request: The request.
        peers: The pool's sidecars.
        hits: Leading prompt tokens held to be cached, by instance.
    """
    work = Work(request.resolved.tier.rank, request.prompt_tokens, request.max_tokens)
    found = estimate_all(work, peers, hits=hits or {}, min_share=request.pool.min_share)
    random.shuffle(found)
    return sorted(found, key=lambda one: (_is_passed_over(one), one.finish_s))


def held_tokens(request: EntryRequest, peers: Sequence[SidecarPeer]) -> dict[str, int]:
    """Return the leading prompt tokens that each sidecar is held to have cached."""
    return {
        peer.instance: peer.held.tokens(request.model, request.prefix_hashes)
        for peer in peers
    }


def _is_passed_over(estimate: Estimate) -> bool:
    # A straggler keeps its place now and then: without work it can't show that
    # it has recovered.
    if not estimate.straggler:
        return False
    return random.random() * slowdown(estimate.peer) > 1


class LateBinding:
    """Offers to several sidecars; the first that has room gets the request."""

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Rank by estimated finish and offer to as many as the pool says.

        The best alone has the offer for a moment if it has room: a grant of the
        others would hold room in vain.
        """
        found = estimates(request, peers)
        ranked = [one.peer for one in found]
        has_room = bool(found) and found[0].wait_s == 0
        return Choice(ranked, request.pool.offers, HEAD_START_S if has_room else 0.0)


class LeastFinish:
    """Pushes to the earliest estimated finish of two random choices.

    A sidecar that holds the prompt's beginning is a third choice. What this
    entry has sent since the last report counts as waiting.
    """

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Rank the choices by estimated finish, then all others."""
        found = estimates(request, peers, held_tokens(request, peers))
        usual = [one for one in found if not one.straggler] or found
        drawn = random.sample(usual, min(CHOICES, len(usual)))
        holder = max(found, key=lambda one: one.hit_s, default=None)
        if holder is not None and holder.hit_s and holder not in drawn:
            drawn.append(holder)
        drawn.sort(key=lambda one: one.finish_s)
        rest = [one for one in found if one not in drawn]
        return Choice([one.peer for one in drawn + rest], 1)


class LeastConnections:
    """Pushes to the sidecar with the least reported work, on stale reports."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.read_at = 0.0

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Rank by the count of requests as it was up to a second ago."""
        now = time.monotonic()
        if now - self.read_at > STALE_LOAD_S:
            self.read_at = now
            self.counts = {peer.instance: connections(peer) for peer in peers}
        ranked = sorted(
            peers,
            key=lambda peer: (self.counts.get(peer.instance, 0), random.random()),
        )
        return Choice(ranked, 1)


def connections(peer: SidecarPeer) -> int:
    """Return how many requests a sidecar reported."""
    return peer.load.running + sum(peer.load.waiting_by_tier)


class RoundRobin:
    """Pushes to each sidecar in turn."""

    def __init__(self) -> None:
        self.turns = itertools.count()

    def choose(self, request: EntryRequest, peers: Sequence[SidecarPeer]) -> Choice:
        """Rank from the next in turn."""
        if not peers:
            return Choice([], 1)
        ordered = sorted(peers, key=lambda peer: peer.instance)
        start = next(self.turns) % len(ordered)
        return Choice(ordered[start:] + ordered[:start], 1)


def policies() -> dict[str, Policy]:
    """Return a fresh policy under each name that settings may use."""
    return {
        "late-binding": LateBinding(),
        "least-finish": LeastFinish(),
        "least-connections": LeastConnections(),
        "round-robin": RoundRobin(),
    }
