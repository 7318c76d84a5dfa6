"""Tests of the prefixes that a sidecar has reported as cached."""

from skylarkdoor.hashing import sampled_prefix_hashes
from skylarkdoord.entry._affinity import CachedPrefixes


class TestHeldMarks:
    """Tests of `CachedPrefixes`."""

    def test_shared_prefix(self):
        """Tokens count up to the longest recorded prefix of the prompt."""
        prefixes = CachedPrefixes()
        prefixes.note("m", sampled_prefix_hashes(range(1, 11)))
        assert prefixes.tokens("m", tuple(range(1, 11))) == 8 * 64
        assert prefixes.tokens("m", (1, 2, 99)) == 2 * 64
        assert prefixes.tokens("m", (99, 2, 3)) == 0
        assert prefixes.tokens("other", (1, 2)) == 0

    def test_eviction(self):
        """The oldest prompt's prefixes are evicted first, the longest before others."""
        prefixes = CachedPrefixes(max_hashes=3)
        prefixes.note("m", sampled_prefix_hashes((1, 2)))
        prefixes.note("m", sampled_prefix_hashes((8, 9)))
        assert prefixes.tokens("m", (8, 9)) == 128
        assert prefixes.tokens("m", (1, 2)) == 64
