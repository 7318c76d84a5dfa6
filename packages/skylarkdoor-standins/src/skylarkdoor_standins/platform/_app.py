"""HTTP application of the platform stand-in: services, fault injection, counters."""

from dataclasses import asdict

from aiohttp import web

from skylarkdoor_standins.platform._faults import Fault, FaultInjector, FaultMode
from skylarkdoor_standins.platform._instances import InstanceService
from skylarkdoor_standins.platform._objects import ObjectService
from skylarkdoor_standins.platform._stats import ServiceStats
from skylarkdoor_standins.platform._table import TableService
from skylarkdoor_standins.platform._weights import TokenBucket, WeightService

LIST_LAG_S = 0.5
WEIGHT_FETCHES_PER_S = 2.0
WEIGHT_BURST_FETCHES = 2


def create_app(
    *,
    list_lag_s: float = LIST_LAG_S,
    weight_rate: float = WEIGHT_FETCHES_PER_S,
    weight_burst: int = WEIGHT_BURST_FETCHES,
) -> web.Application:
    """Return the HTTP application of the platform.

    Args:
        list_lag_s: The age of the instance list as read, in seconds.
        weight_rate: The number of fetches per second that the weight store allows.
        weight_burst: The number of fetches that it allows at once.
    """
    injectors = {
        name: FaultInjector(ServiceStats())
        for name in ("table", "objects", "list", "weights")
    }
    table = TableService(injectors["table"])
    instances = InstanceService(injectors["list"], lag_s=list_lag_s)
    bucket = TokenBucket(rate=weight_rate, burst=weight_burst)
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(table.routes())
    app.add_routes(ObjectService(injectors["objects"]).routes())
    app.add_routes(instances.routes())
    app.add_routes(WeightService(injectors["weights"], bucket).routes())
    app.add_routes(_ControlHandlers(injectors, table, instances).routes())
    return app


class _ControlHandlers:
    """Request handlers that set and show faults and show counters."""

    def __init__(
        self,
        injectors: dict[str, FaultInjector],
        table: TableService,
        instances: InstanceService,
    ):
        self.injectors = injectors
        self._freeze_callbacks = {"table": table.freeze, "list": instances.freeze}

    def routes(self) -> list[web.RouteDef]:
        return [
            web.get("/faults", self._show_faults),
            web.post("/faults", self._set_faults),
            web.get("/stats", self._show_stats),
        ]

    async def _show_faults(self, request: web.Request) -> web.Response:
        faults = {
            name: asdict(injector.fault) for name, injector in self.injectors.items()
        }
        return web.json_response(faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = {
                name: Fault(**{**settings, "mode": FaultMode(settings["mode"])})
                for name, settings in (await request.json()).items()
            }
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"invalid fault: {error}") from error
        unknown = faults.keys() - self.injectors.keys()
        if unknown:
            raise web.HTTPBadRequest(text=f"unknown services: {sorted(unknown)}")
        for name, fault in faults.items():
            self._set_fault(name, fault)
        return await self._show_faults(request)

    def _set_fault(self, name: str, fault: Fault) -> None:
        if fault.mode is FaultMode.STALE and name in self._freeze_callbacks:
            self._freeze_callbacks[name]()
        self.injectors[name].set(fault)

    async def _show_stats(self, request: web.Request) -> web.Response:
        stats = {
            name: injector.stats.as_dict() for name, injector in self.injectors.items()
        }
        return web.json_response(stats)
