"""The table's HTTP side: etcd's v3 JSON gateway."""

import json
from collections.abc import Callable

from aiohttp import web

from skylarkdoor_standins.platform._faults import FaultGate
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
    """Answers the gateway's requests from one `Store`."""

    def __init__(self, gate: FaultGate):
        self.gate = gate
        self.store = Store()
        self.frozen = Store()

    def routes(self) -> list[web.RouteDef]:
        """Return the gateway's routes."""
        return [
            web.post("/v3/kv/range", self._range),
            web.post("/v3/kv/put", self._put),
            web.post("/v3/kv/deleterange", self._delete),
            web.post("/v3/kv/txn", self._txn),
        ]

    def freeze(self) -> None:
        """Keep the present state for stale reads."""
        self.frozen = self.store.snapshot()

    async def _range(self, request: web.Request) -> web.Response:
        return await self._answer(request, apply_range, is_write=False)

    async def _put(self, request: web.Request) -> web.Response:
        return await self._answer(request, apply_put, is_write=True)

    async def _delete(self, request: web.Request) -> web.Response:
        return await self._answer(request, apply_delete, is_write=True)

    async def _txn(self, request: web.Request) -> web.Response:
        is_write = has_writes(snake_case(await request.json()))
        return await self._answer(request, apply_txn, is_write=is_write)

    async def _answer(
        self, request: web.Request, apply: _Apply, *, is_write: bool
    ) -> web.Response:
        message = snake_case(json.loads(await request.read()))
        return await self.gate.answer(
            request,
            lambda: _respond(apply, self.store, message),
            is_write=is_write,
            operate_stale=lambda: _respond(apply, self.frozen, message),
        )


def _respond(apply: _Apply, store: Store, message: Json) -> web.Response:
    try:
        return web.json_response(apply(store, message))
    except InvalidRequestError as error:
        body = {"error": str(error), "code": _INVALID_ARGUMENT, "message": str(error)}
        return web.json_response(body, status=400)
