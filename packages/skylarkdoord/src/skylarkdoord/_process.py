"""Runs an entry or sidecar process, in which sidecars relay requests to upstreams."""

from collections.abc import Callable

from skylarkdoor import events, invariants, tracing
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord._lifetime import run_services

Builder = Callable[[Kernel, ProcessSettings], None]


def run(settings: ProcessSettings, build: Builder) -> int:
    """Configure logging, tracing and invariants, and run the process until it stops.

    Args:
        settings: Settings of this process.
        build: Registers the services of the role.

    Returns:
        The exit status of the process.
    """
    events.configure(level=settings.log_level, instance=settings.instance)
    tracing.configure(instance=settings.instance, sample_ratio=settings.trace_ratio)
    invariants.configure(
        fatal=settings.fatal_invariants, exit_process=settings.fatal_invariants
    )
    return run_services(lambda kernel: build(kernel, settings))
