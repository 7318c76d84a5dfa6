"""The lagging list of instances, as Prometheus HTTP service discovery."""

from typing import TypedDict

from aiohttp import web

from skylarkdoor_standins._lagged import Lagged
from skylarkdoor_standins.platform._faults import FaultGate


class TargetGroup(TypedDict):
    """One instance: its addresses and labels."""

    targets: list[str]
    labels: dict[str, str]


_Groups = dict[str, TargetGroup]


class InstanceService:
    """Lists the instances as they were some time ago."""

    def __init__(self, gate: FaultGate, *, lag_s: float):
        self.gate = gate
        self.groups: _Groups = {}
        self.frozen: _Groups = {}
        self._seen: Lagged[_Groups] = Lagged({}, lag_s=lag_s)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of readers and of the launcher."""
        return [
            web.get("/sd/instances", self._list),
            web.post("/sd/instances", self._register),
            web.patch("/sd/instances/{name}", self._change),
            web.delete("/sd/instances/{name}", self._remove),
        ]

    def freeze(self) -> None:
        """Keep the list as seen now for stale reads."""
        self.frozen = self._seen.get()

    async def _list(self, request: web.Request) -> web.Response:
        return await self.gate.answer(
            request,
            lambda: web.json_response(list(self._seen.get().values())),
            is_write=False,
            operate_stale=lambda: web.json_response(list(self.frozen.values())),
        )

    async def _register(self, request: web.Request) -> web.Response:
        group: TargetGroup = await request.json()
        name = group["labels"].get("instance")
        if not name:
            raise web.HTTPBadRequest(text="labels.instance is missing")
        self._replace({**self.groups, name: group})
        return web.Response(status=201)

    async def _change(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        held = self.groups.get(name)
        if held is None:
            raise web.HTTPNotFound(text=f"no instance {name}")
        labels = {**held["labels"], **await request.json()}
        group = TargetGroup(targets=held["targets"], labels=labels)
        self._replace({**self.groups, name: group})
        return web.Response(status=204)

    async def _remove(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        others = {key: group for key, group in self.groups.items() if key != name}
        self._replace(others)
        return web.Response(status=204)

    def _replace(self, groups: _Groups) -> None:
        self.groups = groups
        self._seen.set(groups)
