"""Direct dispatch: entries that call upstreams themselves."""

from skylarkdoor.kernel import Kernel
from skylarkdoord.direct._adapter import (
    Adapter,
    EngineLoad,
    RawHead,
    Row,
    Rows,
    Store,
    UpstreamHead,
    load_adapter,
)
from skylarkdoord.direct._budget import Budget
from skylarkdoord.direct._call import UpstreamClient
from skylarkdoord.direct._callers import CallerServer
from skylarkdoord.direct._fleet import Fleet, FleetWatcher
from skylarkdoord.direct._forward import Parts
from skylarkdoord.direct._model import (
    Admitted,
    CallerRequest,
    Customer,
    FleetConfig,
    Repeat,
    Route,
    Service,
    Target,
    UpstreamRecord,
)
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._settings import DirectSettings, load_direct
from skylarkdoord.direct._upstreams import Upstreams

__all__ = [
    "Adapter",
    "Admitted",
    "CallerRequest",
    "Customer",
    "DirectSettings",
    "EngineLoad",
    "FleetConfig",
    "RawHead",
    "Repeat",
    "Route",
    "Row",
    "Rows",
    "Service",
    "Store",
    "Target",
    "UpstreamHead",
    "UpstreamRecord",
    "build",
    "load_adapter",
    "load_direct",
]


def build(kernel: Kernel, settings: DirectSettings) -> None:
    """Register the services of a direct entry."""
    adapter = load_adapter(settings.adapter)
    fleet = Fleet(adapter, return_after_s=settings.return_after_s)
    upstreams = Upstreams(fleet)
    parts = Parts(
        adapter=adapter,
        client=UpstreamClient(adapter),
        scheduler=Scheduler(
            upstreams, data_centre=settings.data_centre, live_entries=lambda: 4
        ),
        upstreams=upstreams,
        budget=Budget(settings.retry_budget, live_entries=lambda: 4),
        quota=Quota(),
    )
    kernel.register(FleetWatcher(settings, fleet, adapter.open_store(settings.store)))
    kernel.register(CallerServer(settings, fleet, parts))
