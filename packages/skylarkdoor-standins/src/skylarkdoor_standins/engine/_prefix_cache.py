"""Cache of computed prompt prefixes, in blocks, with a limited capacity."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Sequence

BLOCK_TOKENS = 64

BlockEventCallback = Callable[[str, str], None]


def block_hashes(tokens: Sequence[str], *, model: str) -> list[str]:
    """Return one hash per complete block of a prompt.

    Each hash covers the block, all blocks before it and the model.
    """
    hashes = []
    chain = hashlib.sha256(model.encode())
    aligned_length = len(tokens) - len(tokens) % BLOCK_TOKENS
    for start in range(0, aligned_length, BLOCK_TOKENS):
        chain.update("\0".join(tokens[start : start + BLOCK_TOKENS]).encode())
        hashes.append(chain.hexdigest()[:16])
    return hashes


class PrefixCache:
    """Cached blocks, with eviction of the least recently used.

    Args:
        capacity_tokens: The capacity of the cache in tokens.
        on_event: Called with ``stored`` or ``removed`` and the hash of a block.
    """

    def __init__(self, capacity_tokens: int, on_event: BlockEventCallback):
        self.capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._on_event = on_event
        self._block_hashes: OrderedDict[str, None] = OrderedDict()

    @property
    def usage(self) -> float:
        """The share of the capacity in use, from 0 to 1."""
        return (
            len(self._block_hashes) / self.capacity_blocks
            if self.capacity_blocks
            else 0.0
        )

    def match(self, hashes: Sequence[str]) -> int:
        """Return the number of leading blocks cached, and mark them as recently used.

        Args:
            hashes: The hashes of a prompt's blocks, in order.
        """
        for count, block_hash in enumerate(hashes):
            if block_hash not in self._block_hashes:
                return count
            self._block_hashes.move_to_end(block_hash)
        return len(hashes)

    def store(self, block_hash: str) -> None:
        """Store a block, evicting the least recently used one if the cache is full."""
        if not self.capacity_blocks:
            return
        if block_hash in self._block_hashes:
            self._block_hashes.move_to_end(block_hash)
            return
        if len(self._block_hashes) >= self.capacity_blocks:
            evicted, _ = self._block_hashes.popitem(last=False)
            self._on_event("removed", evicted)
        self._block_hashes[block_hash] = None
        self._on_event("stored", block_hash)
