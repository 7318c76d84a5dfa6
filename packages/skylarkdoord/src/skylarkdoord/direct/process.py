"""Runs a process that dispatches directly."""

from collections.abc import Callable
from pathlib import Path

from skylarkdoor import events
from skylarkdoor.exceptions import SettingsError
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord._lifetime import live
from skylarkdoord.direct._settings import DirectSettings, load_direct

__all__ = ["Builder", "Reloader", "run"]

Builder = Callable[[Kernel, DirectSettings], None]


class Reloader:
    """Reads the settings file again when told to.

    The level of logs changes at once; what else changed is told in the logs and
    needs a restart.

    Args:
        path: The settings file.
        settings: The settings in force.
    """

    def __init__(self, path: str | Path, settings: DirectSettings) -> None:
        self.path = path
        self.settings = settings
        self.log = events.get_logger("process")

    def reload(self) -> None:
        """Read the file; settings that are wrong change nothing."""
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
        self.log.event(_events.PROCESS_RELOADED, changed=changed)


def run(path: str | Path, settings: DirectSettings, build: Builder) -> int:
    """Run a process until it is told to stop.

    Args:
        path: The settings file, read again on SIGHUP.
        settings: What it held at the start.
        build: Registers the services of the role.

    Returns:
        The exit status.
    """
    events.configure(level=settings.log_level, instance=settings.instance)
    return live(
        lambda kernel: build(kernel, settings),
        reload=Reloader(path, settings).reload,
    )
