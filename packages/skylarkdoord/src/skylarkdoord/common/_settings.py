"""Keeps the shared settings of this process up to date."""

import asyncio
import random
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoor.exceptions import SettingsError
from skylarkdoor.kernel import Kernel
from skylarkdoor.platform import PlatformError, Row
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
from skylarkdoord.common._internal import InternalServer
from skylarkdoord.common._platform import Platform

POLL_INTERVAL_S = 4.0
RETRY_INTERVAL_S = 0.5


class SettingsService:
    """Polls the table and puts higher revisions in force."""

    name = "settings"
    requires: tuple[str, ...] = ("platform",)

    def __init__(self) -> None:
        self.view = SettingsView()
        self.listeners: list[Callable[[Subtree], None]] = []
        self.log = events.get_logger("settings")

    async def start(self, kernel: Kernel) -> None:
        """Begin to poll; readiness waits for the fleet's subtree."""
        self.platform = kernel.find("platform", Platform)
        internal = kernel.find("internal", InternalServer)
        internal.add_ready_check("settings", self.is_ready)
        internal.add_status("settings", self.revisions)
        self.task = kernel.spawn(self.poll(), name="settings.poll")

    async def stop(self) -> None:
        """End the poll, while the platform's clients are still open."""
        self.task.cancel()

    def is_ready(self) -> bool:
        """Return whether the fleet's subtree is known."""
        return FLEET_PATH in self.view.subtrees

    def revisions(self) -> dict[str, int]:
        """Return the revision in force at each path."""
        return {path: tree.revision for path, tree in self.view.subtrees.items()}

    async def poll(self) -> None:
        """Read the table again and again."""
        while True:
            try:
                await self.refresh()
                pause = POLL_INTERVAL_S if self.is_ready() else RETRY_INTERVAL_S
            except PlatformError as error:
                self.log.event(_events.SETTINGS_POLL_FAILED, error=str(error))
                pause = RETRY_INTERVAL_S
            await asyncio.sleep(random.uniform(pause / 2, pause))

    async def refresh(self) -> None:
        """Read every subtree once.

        Raises:
            PlatformError: The table cannot be read.
        """
        listed = await self.platform.table.list(f"{rows.SETTINGS_PREFIX}/")
        for row in listed.rows:
            self.offer_row(row)

    def offer_row(self, row: Row) -> None:
        """Apply a row of the table if it is valid and newer."""
        path = rows.subtree_of(row.key)
        try:
            self.offer(path, rows.decode_settings(row.value, subtree=path))
        except SettingsError as error:
            self.log.event(_events.SETTINGS_REJECTED, path=path, error=str(error))

    def offer(self, path: str, row: rows.SettingsRow) -> None:
        """Apply a settings row if it is valid and newer."""
        if row.revision <= self.view.revision(path):
            return
        try:
            content = _content(path, row)
        except SettingsError as error:
            self.log.event(_events.SETTINGS_REJECTED, path=path, error=str(error))
            return
        self.apply(Subtree(path, row.revision, content))

    def apply(self, subtree: Subtree) -> None:
        """Put a subtree in force if it is newer and tell the listeners."""
        if not self.view.apply(subtree):
            return
        self.log.event(
            _events.SETTINGS_APPLIED, path=subtree.path, revision=subtree.revision
        )
        for listener in self.listeners:
            listener(subtree)


def _content(path: str, row: rows.SettingsRow) -> Fleet | Team:
    if row.document is None and path != FLEET_PATH:
        return Team(customers={})
    return check_document(path, row.document)
