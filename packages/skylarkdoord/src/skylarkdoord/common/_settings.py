"""The shared settings that are active in this process."""

import time
from collections.abc import Callable

from skylarkdoor import events, invariants
from skylarkdoor.clients import Row
from skylarkdoor.exceptions import SettingsError
from skylarkdoor.failures import reason
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
from skylarkdoord._listeners import call_all
from skylarkdoord.common import _rows as rows
from skylarkdoord.common._compressed_rows import CompressedRows
from skylarkdoord.common._internal import InternalServer
from skylarkdoord.common._platform import Platform
from skylarkdoord.common._settings_exchange import SettingsExchanges
from skylarkdoord.common._settings_poll import SettingsPoll

# Longest wait at start for newer settings from peers.
PEER_SYNC_TIMEOUT_S = 1.0

NEVER_REVERTS = invariants.define(
    "settings_never_revert", "The active revision of a subtree never decreases."
)


class SettingsService:
    """Maintains the active settings from the table, the peers and the snapshot.

    Args:
        looks_up_customers: Whether this process looks up customers. If not, it
            forwards the teams' rows to peers without parsing them.

    Attributes:
        highest_revisions: Highest revision received for each path, valid or not.
        rejected_revisions: Rejected revisions that are newer than the active one, for
            each path that has any.
        was_ready: Whether `is_ready` has returned true.
    """

    name = "settings"
    requires: tuple[str, ...] = ("platform",)

    def __init__(self, *, looks_up_customers: bool = True) -> None:
        self.looks_up_customers = looks_up_customers
        self.view = SettingsView()
        self.rows = CompressedRows()
        self.highest_revisions: dict[str, int] = {}
        self.rejected_revisions: dict[str, set[int]] = {}
        self.listeners: list[Callable[[Subtree], None]] = []
        self.exchanges = SettingsExchanges(self)
        self.ready_at: float | None = None
        self.was_ready = False
        self.log = events.get_logger("settings")

    async def start(self, kernel: Kernel) -> None:
        """Start polling the table; the process is not ready without fleet settings."""
        internal = kernel.find("internal", InternalServer)
        internal.add_ready_check("settings", self.is_ready)
        internal.add_status("settings", self.revisions)
        self.poll = SettingsPoll(kernel.find("platform", Platform), self)
        self.task = kernel.supervise(self.poll.run, name="settings.poll")

    async def stop(self) -> None:
        """Stop polling while the platform's clients are still open; end all fetches."""
        self.task.cancel()
        self.exchanges.close()

    def is_ready(self) -> bool:
        """Return whether the fleet's settings were active and up to date with peers.

        Peers that do not send their revisions or settings within
        `PEER_SYNC_TIMEOUT_S` are not waited for. Once ready, the process stays ready:
        a stream that ends and a newer revision are normal operation.
        """
        if self.ready_at is None:
            return False
        is_overdue = time.monotonic() >= self.ready_at
        if is_overdue or self.exchanges.is_synchronized:
            self.was_ready = True
        return self.was_ready

    def revisions(self) -> dict[str, int]:
        """Return the active revision of each subtree by path."""
        return {path: tree.revision for path, tree in self.view.subtrees.items()}

    def highest_revision(self, path: str) -> int:
        """Return the highest revision received for a path, valid or not."""
        return self.highest_revisions.get(path, 0)

    def lacks(self, path: str, revision: int) -> bool:
        """Return whether a revision is newer than the active one and not rejected."""
        is_rejected = revision in self.rejected_revisions.get(path, ())
        return revision > self.view.revision(path) and not is_rejected

    def apply_table_row(self, row: Row) -> bool:
        """Apply a row read from the table if it is valid and newer.

        Returns:
            Whether the row could be decoded.
        """
        path = rows.subtree_from_key(row.key)
        decoded = self._decode(path, row.value)
        if decoded is not None:
            self.apply_row(path, decoded)
        return decoded is not None

    def apply_encoded_row(self, path: str, value: bytes) -> None:
        """Apply an encoded settings row if it is valid and newer."""
        decoded = self._decode(path, value)
        if decoded is not None:
            self.apply_row(path, decoded)

    def apply_row(self, path: str, row: rows.SettingsRow) -> None:
        """Apply a settings row if it is valid and newer.

        A revision that was rejected is tried again, as the cause may have passed.
        """
        if row.revision <= self.view.revision(path):
            return
        highest = max(row.revision, self.highest_revision(path))
        self.highest_revisions[path] = highest
        try:
            content = self._parse_content(path, row)
            self.rows[path] = row
        except Exception as error:
            # Whatever is wrong with one subtree, the others hold.
            self.rejected_revisions.setdefault(path, set()).add(row.revision)
            self._log_rejected(path, error)
            return
        self._forget_rejected(path, row.revision)
        self.apply(Subtree(path, row.revision, content))

    def apply(self, subtree: Subtree) -> None:
        """Make a subtree active and notify the peers and the listeners."""
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
            self.ready_at = time.monotonic() + PEER_SYNC_TIMEOUT_S
        self.log.event(
            _events.SETTINGS_APPLIED, path=subtree.path, revision=subtree.revision
        )
        self.exchanges.on_applied(subtree.path, subtree.revision)
        call_all(self.listeners, subtree)

    def _decode(self, path: str, value: bytes) -> rows.SettingsRow | None:
        try:
            return rows.decode_settings(value, subtree=path)
        except Exception as error:
            self._log_rejected(path, error)
            return None

    def _log_rejected(self, path: str, error: Exception) -> None:
        # The text of other errors may contain what was received.
        problem = str(error) if isinstance(error, SettingsError) else reason(error)
        self.log.event(_events.SETTINGS_REJECTED, path=path, error=problem)

    def _forget_rejected(self, path: str, revision: int) -> None:
        rejected = self.rejected_revisions.pop(path, set())
        newer = {other for other in rejected if other > revision}
        if newer:
            self.rejected_revisions[path] = newer

    def _parse_content(self, path: str, row: rows.SettingsRow) -> Fleet | Team:
        is_team = path != FLEET_PATH
        if is_team and (row.document is None or not self.looks_up_customers):
            return Team(customers={})
        return check_document(path, row.document)
