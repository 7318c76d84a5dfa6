"""Cache of computed prompt prefixes, by blocks in limited memory."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Sequence

BLOCK_TOKENS = 64

BlockEvent = Callable[[str, str], None]


def block_hashes(words: Sequence[str], *, model: str) -> list[str]:
    """Return a hash for each whole block of a prompt and all that is before it."""
    hashes = []
    chain = hashlib.sha256(model.encode())
    whole = len(words) - len(words) % BLOCK_TOKENS
    for start in range(0, whole, BLOCK_TOKENS):
        chain.update("\0".join(words[start : start + BLOCK_TOKENS]).encode())
        hashes.append(chain.hexdigest()[:16])
    return hashes


class PrefixCache:
    """Blocks kept, the least recently used dropped first.

    Args:
        capacity_tokens: How many tokens the blocks may hold.
        on_event: Called with ``stored`` or ``removed`` and a block's hash.
    """

    def __init__(self, capacity_tokens: int, on_event: BlockEvent):
        self.capacity = capacity_tokens // BLOCK_TOKENS
        self._on_event = on_event
        self._blocks: OrderedDict[str, None] = OrderedDict()

    @property
    def usage(self) -> float:
        """The share of the memory in use."""
        return len(self._blocks) / self.capacity if self.capacity else 0.0

    def match(self, hashes: Sequence[str]) -> int:
        """Return how many leading blocks are held, and mark them as used."""
        for count, block in enumerate(hashes):
            if block not in self._blocks:
                return count
            self._blocks.move_to_end(block)
        return len(hashes)

    def store(self, block: str) -> None:
        """Keep a block, dropping the least recently used where there is no room."""
        if not self.capacity:
            return
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        if len(self._blocks) >= self.capacity:
            oldest, _ = self._blocks.popitem(last=False)
            self._on_event("removed", oldest)
        self._blocks[block] = None
        self._on_event("stored", block)
