"""The shared settings in force in this process."""

import time
from collections.abc import Callable

from skylarkdoor import events, invariants
from skylarkdoor.clients import Row
from skylarkdoor.exceptions import SettingsError
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import (
    FLEET_PATH,
    Fleet,
    SettingsView,
    Subtree,
    Team,
    check_document,
)
from skylarkdoord import _events
from skylarkdoord.common import _rows as rows
from skylarkdoord.common._held_rows import HeldRows
from skylarkdoord.common._internal import InternalServer
from skylarkdoord.common._platform import Platform
from skylarkdoord.common._settings_exchange import SettingsExchanges
from skylarkdoord.common._settings_poll import SettingsPoll

START_GRACE_S = 1.0

NEVER_REVERTS = invariants.define(
    "settings_never_revert", "A subtree's revision in force only grows."
)


class SettingsService:
    """Holds the settings, learned from the table, peers and the snapshot.

    Args:
        knows_customers: Whether this process looks customers up; one that does
            not only passes their teams' rows on.
    """

    name = "settings"
    requires: tuple[str, ...] = ("platform",)

    def __init__(self, *, knows_customers: bool = True) -> None:
        self.knows_customers = knows_customers
        self.view = SettingsView()
        self.rows = HeldRows()
        self.seen: dict[str, int] = {}
        self.listeners: list[Callable[[Subtree], None]] = []
        self.exchanges = SettingsExchanges(self)
        self.ready_at: float | None = None
        self.log = events.get_logger("settings")

    async def start(self, kernel: Kernel) -> None:
        """Begin to read the table; readiness waits for the fleet's subtree."""
        internal = kernel.find("internal", InternalServer)
        internal.add_ready_check("settings", self.is_ready)
        internal.add_status("settings", self.revisions)
        self.poll = SettingsPoll(kernel.find("platform", Platform), self)
        self.task = kernel.spawn(self.poll.run(), name="settings.poll")

    async def stop(self) -> None:
        """End the poll, while the platform's clients are still open."""
        self.task.cancel()
        self.exchanges.close()

    def is_ready(self) -> bool:
        """Return whether settings are known and peers had time to tell newer ones."""
        if self.ready_at is None:
            return False
        return self.exchanges.is_settled or time.monotonic() >= self.ready_at

    def revisions(self) -> dict[str, int]:
        """Return the revision in force at each path."""
        return {path: tree.revision for path, tree in self.view.subtrees.items()}

    def seen_revision(self, path: str) -> int:
        """Return the highest revision met at a path, be it usable or not."""
        return self.seen.get(path, 0)

    def offer_row(self, row: Row) -> None:
        """Apply a row of the table if it is valid and newer."""
        path = rows.subtree_of(row.key)
        self.offer_value(path, row.value)

    def offer_value(self, path: str, value: bytes) -> None:
        """Apply an encoded settings row if it is valid and newer."""
        try:
            self.offer(path, rows.decode_settings(value, subtree=path))
        except SettingsError as error:
            self.log.event(_events.SETTINGS_REJECTED, path=path, error=str(error))

    def offer(self, path: str, row: rows.SettingsRow) -> None:
        """Apply a settings row if it is valid and newer."""
        if row.revision <= self.seen_revision(path):
            return
        self.seen[path] = row.revision
        try:
            content = self._content(path, row)
        except SettingsError as error:
            self.log.event(_events.SETTINGS_REJECTED, path=path, error=str(error))
            return
        self.rows[path] = row
        self.apply(Subtree(path, row.revision, content))

    def apply(self, subtree: Subtree) -> None:
        """Put a subtree in force, tell the peers and the listeners."""
        before = self.view.revision(subtree.path)
        if not self.view.apply(subtree):
            return
        invariants.check(
            NEVER_REVERTS,
            self.view.revision(subtree.path) > before,
            path=subtree.path,
            revision=subtree.revision,
            before=before,
        )
        if self.ready_at is None and subtree.path == FLEET_PATH:
            self.ready_at = time.monotonic() + START_GRACE_S
        self.log.event(
            _events.SETTINGS_APPLIED, path=subtree.path, revision=subtree.revision
        )
        self.exchanges.on_applied(subtree.path, subtree.revision)
        for listener in self.listeners:
            listener(subtree)

    def _content(self, path: str, row: rows.SettingsRow) -> Fleet | Team:
        is_team = path != FLEET_PATH
        if is_team and (row.document is None or not self.knows_customers):
            return Team(customers={})
        return check_document(path, row.document)
