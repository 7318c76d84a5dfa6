"""Consistency of docs/EVENTS.md with the catalogue of log events."""

import logging

import skylarkdoord._events  # noqa: F401
from skylarkdoor.events import CATALOGUE

from ._pages import DOCS, table_rows


def rows() -> list[list[str]]:
    """Return the table rows that describe events."""
    text = (DOCS / "EVENTS.md").read_text()
    return [row for row in table_rows(text) if row[0].isdigit()]


class TestEvents:
    """Every numbered event."""

    def test_matches_catalogue(self):
        """Page and code have the same numbers, names, levels and meanings."""
        listed = [" | ".join(row[:4]) for row in rows()]
        defined = [
            f"{event.number} | `{event.name}` | "
            f"{logging.getLevelName(event.level).lower()} | {event.text}"
            for _, event in sorted(CATALOGUE.items())
        ]
        assert listed == defined

    def test_advice(self):
        """Every event has advice on what to do."""
        assert [row[0] for row in rows() if len(row) != 5 or not row[4]] == []
