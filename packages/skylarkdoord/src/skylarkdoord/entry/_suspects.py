"""Passes suspicions on between the sidecars of a pool."""

from collections.abc import Callable, Iterable
from typing import Protocol

from skylarkdoor.wire import Outbox, pb
from skylarkdoord.common import Suspicions


class PoolPeer(Protocol):
    """A sidecar as far as suspicions go."""

    outbox: Outbox[pb.EntryMessage]

    @property
    def pool(self) -> str:
        """The pool that the sidecar's upstream serves."""


class Suspects:
    """What this entry knows of suspects, by pool.

    Args:
        peers: Returns the sidecars that are connected.
    """

    def __init__(self, peers: Callable[[], Iterable[PoolPeer]]) -> None:
        self.peers = peers
        self.by_pool: dict[str, Suspicions] = {}

    def of_pool(self, pool: str) -> Suspicions:
        """Return what is known of a pool's requests."""
        return self.by_pool.setdefault(pool, Suspicions())

    def hear(self, teller: PoolPeer, told: pb.Suspect) -> None:
        """Pass what a sidecar tells on to the others of its pool, if it is new."""
        if not self.of_pool(teller.pool).hear(told):
            return
        for peer in self.peers():
            if peer.pool == teller.pool and peer is not teller:
                peer.outbox.put(pb.EntryMessage(suspect=told))

    def greet(self, peer: PoolPeer) -> None:
        """Tell a sidecar whose stream has opened what is known."""
        for suspicion in self.of_pool(peer.pool):
            peer.outbox.put(pb.EntryMessage(suspect=suspicion.message()))
