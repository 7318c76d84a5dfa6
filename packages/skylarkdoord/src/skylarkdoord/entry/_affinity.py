"""Beginnings of prompts that a sidecar's upstream is held to have cached."""

from collections import OrderedDict
from collections.abc import Sequence

from skylarkdoor.hashing import PREFIX_BLOCK_WORDS, prefix_marks

MAX_MARKS = 4096


class HeldMarks:
    """What one sidecar has said that its upstream computed, the latest of it.

    Args:
        max_marks: Most marks remembered; the least recently used go first.
    """

    def __init__(self, max_marks: int = MAX_MARKS) -> None:
        self.max_marks = max_marks
        self.marks: OrderedDict[int, None] = OrderedDict()

    def note(self, model: str, marks: Sequence[int]) -> None:
        """Note the marks of a computed prompt."""
        for mark in reversed(marks):
            key = hash((model, mark))
            self.marks[key] = None
            self.marks.move_to_end(key)
        while len(self.marks) > self.max_marks:
            self.marks.popitem(last=False)

    def tokens(self, model: str, blocks: Sequence[int]) -> int:
        """Return the leading tokens of a prompt that are held at least."""
        held = 0
        for number, mark in enumerate(prefix_marks(blocks)):
            if hash((model, mark)) not in self.marks:
                break
            held = PREFIX_BLOCK_WORDS << number
        return held

    def clear(self) -> None:
        """Forget everything: what the sidecar said no longer counts."""
        self.marks.clear()
