"""Start of a process, before its modules are loaded."""

import signal
import types


def _leave(number: int, frame: types.FrameType | None) -> None:
    raise SystemExit(0)


def main() -> None:
    """Run the command line, deaf to signals that come too early to matter.

    Loading the modules takes a good part of a second. A process that is told to
    read its settings again meanwhile has not read them yet; one that is told to
    stop has nothing to finish.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _leave)
    from skylarkdoord.cli import main as command

    command()
