"""Estimates the content of the upstream's prefix cache."""

from collections import OrderedDict

from skylarkdoor.hashing import PREFIX_BLOCK_WORDS
from skylarkdoor.wire import pb


class CachedPrefixes:
    """Model of the upstream's prefix cache with least-recently-used eviction.

    It is an estimate: the cache itself can't be inspected.

    Args:
        capacity_tokens: Capacity of the upstream's cache, in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.blocks: OrderedDict[tuple[str, int], None] = OrderedDict()

    def add(self, offer: pb.Offer) -> None:
        """Add the blocks of a computed prompt."""
        # Reversed, so that the last blocks of a prompt are evicted first.
        for block in reversed(offer.prefix_hashes):
            key = offer.model, block
            self.blocks[key] = None
            self.blocks.move_to_end(key)
        while len(self.blocks) * PREFIX_BLOCK_WORDS > self.capacity_tokens:
            self.blocks.popitem(last=False)

    def cached_tokens(self, offer: pb.Offer) -> int:
        """Return the estimated number of leading prompt tokens in the cache."""
        cached = 0
        for block in offer.prefix_hashes:
            if (offer.model, block) not in self.blocks:
                break
            cached += PREFIX_BLOCK_WORDS
        return min(cached, max(0, offer.prompt_tokens - 1))

    def clear(self) -> None:
        """Remove all blocks, after the upstream went down."""
        self.blocks.clear()
