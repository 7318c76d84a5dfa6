"""Beginnings of prompts that a sidecar has told of."""

from skylarkdoor.hashing import prefix_marks
from skylarkdoord.entry._affinity import HeldMarks


class TestHeldMarks:
    """What an upstream is held to have computed."""

    def test_beginning(self):
        """Hits are counted up to the last mark that both have."""
        held = HeldMarks()
        held.note("m", prefix_marks(range(1, 11)))
        assert held.tokens("m", tuple(range(1, 11))) == 8 * 64
        assert held.tokens("m", (1, 2, 99)) == 2 * 64
        assert held.tokens("m", (99, 2, 3)) == 0
        assert held.tokens("other", (1, 2)) == 0

    def test_bound(self):
        """The least recently used marks go first, ends before beginnings."""
        held = HeldMarks(max_marks=3)
        held.note("m", prefix_marks((1, 2)))
        held.note("m", prefix_marks((8, 9)))
        assert held.tokens("m", (8, 9)) == 128
        assert held.tokens("m", (1, 2)) == 64
