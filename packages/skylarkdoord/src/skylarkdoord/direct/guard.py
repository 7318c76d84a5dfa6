"""The services of the guard beside an upstream."""

from skylarkdoor.kernel import Kernel
from skylarkdoord.direct._adapter import load_adapter
from skylarkdoord.direct._engine_reports import EngineReports
from skylarkdoord.direct._guard import Guard
from skylarkdoord.direct._metrics import MetricsServer
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.process import Apply

__all__ = ["build"]


def build(kernel: Kernel, settings: DirectSettings) -> Apply:
    """Register the services of an upstream's guard; nothing changes while it runs."""
    kernel.register(MetricsServer(settings))
    guard = Guard(settings)
    kernel.register(guard)
    if settings.upstream is not None:
        adapter = load_adapter(settings.adapter)
        kernel.register(EngineReports(adapter, settings.upstream, guard.on_report))
    return lambda _: None
