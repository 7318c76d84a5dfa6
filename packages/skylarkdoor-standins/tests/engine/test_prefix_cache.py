"""Tests of the prefix cache."""

from skylarkdoor_standins.engine._prefix_cache import PrefixCache, block_hashes


def words(count: int, tag: str = "w") -> list[str]:
    """Return a number of distinct words that begin with a tag."""
    return [f"{tag}{index}" for index in range(count)]


class TestBlockHashes:
    """`block_hashes`."""

    def test_complete_blocks(self):
        """Only complete blocks of 64 words are hashed."""
        assert len(block_hashes(words(191), model="m")) == 2

    def test_prefix(self):
        """Prompts have the same hashes up to the first block that differs."""
        first = block_hashes(words(192), model="m")
        second = block_hashes(words(128) + words(64, "x"), model="m")
        assert first[:2] == second[:2]
        assert first[2] != second[2]

    def test_model(self):
        """The same prompt has different hashes for different models."""
        first, second = (block_hashes(words(64), model=name) for name in "mn")
        assert first != second


class TestPrefixCache:
    """`PrefixCache`."""

    def test_leading_blocks(self):
        """A match ends at the first block that is not cached."""
        cache = PrefixCache(640, lambda kind, block: None)
        for block in ("a", "c"):
            cache.store(block)
        assert cache.match(["a", "b", "c"]) == 1

    def test_least_recently_used(self):
        """A full cache evicts the least recently used block."""
        events = []
        cache = PrefixCache(128, lambda *event: events.append(event))
        cache.store("a")
        cache.store("b")
        cache.match(["a"])
        cache.store("c")
        assert events[-2:] == [("removed", "b"), ("stored", "c")]
        assert cache.usage == 1.0

    def test_no_capacity(self):
        """A cache without capacity stores nothing."""
        cache = PrefixCache(0, lambda kind, block: None)
        cache.store("a")
        assert cache.match(["a"]) == 0
        assert cache.usage == 0.0
