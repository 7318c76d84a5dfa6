"""Rows held packed."""

from skylarkdoord.common import _rows as rows
from skylarkdoord.common._held_rows import HeldRows

ROW = rows.SettingsRow(3, "op", "someone", "", {"customers": {"a": {"tier": "x"}}})


class TestHeldRows:
    """`HeldRows`."""

    def test_round_trip(self):
        """A row comes back as it was put in."""
        held = HeldRows()
        held["/teams/seed"] = ROW
        assert held["/teams/seed"] == ROW
        assert list(held.items()) == [("/teams/seed", ROW)]

    def test_revisions(self):
        """Revisions are told without the rows."""
        held = HeldRows()
        held["/teams/seed"] = ROW
        held["/fleet"] = ROW._replace(revision=9)
        assert held.revisions() == {"/teams/seed": 3, "/fleet": 9}
