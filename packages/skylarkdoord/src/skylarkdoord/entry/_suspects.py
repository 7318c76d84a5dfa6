"""Distributes suspicions between the sidecars of a pool.

A suspect is a request with which an upstream has crashed; a suspicion lists the
crashes of one suspect.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from skylarkdoor.wire import Outbox, pb
from skylarkdoord.common import Suspicions


class PoolPeer(Protocol):
    """The part of `SidecarPeer` that the distribution of suspicions uses."""

    outbox: Outbox[pb.EntryMessage]

    @property
    def pool(self) -> str:
        """The pool that the sidecar's upstream serves."""


class SuspectRelay:
    """Stores the suspicions of each pool and relays them to the pool's sidecars.

    Args:
        peers: Returns the sidecars that this entry has streams to.
    """

    def __init__(self, peers: Callable[[], Iterable[PoolPeer]]) -> None:
        self.peers = peers
        self.by_pool: dict[str, Suspicions] = {}

    def of_pool(self, pool: str) -> Suspicions:
        """Return the suspicions of a pool's requests."""
        return self.by_pool.setdefault(pool, Suspicions())

    def on_suspect(self, sender: PoolPeer, suspect: pb.Suspect) -> None:
        """Store a sidecar's suspicion and relay it to the rest of its pool if new."""
        if not self.of_pool(sender.pool).merge_message(suspect):
            return
        for peer in self.peers():
            if peer.pool == sender.pool and peer is not sender:
                peer.outbox.put(pb.EntryMessage(suspect=suspect))

    def send_known(self, peer: PoolPeer) -> None:
        """Send all known suspicions to a sidecar whose stream has opened."""
        for suspicion in self.of_pool(peer.pool):
            peer.outbox.put(pb.EntryMessage(suspect=suspicion.message()))
