"""Estimates of when each sidecar of a pool would finish a request."""

import statistics
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from skylarkdoord.entry._peer import SidecarPeer

STRAGGLER_FACTOR = 2.0
UNKNOWN_SERVICE_S = 1.0


class Work(NamedTuple):
    """What a request asks of an upstream.

    Attributes:
        tier: Rank of its tier.
        prompt_tokens: Length of its prompt.
        max_tokens: Most tokens that may be generated.
    """

    tier: int
    prompt_tokens: int
    max_tokens: int


class Estimate(NamedTuple):
    """What is expected of one sidecar for one request.

    Attributes:
        peer: The sidecar.
        wait_s: Time in its queue, in seconds.
        service_s: Time in its upstream, in seconds.
        hit_s: Time that its prefix cache saves; service_s is without it.
        straggler: Whether it is much slower than usual while its pool isn't.
    """

    peer: SidecarPeer
    wait_s: float
    service_s: float
    hit_s: float
    straggler: bool

    @property
    def finish_s(self) -> float:
        """Time until the whole answer, in seconds."""
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
        work: What the request asks.
        peers: The pool's sidecars.
        hits: Leading prompt tokens held to be cached, by instance.
        min_share: Share of the pool never taken for stragglers.
    """
    slow = stragglers(peers, min_share=min_share)
    return [
        _estimate(work, peer, hits.get(peer.instance, 0), peer.instance in slow)
        for peer in peers
    ]


def stragglers(peers: Sequence[SidecarPeer], *, min_share: float) -> set[str]:
    """Return the instances that are slow by themselves, the slowest first in line.

    A slowdown that the whole pool shares makes no stragglers.
    """
    if not peers:
        return set()
    usual = statistics.median_low([slowdown(peer) for peer in peers])
    slow = [peer for peer in peers if slowdown(peer) > STRAGGLER_FACTOR * usual]
    slow.sort(key=slowdown, reverse=True)
    most = int(len(peers) * (1 - min_share))
    return {peer.instance for peer in slow[:most]}


def slowdown(peer: SidecarPeer) -> float:
    """Return how much slower than usual a sidecar's upstream is."""
    return peer.load.slowdown or 1.0


def _estimate(
    work: Work, peer: SidecarPeer, hit_tokens: int, straggler: bool
) -> Estimate:
    load = peer.load
    hit_tokens = min(hit_tokens, max(0, work.prompt_tokens - 1))
    length_share = load.length_share or 1.0
    prefill_s = _per(work.prompt_tokens - hit_tokens, load.prefill_tokens_per_second)
    decode_s = _per(work.max_tokens * length_share, load.decode_tokens_per_second)
    service_s = prefill_s + decode_s
    return Estimate(
        peer=peer,
        wait_s=_wait_s(work.tier, peer, service_s),
        service_s=service_s,
        hit_s=_per(hit_tokens, load.prefill_tokens_per_second),
        straggler=straggler,
    )


def _wait_s(tier: int, peer: SidecarPeer, service_s: float) -> float:
    load = peer.load
    if load.room > peer.charged:
        return 0.0
    ahead = sum(load.waiting_by_tier[: tier + 1]) + peer.charged
    if load.drain_per_second:
        return (ahead + 1) / load.drain_per_second
    return (ahead + 1) * (service_s or UNKNOWN_SERVICE_S) / max(1, load.limit)


def _per(tokens: float, per_s: float) -> float:
    return tokens / per_s if per_s else 0.0
