"""Runs a direct entry or a guard and reloads its settings file."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from skylarkdoor import events
from skylarkdoor.exceptions import SettingsError
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord._lifetime import run_services
from skylarkdoord.direct._settings import DirectSettings, load_direct
from skylarkdoord.direct.exceptions import AdapterAbsentError

__all__ = ["Apply", "Builder", "SettingsFile", "run"]

Apply = Callable[[DirectSettings], None]
Builder = Callable[[Kernel, DirectSettings], Apply]

# Settings that take effect without a restart.
RELOADABLE_SETTINGS = frozenset(
    {"log_level", "retry_budget", "quota", "return_after_s", "shutdown_timeout_s"}
)
POLL_INTERVAL_S = 1.0


class SettingsFile:
    """Reloads the settings file when it changes or when `reload` is called.

    Args:
        path: The settings file.
        settings: The settings in force.
    """

    name = "settings_file"
    requires: tuple[str, ...] = ()

    def __init__(self, path: str | Path, settings: DirectSettings) -> None:
        self.path = Path(path)
        self.settings = settings
        self.apply: Apply = lambda _: None
        self.last_status = self.file_status()
        self.log = events.get_logger("process")

    async def start(self, kernel: Kernel) -> None:
        """Start to poll the file for changes."""
        kernel.supervise(self.watch, name="settings_file.watch")

    async def stop(self) -> None:
        """Do nothing; the kernel ends the polling task."""

    async def watch(self) -> None:
        """Poll the file until cancelled; reload it when it has changed."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.file_status() != self.last_status:
                self.reload()

    def file_status(self) -> tuple[int, int, int]:
        """Return modification time in nanoseconds, size and inode number of the file.

        At least one of them changes when the file is written or replaced. All are 0
        while the file is absent.
        """
        try:
            status = os.stat(self.path)
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def reload(self) -> None:
        """Load the file and apply its settings; keep the current ones on an error."""
        self.last_status = self.file_status()
        try:
            read = load_direct(self.path)
        except SettingsError as error:
            problems = [str(problem) for problem in error.problems]
            self.log.event(_events.RELOAD_FAILED, problems=problems)
            return
        changed = [
            name
            for name, value in read._asdict().items()
            if value != getattr(self.settings, name)
        ]
        self.settings = read
        events.configure(level=read.log_level, instance=read.instance)
        self.apply(read)
        needs_restart = sorted(set(changed) - RELOADABLE_SETTINGS)
        self.log.event(
            _events.PROCESS_RELOADED, changed=changed, needs_restart=needs_restart
        )


def run(path: str | Path, settings: DirectSettings, build: Builder) -> int:
    """Run a process until it receives a signal to stop.

    Args:
        path: The settings file.
        settings: The settings loaded from the file.
        build: Registers the services of the role; returns a function that applies
            changed settings.

    Returns:
        The exit status.
    """
    events.configure(level=settings.log_level, instance=settings.instance)
    file = SettingsFile(path, settings)

    def build_all(kernel: Kernel) -> None:
        kernel.register(file)
        file.apply = build(kernel, settings)

    return run_services(
        build_all, reload=file.reload, settings_errors=(AdapterAbsentError,)
    )
