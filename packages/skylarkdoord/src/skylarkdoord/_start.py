"""Entry point of the process; handles signals while the modules are imported."""

import signal
import types


def _exit(number: int, frame: types.FrameType | None) -> None:
    raise SystemExit(0)


def main() -> None:
    """Run the command line, with handlers for signals during the imports.

    Importing the modules takes a considerable part of a second. In that time SIGHUP
    is ignored, because the settings have not been read yet, and SIGTERM exits
    immediately, because there is no work to finish.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)
    from skylarkdoord.cli import main as command

    command()
