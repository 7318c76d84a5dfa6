"""The instance list, in the format of Prometheus HTTP service discovery."""

from typing import TypedDict

from aiohttp import web

from skylarkdoor_standins._lagged import Lagged
from skylarkdoor_standins.platform._faults import FaultInjector


class TargetGroup(TypedDict):
    """The addresses and labels of one instance."""

    targets: list[str]
    labels: dict[str, str]


_Groups = dict[str, TargetGroup]


class InstanceService:
    """The HTTP API of the instance list; readers see changes after a lag.

    Args:
        injector: The fault injection of the service.
        lag_s: The age of the list as read, in seconds.
    """

    def __init__(self, injector: FaultInjector, *, lag_s: float):
        self.injector = injector
        self.groups: _Groups = {}
        self.stale_groups: _Groups = {}
        self._lagged_groups: Lagged[_Groups] = Lagged({}, lag_s=lag_s)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that read the list and those that change it."""
        return [
            web.get("/sd/instances", self._list),
            web.post("/sd/instances", self._register),
            web.patch("/sd/instances/{name}", self._update_labels),
            web.delete("/sd/instances/{name}", self._deregister),
        ]

    def freeze(self) -> None:
        """Store the list as currently visible, for stale reads."""
        self.stale_groups = self._lagged_groups.get()

    async def _list(self, request: web.Request) -> web.Response:
        return await self.injector.handle(
            request,
            lambda: web.json_response(list(self._lagged_groups.get().values())),
            is_write=False,
            read_stale=lambda: web.json_response(list(self.stale_groups.values())),
        )

    async def _register(self, request: web.Request) -> web.Response:
        group: TargetGroup = await request.json()
        name = group["labels"].get("instance")
        if not name:
            raise web.HTTPBadRequest(text="labels.instance is missing")
        self._set_groups({**self.groups, name: group})
        return web.Response(status=201)

    async def _update_labels(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        current = self.groups.get(name)
        if current is None:
            raise web.HTTPNotFound(text=f"instance {name} is not registered")
        labels = {**current["labels"], **await request.json()}
        group = TargetGroup(targets=current["targets"], labels=labels)
        self._set_groups({**self.groups, name: group})
        return web.Response(status=204)

    async def _deregister(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        remaining = {key: group for key, group in self.groups.items() if key != name}
        self._set_groups(remaining)
        return web.Response(status=204)

    def _set_groups(self, groups: _Groups) -> None:
        self.groups = groups
        self._lagged_groups.set(groups)
