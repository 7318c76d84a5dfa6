"""Tests of the store of compressed settings rows."""

from skylarkdoord.common import _rows as rows
from skylarkdoord.common._compressed_rows import CompressedRows

ROW = rows.SettingsRow(3, "op", "someone", "", {"customers": {"a": {"tier": "x"}}})


class TestCompressedRows:
    """`CompressedRows`."""

    def test_round_trip(self):
        """A row is returned as it was stored."""
        held = CompressedRows()
        held["/teams/seed"] = ROW
        assert held["/teams/seed"] == ROW
        assert list(held.items()) == [("/teams/seed", ROW)]

    def test_revisions(self):
        """`revisions` returns the revision of each row."""
        held = CompressedRows()
        held["/teams/seed"] = ROW
        held["/fleet"] = ROW._replace(revision=9)
        assert held.revisions() == {"/teams/seed": 3, "/fleet": 9}
