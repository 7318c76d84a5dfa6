"""What the upstream's prefix cache is held to contain."""

from collections import OrderedDict

from skylarkdoor.hashing import PREFIX_BLOCK_WORDS
from skylarkdoor.wire import pb


class HeldPrefixes:
    """The blocks of the prompts computed last: an estimate, not the truth.

    Args:
        capacity_tokens: Tokens that the upstream's cache holds.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.blocks: OrderedDict[tuple[str, int], None] = OrderedDict()

    def note(self, offer: pb.Offer) -> None:
        """Note that a prompt has been computed."""
        # The end of a prompt is dropped before its beginning.
        for block in reversed(offer.prefix_hashes):
            key = offer.model, block
            self.blocks[key] = None
            self.blocks.move_to_end(key)
        while len(self.blocks) * PREFIX_BLOCK_WORDS > self.capacity_tokens:
            self.blocks.popitem(last=False)

    def cached_tokens(self, offer: pb.Offer) -> int:
        """Return how many leading tokens of a prompt are held."""
        held = 0
        for block in offer.prefix_hashes:
            if (offer.model, block) not in self.blocks:
                break
            held += PREFIX_BLOCK_WORDS
        return min(held, max(0, offer.prompt_tokens - 1))

    def clear(self) -> None:
        """Forget everything: the upstream has restarted."""
        self.blocks.clear()
