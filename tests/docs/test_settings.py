"""Consistency of docs/SETTINGS.md with the settings records."""

import json
from collections.abc import Iterator
from typing import Annotated, Any, Literal, get_args, get_origin

import pytest

from skylarkdoor.settings import Fleet, ProcessSettings, Team, to_plain
from skylarkdoor.settings._convert import field_kinds, is_record
from skylarkdoor.settings._describe import describe
from skylarkdoor_client.exceptions import ExitCode
from skylarkdoord.direct import DirectSettings

from ._pages import DOCS, section, table_rows

TEXT = (DOCS / "SETTINGS.md").read_text()


def records_in(kind: Any) -> Iterator[type]:
    """Yield the record classes in a type, its fields and its type arguments."""
    if is_record(kind):
        yield kind
        for inner in field_kinds(kind).values():
            yield from records_in(inner)
    for part in get_args(kind):
        yield from records_in(part)


RECORDS = list(
    dict.fromkeys(
        record
        for top in (ProcessSettings, DirectSettings, Fleet, Team)
        for record in records_in(top)
    )
)


def is_plain(kind: Any) -> bool:
    """Return whether a type is a single value other than a record."""
    return not is_record(kind) and get_origin(kind) in (None, Annotated, Literal)


def default_of(record: Any, name: str) -> str:
    """Return a field's default as it is written on the page."""
    if name not in record._field_defaults:
        return "required"
    default = record._field_defaults[name]
    if is_record(type(default)):
        return "its fields' defaults"
    return f"`{json.dumps(to_plain(default))}`"


class TestFields:
    """Every field of every record."""

    @pytest.mark.parametrize("record", RECORDS, ids=lambda record: record.__name__)
    def test_matches_record(self, record):
        """Page and record have the same fields with the same defaults."""
        rows = table_rows(section(TEXT, f"### {record.__name__}"))[1:]
        listed = [(row[0], row[2]) for row in rows]
        defined = [
            (f"`{name}`", default_of(record, name)) for name in field_kinds(record)
        ]
        assert listed == defined

    @pytest.mark.parametrize("record", RECORDS, ids=lambda record: record.__name__)
    def test_expected(self, record):
        """A plain field has the same description of its value as in errors."""
        rows = table_rows(section(TEXT, f"### {record.__name__}"))[1:]
        listed = {row[0]: row[1] for row in rows}
        plain = {
            f"`{name}`": describe(kind)
            for name, kind in field_kinds(record).items()
            if is_plain(kind)
        }
        assert {name: listed[name] for name in plain} == plain

    def test_records(self):
        """The page has tables for the existing records and no others."""
        headings = [line[4:] for line in TEXT.splitlines() if line.startswith("### ")]
        assert headings == [record.__name__ for record in RECORDS]

    def test_meanings(self):
        """Every field has its expected value and its meaning described."""
        rows = [row for row in table_rows(TEXT) if len(row) == 4]
        assert [row for row in rows if "" in row or "?" in row] == []


class TestExitStatuses:
    """Exit statuses of the client."""

    def test_matches_client(self):
        """Page and client list the same statuses."""
        rows = table_rows(section(TEXT, "## The client"))[1:]
        listed = [(row[0], row[1]) for row in rows]
        defined = [(str(code.value), f"`{code.name.lower()}`") for code in ExitCode]
        assert listed == defined
