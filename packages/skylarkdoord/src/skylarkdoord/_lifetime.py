"""Runs the services of a daemon process; handles signals and the exit status."""

import asyncio
import signal
from collections.abc import Callable

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord._loop_monitor import LoopMonitor

EXIT_OK = 0
EXIT_FAILED = 1


def _log_no_reload() -> None:
    events.get_logger("process").event(_events.PROCESS_RELOADED, changed=False)


def run_services(
    build: Callable[[Kernel], None], *, reload: Callable[[], None] = _log_no_reload
) -> int:
    """Run services until SIGTERM or SIGINT, or until a service fails.

    Args:
        build: Registers the services.
        reload: Called on SIGHUP. The default only logs that nothing changed.

    Returns:
        The exit status of the process.
    """
    return asyncio.run(_run_services(build, reload))


async def _run_services(
    build: Callable[[Kernel], None], reload: Callable[[], None]
) -> int:
    log = events.get_logger("process")
    kernel = Kernel()
    kernel.register(LoopMonitor())
    build(kernel)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, kernel.request_stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        await kernel.run()
    except ExceptionGroup as group:
        errors = [repr(error) for error in group.exceptions]
        log.event(_events.PROCESS_FAILED, errors=errors)
        return EXIT_FAILED
    log.event(_events.PROCESS_STOPPED)
    return EXIT_OK
