"""Direct dispatch, in which entries call upstreams themselves.

The modules `entry` and `guard` assemble the services of the two roles. They are
separate so that a guard imports only what it needs.
"""

from skylarkdoord.direct._adapter import (
    Adapter,
    EngineLoad,
    OrderedVersion,
    RawHead,
    RolloutStatus,
    Row,
    Rows,
    Store,
    StoreVersion,
    UpstreamAge,
    UpstreamHead,
    Written,
    load_adapter,
)
from skylarkdoord.direct._model import (
    UNREAD_PREFIX,
    Admitted,
    CallerRequest,
    Customer,
    FleetConfig,
    PromptPart,
    RepeatPolicy,
    Route,
    Service,
    Target,
    UpstreamRecord,
)
from skylarkdoord.direct._settings import DirectSettings, load_direct
from skylarkdoord.direct._store_era import StoreEra

__all__ = [
    "UNREAD_PREFIX",
    "Adapter",
    "Admitted",
    "CallerRequest",
    "Customer",
    "DirectSettings",
    "EngineLoad",
    "FleetConfig",
    "OrderedVersion",
    "PromptPart",
    "RawHead",
    "RepeatPolicy",
    "RolloutStatus",
    "Route",
    "Row",
    "Rows",
    "Service",
    "Store",
    "StoreEra",
    "StoreVersion",
    "Target",
    "UpstreamAge",
    "UpstreamHead",
    "UpstreamRecord",
    "Written",
    "load_adapter",
    "load_direct",
]
