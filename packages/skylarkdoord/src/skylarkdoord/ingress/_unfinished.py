"""Decides which connections are closed when incomplete requests hold too much.

The load that it answers: many callers that send a head or trailers without end, or
requests ahead of the one that is being answered.
"""

from typing import Generic, TypeVar

# Objects of a request that was parsed and waits, in bytes.
WAITING_REQUEST_BYTES = 4096
# Connections are closed until this share of the bound is held.
FREED_SHARE = 0.75

C = TypeVar("C")


class UnfinishedBytes(Generic[C]):
    """Bytes that connections hold for requests which are not handled yet.

    Args:
        max_bytes: Most bytes to hold; None for no bound.

    Attributes:
        used: Bytes that are held now.
    """

    def __init__(self, max_bytes: int | None = None) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self.sizes: dict[C, int] = {}

    def set(self, connection: C, size: int) -> None:
        """Set the bytes that a connection holds."""
        former = self.sizes.pop(connection, 0)
        self.used += size - former
        if size:
            self.sizes[connection] = size

    def choose(self) -> list[C]:
        """Return connections to close, those first that hold most.

        None is closed below the bound, nor the only one that holds anything.
        """
        if self.max_bytes is None or self.used <= self.max_bytes:
            return []
        if len(self.sizes) == 1:
            return []
        excess = self.used - int(FREED_SHARE * self.max_bytes)
        chosen = []
        for connection in sorted(self.sizes, key=self.sizes.__getitem__, reverse=True):
            if excess <= 0:
                break
            chosen.append(connection)
            excess -= self.sizes[connection]
        return chosen
