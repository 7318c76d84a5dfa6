"""Tests of `skylarkdoord.sidecar._prefixes`."""

from skylarkdoor.wire import pb
from skylarkdoord.sidecar._prefixes import CachedPrefixes


def offer(*hashes, model="m"):
    """Return an offer with complete blocks of 64 tokens and 10 more tokens."""
    tokens = 64 * len(hashes) + 10
    return pb.Offer(model=model, prompt_tokens=tokens, prefix_hashes=hashes)


class TestCachedPrefixes:
    """Blocks of computed prompts."""

    def test_leading_blocks(self):
        """Only consecutive blocks from the beginning count."""
        cached = CachedPrefixes(640)
        cached.add(offer(1, 2, 3))
        assert cached.cached_tokens(offer(1, 2, 9)) == 128
        assert cached.cached_tokens(offer(9, 2, 3)) == 0

    def test_model(self):
        """Blocks of other models don't count."""
        cached = CachedPrefixes(640)
        cached.add(offer(1, 2))
        assert cached.cached_tokens(offer(1, 2, model="other")) == 0

    def test_bound(self):
        """Least recently used blocks are evicted first; of a prompt, the last ones."""
        cached = CachedPrefixes(256)
        cached.add(offer(1, 2, 3))
        cached.add(offer(7, 8))
        assert cached.cached_tokens(offer(1, 2, 3)) == 128
        assert cached.cached_tokens(offer(7, 8)) == 128

    def test_clear(self):
        """After `clear` no block is cached."""
        cached = CachedPrefixes(640)
        cached.add(offer(1))
        cached.clear()
        assert cached.cached_tokens(offer(1)) == 0
