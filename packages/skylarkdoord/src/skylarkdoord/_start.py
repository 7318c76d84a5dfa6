"""Entry point of the process; handles signals while the modules are imported."""

import os
import signal
import types


def _exit(number: int, frame: types.FrameType | None) -> None:
    # The import system and libraries swallow an exception raised in some places.
    os._exit(0)


def main() -> None:
    """Run the command line, with handlers for signals during the imports.

    Importing the modules takes a considerable part of a second. In that time SIGHUP
    is ignored, because the settings have not been read yet, and SIGTERM exits
    immediately, because there is no work to finish.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)
    from skylarkdoor import events, unhandled

    events.configure()
    unhandled.watch_exceptions()
    from skylarkdoord.cli import main as command

    command()
