"""Assembles the services of a guard.

A guard is the admission process beside one upstream: it keeps one queue for the
requests of all entries and grants slots.
"""

from skylarkdoor.kernel import Kernel
from skylarkdoord.direct._adapter import load_adapter
from skylarkdoord.direct._engine_reports import EngineReports
from skylarkdoord.direct._guard import Guard
from skylarkdoord.direct._metrics_server import MetricsServer
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.process import Apply

__all__ = ["build"]


def build(kernel: Kernel, settings: DirectSettings) -> Apply:
    """Register the services of a guard.

    Returns:
        A function that ignores changed settings, as a guard applies none while it
        runs.
    """
    kernel.stop_timeout_s = settings.stop_timeout_s
    kernel.register(MetricsServer(settings))
    guard = Guard(settings)
    kernel.register(guard)
    if settings.upstream is not None:
        adapter = load_adapter(settings.adapter)
        kernel.register(EngineReports(adapter, settings.upstream, guard.on_report))
    return lambda _: None
