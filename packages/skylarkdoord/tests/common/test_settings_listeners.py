"""Tests of the listeners of the settings."""

from skylarkdoor.clients import Row
from skylarkdoord.common import SettingsService
from skylarkdoord.common._rows import SettingsRow, encode_row, settings_key

TEAM = {"customers": {}}


def table_row(path, document, revision=1):
    """Return the row of a subtree as the table has it."""
    row = SettingsRow(revision, "op", "ann", "2026-12-05T00:00:00.000Z", document)
    return Row(settings_key(path), encode_row(row), revision, revision)


def fail(subtree):
    """Raise an error."""
    raise KeyError(subtree.path)


class TestFailures:
    """A subtree that is malformed, or whose listener fails."""

    # Guards against a subtree of one team that keeps those of others old.
    def test_listener(self, caplog):
        """The subtree is active, and so are those read after it."""
        caplog.set_level("INFO", "skylarkdoor")
        service = SettingsService()
        told = []
        service.listeners += [fail, lambda subtree: told.append(subtree.path)]
        for path in ("/teams/a", "/teams/b"):
            service.apply_table_row(table_row(path, TEAM))
        assert service.revisions() == {"/teams/a": 1, "/teams/b": 1}
        assert told == ["/teams/a", "/teams/b"]
        failures = [r for r in caplog.records if r.event_name == "listener_failed"]
        assert [failure.listener for failure in failures] == ["fail", "fail"]

    def test_malformed(self):
        """A malformed subtree is rejected by itself."""
        service = SettingsService()
        broken = {"customers": {"x": {"tier": 7}}}
        for path, document in (("/teams/a", broken), ("/teams/b", TEAM)):
            service.apply_table_row(table_row(path, document))
        service.apply_table_row(Row(settings_key("/teams/c"), b"{", 1, 1))
        service.apply_table_row(table_row("/teams/d", TEAM))
        assert service.revisions() == {"/teams/b": 1, "/teams/d": 1}
