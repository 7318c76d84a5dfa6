"""The sidecar: queues requests for one upstream and limits the load on it."""

from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord.admin import DrainRoute
from skylarkdoord.common import (
    DrainState,
    InternalServer,
    Platform,
    SettingsService,
    TlsService,
)
from skylarkdoord.planner import Planner
from skylarkdoord.sidecar._claims import Claims
from skylarkdoord.sidecar._dispatch import DispatchService
from skylarkdoord.sidecar._drain import Drain
from skylarkdoord.sidecar._fairness import WaitingOffer
from skylarkdoord.sidecar._ledger import Ledger, Phase
from skylarkdoord.sidecar._peers import PeerServer
from skylarkdoord.sidecar._poison import Poison
from skylarkdoord.sidecar._queue import OfferQueue
from skylarkdoord.sidecar._scheduler import Scheduler

__all__ = [
    "Claims",
    "DispatchService",
    "Drain",
    "Ledger",
    "OfferQueue",
    "PeerServer",
    "Phase",
    "Poison",
    "Scheduler",
    "WaitingOffer",
    "build",
]


def build(kernel: Kernel, settings: ProcessSettings) -> None:
    """Register the services of a sidecar process."""
    kernel.register(TlsService(settings))
    kernel.register(Platform(settings.platform))
    kernel.register(SettingsService(looks_up_customers=False))
    kernel.register(DrainState())
    kernel.register(DrainRoute(settings))
    scheduler = Scheduler(settings)
    kernel.register(scheduler)
    kernel.register(Claims(settings))
    kernel.register(Poison(settings))
    kernel.register(DispatchService(settings))
    kernel.register(PeerServer(settings))
    kernel.register(
        InternalServer(
            settings, requires=("settings", "scheduler", "dispatch", "drain-orders")
        )
    )
    kernel.register(
        Planner(
            settings,
            incarnation=scheduler.ledger.incarnation,
            is_idle=lambda: scheduler.running == 0,
        )
    )
    kernel.register(Drain(settings))
