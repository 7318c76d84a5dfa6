"""Tests of the instances that an entry knows from the list."""

from types import SimpleNamespace

from skylarkdoor.clients import InstanceRecord
from skylarkdoord.entry import Directory


def make_directory():
    """Return the directory of the entry `e-1`."""
    listen = SimpleNamespace(internal="127.0.0.1:1")
    return Directory(
        SimpleNamespace(instance="e-1", listen=listen, limits=None, data_centre="teika")
    )


def make_entry(instance):
    """Return the record of an entry."""
    return InstanceRecord(
        instance=instance,
        role="entry",
        data_centre="teika",
        state="live",
        rpc="",
        http="127.0.0.1:2",
        pool="",
    )


class TestEntryCount:
    """`Directory.entry_count`."""

    def test_before_first_read(self):
        """An entry that has not read the list counts itself."""
        assert make_directory().entry_count() == 1

    # Guards against entries that each take the retry budget of all.
    def test_listed(self):
        """All entries in the list share what is for all entries."""
        directory = make_directory()
        directory.update([make_entry(f"e-{number}") for number in range(3)])
        assert directory.entry_count() == 3
