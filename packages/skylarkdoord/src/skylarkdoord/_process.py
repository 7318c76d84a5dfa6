"""Life of one daemon process: set-up, signals, exit status."""

import asyncio
import signal
from collections.abc import Callable

from skylarkdoor import events, invariants, tracing
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import _events
from skylarkdoord.direct import DirectSettings

Builder = Callable[[Kernel, ProcessSettings], None]

EXIT_OK = 0
EXIT_FAILED = 1


def run(settings: ProcessSettings, build: Builder) -> int:
    """Run a process until it is told to stop.

    Args:
        settings: The process's own settings.
        build: Registers the services of the role.

    Returns:
        The exit status.
    """
    events.configure(level=settings.log_level, instance=settings.instance)
    tracing.configure(instance=settings.instance, sample_ratio=settings.trace_ratio)
    invariants.configure(
        fatal=settings.fatal_invariants, exit_process=settings.fatal_invariants
    )
    return asyncio.run(_serve(lambda kernel: build(kernel, settings)))


def run_direct(
    settings: DirectSettings, build: Callable[[Kernel, DirectSettings], None]
) -> int:
    """Run a direct entry or a guard until it is told to stop.

    Args:
        settings: The process's own settings.
        build: Registers the services of the role.

    Returns:
        The exit status.
    """
    events.configure(level=settings.log_level, instance=settings.instance)
    return asyncio.run(_serve(lambda kernel: build(kernel, settings)))


async def _serve(build: Callable[[Kernel], None]) -> int:
    log = events.get_logger("process")
    kernel = Kernel()
    build(kernel)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, kernel.request_stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.event(_events.PROCESS_RELOADED))
    try:
        await kernel.run()
    except ExceptionGroup as group:
        errors = [repr(error) for error in group.exceptions]
        log.event(_events.PROCESS_FAILED, errors=errors)
        return EXIT_FAILED
    log.event(_events.PROCESS_STOPPED)
    return EXIT_OK
