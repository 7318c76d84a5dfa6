"""Tests of the bound on requests that are not handled yet."""

from skylarkdoord.ingress._unfinished import UnfinishedBytes

MIB = 1024 * 1024


class TestUnfinishedBytes:
    """Connections that send heads or trailers without end."""

    # Guards against heads within their limit that take the memory together.
    def test_load(self):
        """Those that hold most are closed, until there is room for others."""
        unfinished = UnfinishedBytes(10 * MIB)
        unfinished.set("ordinary", 2000)
        for number in range(600):
            unfinished.set(number, 30_000)
            for chosen in unfinished.choose():
                unfinished.set(chosen, 0)
            assert unfinished.used <= 10 * MIB
        assert "ordinary" in unfinished.sizes
        assert len(unfinished.sizes) > 200

    def test_calm(self):
        """A single request within the limits is not closed, whatever the bound."""
        unfinished = UnfinishedBytes(1000)
        unfinished.set("only", 60_000)
        assert unfinished.choose() == []

    def test_released(self):
        """A connection that holds nothing more is not counted."""
        unfinished = UnfinishedBytes()
        unfinished.set("a", 500)
        unfinished.set("a", 0)
        assert unfinished.used == 0
        assert not unfinished.sizes
