"""Runs a process that dispatches directly."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from skylarkdoor import events
from skylarkdoor.exceptions import SettingsError
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord._lifetime import live
from skylarkdoord.direct._settings import DirectSettings, load_direct

__all__ = ["Apply", "Builder", "SettingsFile", "run"]

Apply = Callable[[DirectSettings], None]
Builder = Callable[[Kernel, DirectSettings], Apply]

# Settings that are in force as soon as they are read.
APPLIED = frozenset(
    {"log_level", "retry_budget", "quota", "return_after_s", "shutdown_timeout_s"}
)
LOOK_INTERVAL_S = 1.0


class SettingsFile:
    """Reads the settings file again when it changes, and when told to.

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
        self.seen = self.look()
        self.log = events.get_logger("process")

    async def start(self, kernel: Kernel) -> None:
        """Begin to look for changes."""
        kernel.spawn(self.watch(), name="settings_file.watch")

    async def stop(self) -> None:
        """Do nothing; the kernel ends the task."""

    async def watch(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            if self.look() != self.seen:
                self.reload()

    def look(self) -> tuple[int, int, int]:
        """Return what changes whenever the file is written or replaced.

        A file that is absent, as while it is replaced, looks like none.
        """
        try:
            status = os.stat(self.path)
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def reload(self) -> None:
        """Read the file; settings that are wrong change nothing."""
        self.seen = self.look()
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
        needs_restart = sorted(set(changed) - APPLIED)
        self.log.event(
            _events.PROCESS_RELOADED, changed=changed, needs_restart=needs_restart
        )


def run(path: str | Path, settings: DirectSettings, build: Builder) -> int:
    """Run a process until it is told to stop.

    Args:
        path: The settings file.
        settings: What it held at the start.
        build: Registers the services of the role.

    Returns:
        The exit status.
    """
    events.configure(level=settings.log_level, instance=settings.instance)
    file = SettingsFile(path, settings)

    def build_all(kernel: Kernel) -> None:
        kernel.register(file)
        file.apply = build(kernel, settings)

    return live(build_all, reload=file.reload)
