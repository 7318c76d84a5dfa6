"""The platform stand-in's application: its services, faults and counts."""

from dataclasses import asdict

from aiohttp import web

from skylarkdoor_standins.platform._faults import Fault, FaultGate, FaultMode
from skylarkdoor_standins.platform._instances import InstanceService
from skylarkdoor_standins.platform._objects import ObjectService
from skylarkdoor_standins.platform._stats import ServiceStats
from skylarkdoor_standins.platform._table import TableService
from skylarkdoor_standins.platform._weights import RateLimit, WeightService

LIST_LAG_S = 0.5
WEIGHT_RATE = 2.0
WEIGHT_BURST = 2


def create_app(
    *,
    list_lag_s: float = LIST_LAG_S,
    weight_rate: float = WEIGHT_RATE,
    weight_burst: int = WEIGHT_BURST,
) -> web.Application:
    """Return the platform's application.

    Args:
        list_lag_s: How old the instance list's answers are.
        weight_rate: Fetches a second that the weight store lets through.
        weight_burst: Fetches that it lets through at once.
    """
    gates = {
        name: FaultGate(ServiceStats())
        for name in ("table", "objects", "list", "weights")
    }
    table = TableService(gates["table"])
    instances = InstanceService(gates["list"], lag_s=list_lag_s)
    limit = RateLimit(rate=weight_rate, burst=weight_burst)
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(table.routes())
    app.add_routes(ObjectService(gates["objects"]).routes())
    app.add_routes(instances.routes())
    app.add_routes(WeightService(gates["weights"], limit).routes())
    app.add_routes(_Controls(gates, table, instances).routes())
    return app


class _Controls:
    """The routes that set faults and show counts."""

    def __init__(
        self,
        gates: dict[str, FaultGate],
        table: TableService,
        instances: InstanceService,
    ):
        self.gates = gates
        self._freezes = {"table": table.freeze, "list": instances.freeze}

    def routes(self) -> list[web.RouteDef]:
        return [
            web.get("/faults", self._show_faults),
            web.post("/faults", self._set_faults),
            web.get("/stats", self._show_stats),
        ]

    async def _show_faults(self, request: web.Request) -> web.Response:
        faults = {name: asdict(gate.fault) for name, gate in self.gates.items()}
        return web.json_response(faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = {
                name: Fault(**{**settings, "mode": FaultMode(settings["mode"])})
                for name, settings in (await request.json()).items()
            }
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"bad fault: {error}") from error
        unknown = faults.keys() - self.gates.keys()
        if unknown:
            raise web.HTTPBadRequest(text=f"no service {sorted(unknown)}")
        for name, fault in faults.items():
            self._set(name, fault)
        return await self._show_faults(request)

    def _set(self, name: str, fault: Fault) -> None:
        if fault.mode is FaultMode.STALE and name in self._freezes:
            self._freezes[name]()
        self.gates[name].set(fault)

    async def _show_stats(self, request: web.Request) -> web.Response:
        stats = {name: gate.stats.as_dict() for name, gate in self.gates.items()}
        return web.json_response(stats)
