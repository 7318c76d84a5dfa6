"""Tracks the prompt prefixes that a sidecar's upstream is presumed to have cached.

A prefix is identified by its running hash. Only prefixes of 1, 2, 4, 8 and so on
blocks have one, see `skylarkdoor.hashing.sampled_prefix_hashes`.
"""

from collections import OrderedDict
from collections.abc import Sequence

from skylarkdoor.hashing import PREFIX_BLOCK_WORDS, sampled_prefix_hashes

MAX_PREFIX_HASHES = 4096


class CachedPrefixes:
    """The prefixes that one sidecar has reported most recently as computed.

    Args:
        max_hashes: Maximum number of prefix hashes; the least recently reported
            are evicted.
    """

    def __init__(self, max_hashes: int = MAX_PREFIX_HASHES) -> None:
        self.max_hashes = max_hashes
        self.prefix_hashes: OrderedDict[int, None] = OrderedDict()

    def note(self, model: str, hashes: Sequence[int]) -> None:
        """Record the prefix hashes of a prompt that the upstream has computed.

        The longest prefix is recorded first, so that it is evicted first.
        """
        for prefix_hash in reversed(hashes):
            key = hash((model, prefix_hash))
            self.prefix_hashes[key] = None
            self.prefix_hashes.move_to_end(key)
        while len(self.prefix_hashes) > self.max_hashes:
            self.prefix_hashes.popitem(last=False)

    def tokens(self, model: str, blocks: Sequence[int]) -> int:
        """Return the number of leading prompt tokens presumed cached.

        Args:
            model: Model of the request.
            blocks: Running hash after each block of the prompt.
        """
        cached_tokens = 0
        for number, prefix_hash in enumerate(sampled_prefix_hashes(blocks)):
            if hash((model, prefix_hash)) not in self.prefix_hashes:
                break
            cached_tokens = PREFIX_BLOCK_WORDS << number
        return cached_tokens

    def clear(self) -> None:
        """Remove all prefixes, because the stream to the sidecar was lost."""
        self.prefix_hashes.clear()
