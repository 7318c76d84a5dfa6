"""The entry: accepts callers' requests and dispatches each to an upstream.

Several entries serve the same pools. Each offers a request to the sidecars beside
the upstreams, and sends it to the one whose grant it accepts.
"""

from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord.admin import AdminService, DrainRoute
from skylarkdoord.common import (
    DrainState,
    InternalServer,
    Platform,
    SettingsService,
    TlsService,
)
from skylarkdoord.entry._admission import Admission
from skylarkdoord.entry._callers import CallerServer
from skylarkdoord.entry._directory import Directory
from skylarkdoord.entry._explain import Explain
from skylarkdoord.entry._router import Router
from skylarkdoord.entry._snapshot import SnapshotWriter

__all__ = ["Admission", "CallerServer", "Directory", "Explain", "Router", "build"]


def build(kernel: Kernel, settings: ProcessSettings) -> None:
    """Register the services of an entry."""
    kernel.register(TlsService(settings))
    kernel.register(Platform(settings.platform))
    kernel.register(SettingsService())
    snapshot = SnapshotWriter()
    kernel.register(snapshot)
    kernel.register(AdminService(settings, on_accepted=snapshot.request))
    kernel.register(
        InternalServer(
            settings,
            requires=("settings", "directory", "admin", "drain-orders", "explain"),
        )
    )
    kernel.register(DrainState())
    kernel.register(DrainRoute(settings))
    kernel.register(Directory(settings))
    kernel.register(Explain(settings))
    kernel.register(Admission(settings))
    kernel.register(Router(settings))
    kernel.register(CallerServer(settings))
