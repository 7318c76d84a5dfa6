"""What the upstream's cache is held to contain."""

from skylarkdoor.wire import pb
from skylarkdoord.sidecar._prefixes import HeldPrefixes


def offer(*hashes, model="m"):
    """Return an offer with whole blocks of 64 tokens and a rest."""
    tokens = 64 * len(hashes) + 10
    return pb.Offer(model=model, prompt_tokens=tokens, prefix_hashes=hashes)


class TestHeldPrefixes:
    """Blocks of prompts that were computed."""

    def test_leading_blocks(self):
        """Only the unbroken beginning counts."""
        held = HeldPrefixes(640)
        held.note(offer(1, 2, 3))
        assert held.cached_tokens(offer(1, 2, 9)) == 128
        assert held.cached_tokens(offer(9, 2, 3)) == 0

    def test_model(self):
        """Another model's blocks don't count."""
        held = HeldPrefixes(640)
        held.note(offer(1, 2))
        assert held.cached_tokens(offer(1, 2, model="other")) == 0

    def test_bound(self):
        """The least recently used blocks go first, ends before beginnings."""
        held = HeldPrefixes(256)
        held.note(offer(1, 2, 3))
        held.note(offer(7, 8))
        assert held.cached_tokens(offer(1, 2, 3)) == 128
        assert held.cached_tokens(offer(7, 8)) == 128

    def test_restart(self):
        """Nothing is held after a restart of the upstream."""
        held = HeldPrefixes(640)
        held.note(offer(1))
        held.clear()
        assert held.cached_tokens(offer(1)) == 0
