"""Runs a process of the roles with a sidecar in the way of requests."""

from collections.abc import Callable

from skylarkdoor import events, invariants, tracing
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord._lifetime import live

Builder = Callable[[Kernel, ProcessSettings], None]


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
    return live(lambda kernel: build(kernel, settings))
