"""The table of prompt beginnings."""

from skylarkdoord.entry._affinity import AffinityTable


class TestAffinityTable:
    """Where prompts went before."""

    def test_leading_blocks(self):
        """Hits are the unbroken beginning, for each instance."""
        table = AffinityTable()
        table.note("m", (1, 2, 3), "engine-1")
        table.note("m", (1, 9), "engine-2")
        assert table.hits("m", (1, 2, 5)) == {"engine-1": 128, "engine-2": 64}
        assert table.hits("m", (7, 2)) == {}
        assert table.hits("other", (1, 2)) == {}

    def test_bound(self):
        """The least recently used blocks go first."""
        table = AffinityTable(max_blocks=3)
        table.note("m", (1, 2), "engine-1")
        table.note("m", (8, 9), "engine-1")
        assert len(table.holders) == 3
        assert table.hits("m", (8, 9)) == {"engine-1": 128}
        assert table.hits("m", (1, 2)) == {"engine-1": 64}
