"""Runs the services of a daemon process; handles signals and the exit status."""

import asyncio
import signal
from collections.abc import Callable

from skylarkdoor import events, unhandled
from skylarkdoor.kernel import Kernel
from skylarkdoor.wire import CLOSED_CONNECTION_ERRORS
from skylarkdoord import _events
from skylarkdoord._exit import EXIT_FAILED, EXIT_OK, EXIT_SETTINGS
from skylarkdoord._loop_monitor import LoopMonitor

# Errors in the last line of the log; those of further services are left out.
MAX_ERRORS = 3


def _log_no_reload() -> None:
    events.get_logger("process").event(_events.PROCESS_RELOADED, changed=False)


def run_services(
    build: Callable[[Kernel], None],
    *,
    reload: Callable[[], None] = _log_no_reload,
    settings_errors: tuple[type[Exception], ...] = (),
) -> int:
    """Run services until SIGTERM or SIGINT, or until a service fails.

    The last line of the log tells how the process ended.

    Args:
        build: Registers the services.
        reload: Called on SIGHUP. The default only logs that nothing changed.
        settings_errors: Errors of `build` that mean that the settings are wrong.

    Returns:
        The exit status of the process.
    """
    unhandled.watch_libraries(CLOSED_CONNECTION_ERRORS)
    try:
        asyncio.run(_run_services(build, reload))
    except BaseException as error:
        _log_failure(error)
        if isinstance(error, SystemExit):
            raise
        is_setting = isinstance(error, settings_errors)
        return EXIT_SETTINGS if is_setting else EXIT_FAILED
    events.get_logger("process").event(_events.PROCESS_STOPPED)
    return EXIT_OK


def _log_failure(error: BaseException) -> None:
    group = error.exceptions if isinstance(error, BaseExceptionGroup) else (error,)
    events.get_logger("process").event(
        _events.PROCESS_FAILED,
        errors=[unhandled.describe(one) for one in group[:MAX_ERRORS]],
        frames=unhandled.error_fields(group[0])["frames"],
    )


async def _run_services(
    build: Callable[[Kernel], None], reload: Callable[[], None]
) -> None:
    kernel = Kernel()
    kernel.register(LoopMonitor())
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(unhandled.LoopErrors(CLOSED_CONNECTION_ERRORS))
    build(kernel)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, kernel.request_stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await kernel.run()
