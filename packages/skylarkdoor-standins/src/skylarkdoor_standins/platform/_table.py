"""The table's HTTP API: the v3 JSON gateway of etcd."""

import json
from collections.abc import Callable

from aiohttp import web

from skylarkdoor_standins.platform._faults import FaultInjector
from skylarkdoor_standins.platform._store import Store
from skylarkdoor_standins.platform._transactions import (
    InvalidRequestError,
    Json,
    apply_delete,
    apply_put,
    apply_range,
    apply_txn,
    has_writes,
    snake_case,
)

_Apply = Callable[[Store, Json], Json]
_INVALID_ARGUMENT = 3


class TableService:
    """Applies the gateway's requests to a `Store`."""

    def __init__(self, injector: FaultInjector):
        self.injector = injector
        self.store = Store()
        self.stale_store = Store()

    def routes(self) -> list[web.RouteDef]:
        """Return the gateway's routes."""
        return [
            web.post("/v3/kv/range", self._range),
            web.post("/v3/kv/put", self._put),
            web.post("/v3/kv/deleterange", self._delete),
            web.post("/v3/kv/txn", self._txn),
        ]

    def freeze(self) -> None:
        """Store a copy of the current state, for stale reads."""
        self.stale_store = self.store.snapshot()

    async def _range(self, request: web.Request) -> web.Response:
        return await self._handle(request, apply_range, is_write=False)

    async def _put(self, request: web.Request) -> web.Response:
        return await self._handle(request, apply_put, is_write=True)

    async def _delete(self, request: web.Request) -> web.Response:
        return await self._handle(request, apply_delete, is_write=True)

    async def _txn(self, request: web.Request) -> web.Response:
        is_write = has_writes(snake_case(await request.json()))
        return await self._handle(request, apply_txn, is_write=is_write)

    async def _handle(
        self, request: web.Request, apply: _Apply, *, is_write: bool
    ) -> web.Response:
        message = snake_case(json.loads(await request.read()))
        return await self.injector.handle(
            request,
            lambda: _apply_request(apply, self.store, message),
            is_write=is_write,
            read_stale=lambda: _apply_request(apply, self.stale_store, message),
        )


def _apply_request(apply: _Apply, store: Store, message: Json) -> web.Response:
    try:
        return web.json_response(apply(store, message))
    except InvalidRequestError as error:
        body = {"error": str(error), "code": _INVALID_ARGUMENT, "message": str(error)}
        return web.json_response(body, status=400)
