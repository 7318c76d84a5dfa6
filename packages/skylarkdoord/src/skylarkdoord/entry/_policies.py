"""How an entry chooses sidecars for a request."""

import itertools
import random
from typing import NamedTuple, Protocol

from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._request import EntryRequest


class Choice(NamedTuple):
    """Sidecars for one request.

    Attributes:
        ranked: All that may serve it, the best first.
        offers: How many of them get the offer at once.
    """

    ranked: list[SidecarPeer]
    offers: int


class Policy(Protocol):
    """Ranks a pool's sidecars for a request."""

    def choose(self, request: EntryRequest, peers: list[SidecarPeer]) -> Choice:
        """Return the ranking and how many get the offer at once."""


def busyness(peer: SidecarPeer) -> float:
    """Return the reported work in proportion to the limit."""
    waiting = sum(peer.load.waiting_by_tier)
    return (peer.load.running + waiting) / max(1, peer.load.limit)


class LateBinding:
    """Offers to several sidecars; the first that has room gets the request."""

    def choose(self, request: EntryRequest, peers: list[SidecarPeer]) -> Choice:
        """Rank by reported load and offer to as many as the pool says."""
        ranked = sorted(peers, key=lambda peer: (busyness(peer), random.random()))
        return Choice(ranked, request.pool.offers)


class LeastConnections:
    """Pushes to the sidecar with the least reported work."""

    def choose(self, request: EntryRequest, peers: list[SidecarPeer]) -> Choice:
        """Rank by the reported count of requests."""
        ranked = sorted(
            peers, key=lambda p: p.load.running + sum(p.load.waiting_by_tier)
        )
        return Choice(ranked, 1)


class RoundRobin:
    """Pushes to each sidecar in turn."""

    def __init__(self) -> None:
        self.turns = itertools.count()

    def choose(self, request: EntryRequest, peers: list[SidecarPeer]) -> Choice:
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
        "least-finish": LateBinding(),
        "least-connections": LeastConnections(),
        "round-robin": RoundRobin(),
    }
