"""Which sidecars this entry sent prompts with which beginnings to."""

from collections import OrderedDict

from skylarkdoor.hashing import PREFIX_BLOCK_WORDS

MAX_BLOCKS = 16_384
MAX_HOLDERS = 2


class AffinityTable:
    """A bounded table from prompt blocks to the sidecars that had them last.

    Args:
        max_blocks: Most blocks remembered; the least recently used go first.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self.max_blocks = max_blocks
        self.holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def note(self, model: str, blocks: tuple[int, ...], instance: str) -> None:
        """Note that a prompt went to an instance."""
        for block in reversed(blocks):
            key = hash((model, block))
            others = [name for name in self.holders.get(key, ()) if name != instance]
            self.holders[key] = (instance, *others[: MAX_HOLDERS - 1])
            self.holders.move_to_end(key)
        while len(self.holders) > self.max_blocks:
            self.holders.popitem(last=False)

    def hits(self, model: str, blocks: tuple[int, ...]) -> dict[str, int]:
        """Return the leading tokens that each instance is held to have cached."""
        tokens: dict[str, int] = {}
        for number, block in enumerate(blocks):
            before = number * PREFIX_BLOCK_WORDS
            holders = self.holders.get(hash((model, block)), ())
            unbroken = [name for name in holders if tokens.get(name, 0) == before]
            if not unbroken:
                break
            for name in unbroken:
                tokens[name] = before + PREFIX_BLOCK_WORDS
        return tokens
