"""Estimates when each sidecar of a pool would finish a request, and finds stragglers.

A straggler is a sidecar whose upstream is much slower than its average while the
rest of its pool is not.
"""

import statistics
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from skylarkdoord.entry._peer import SidecarPeer

# Slowdown of a straggler, as a multiple of the pool's median slowdown.
STRAGGLER_FACTOR = 2.0
# Service time assumed for a sidecar that has not reported its speed yet.
DEFAULT_SERVICE_S = 1.0


class Work(NamedTuple):
    """The properties of a request that determine its service time and wait.

    Attributes:
        tier: Rank of its tier.
        prompt_tokens: Length of its prompt, in tokens.
        max_tokens: Maximum number of tokens to generate.
    """

    tier: int
    prompt_tokens: int
    max_tokens: int


class Estimate(NamedTuple):
    """The estimated times of one request at one sidecar.

    Attributes:
        peer: The sidecar.
        wait_s: Time in its queue, in seconds.
        service_s: Time in its upstream, in seconds, without `saved_prefill_s`.
        saved_prefill_s: Prefill time saved by its prefix cache, in seconds.
        straggler: Whether the sidecar is a straggler.
    """

    peer: SidecarPeer
    wait_s: float
    service_s: float
    saved_prefill_s: float
    straggler: bool

    @property
    def finish_s(self) -> float:
        """Time until the answer is complete, in seconds."""
        return self.wait_s + self.service_s


def estimate_all(
    work: Work,
    peers: Sequence[SidecarPeer],
    *,
    hits: Mapping[str, int],
    min_share: float,
) -> list[Estimate]:
    """Return an estimate for each sidecar of a pool.

    Args:
        work: The request's tier and size.
        peers: The pool's sidecars.
        hits: Number of leading prompt tokens presumed cached, by instance.
        min_share: Minimum share of the pool that is not treated as stragglers.
    """
    slow = stragglers(peers, min_share=min_share)
    return [
        _estimate(work, peer, hits.get(peer.instance, 0), peer.instance in slow)
        for peer in peers
    ]


def stragglers(peers: Sequence[SidecarPeer], *, min_share: float) -> set[str]:
    """Return the instances that are slow in comparison with their pool.

    A slowdown that the whole pool shares makes no instance a straggler. If
    `min_share` limits the number of stragglers, the slowest are returned.
    """
    if not peers:
        return set()
    median = statistics.median_low([slowdown(peer) for peer in peers])
    slow = [peer for peer in peers if slowdown(peer) > STRAGGLER_FACTOR * median]
    slow.sort(key=slowdown, reverse=True)
    max_stragglers = int(len(peers) * (1 - min_share))
    return {peer.instance for peer in slow[:max_stragglers]}


def slowdown(peer: SidecarPeer) -> float:
    """Return how many times slower than its average a sidecar's upstream is."""
    return peer.load.slowdown or 1.0


def _estimate(
    work: Work, peer: SidecarPeer, hit_tokens: int, straggler: bool
) -> Estimate:
    load = peer.load
    hit_tokens = min(hit_tokens, max(0, work.prompt_tokens - 1))
    length_share = load.length_share or 1.0
    prefill_s = _duration_s(
        work.prompt_tokens - hit_tokens, load.prefill_tokens_per_second
    )
    decode_s = _duration_s(
        work.max_tokens * length_share, load.decode_tokens_per_second
    )
    service_s = prefill_s + decode_s
    return Estimate(
        peer=peer,
        wait_s=_wait_s(work.tier, peer, service_s),
        service_s=service_s,
        saved_prefill_s=_duration_s(hit_tokens, load.prefill_tokens_per_second),
        straggler=straggler,
    )


def _wait_s(tier: int, peer: SidecarPeer, service_s: float) -> float:
    load = peer.load
    if load.room > peer.unreported_offers:
        return 0.0
    ahead = sum(load.waiting_by_tier[: tier + 1]) + peer.unreported_offers
    if load.drain_per_second:
        return (ahead + 1) / load.drain_per_second
    return (ahead + 1) * (service_s or DEFAULT_SERVICE_S) / max(1, load.limit)


def _duration_s(tokens: float, per_s: float) -> float:
    return tokens / per_s if per_s else 0.0
