"""Services that both entries and sidecars run."""

from skylarkdoor.backoff import Backoff
from skylarkdoor.suspicion import Suspicion, Suspicions, crash_id
from skylarkdoord.common._drain_state import DrainState
from skylarkdoord.common._internal import InternalServer
from skylarkdoord.common._platform import Platform
from skylarkdoord.common._settings import SettingsService
from skylarkdoord.common._settings_exchange import Exchange
from skylarkdoord.common._tls_service import TlsService

__all__ = [
    "Backoff",
    "DrainState",
    "Exchange",
    "InternalServer",
    "Platform",
    "SettingsService",
    "Suspicion",
    "Suspicions",
    "TlsService",
    "crash_id",
]
