"""HTTP application of the engine stand-in."""

import asyncio
import uuid
from collections.abc import AsyncIterator

from aiohttp import web

from skylarkdoor_standins.engine._batcher import Batcher
from skylarkdoor_standins.engine._completions import (
    ResponseBuilder,
    make_sequence,
    read_request,
)
from skylarkdoor_standins.engine._faults import UnknownFaultError
from skylarkdoor_standins.engine._metrics import render_metrics
from skylarkdoor_standins.engine._orders import (
    EngineState,
    Order,
    StaleFenceError,
    UnknownActionError,
)
from skylarkdoor_standins.engine._settings import EngineSettings
from skylarkdoor_standins.engine._streams import (
    build_full_response,
    send_stream_response,
)


def create_app(settings: EngineSettings) -> web.Application:
    """Return the HTTP application of an engine."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    handlers = _EngineHandlers(settings)
    app.add_routes(handlers.routes())
    app.cleanup_ctx.append(handlers.run_batcher)
    return app


class _EngineHandlers:
    """Request handlers of the engine's HTTP API."""

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.batcher = Batcher(settings)
        self.state = EngineState(settings)

    def routes(self) -> list[web.RouteDef]:
        return [
            web.post("/v1/chat/completions", self._complete_chat),
            web.post("/v1/completions", self._complete_text),
            web.get("/v1/models", self._models),
            web.get("/health", self._health),
            web.get("/metrics", self._metrics),
            web.get("/cache_events", self._cache_events),
            web.post("/orders", self._apply_order),
            web.get("/state", self._state),
            web.get("/faults", self._show_faults),
            web.post("/faults", self._set_faults),
            web.get("/stats", self._stats),
        ]

    async def run_batcher(self, app: web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(self.batcher.run())
        yield
        task.cancel()

    async def _complete_chat(self, request: web.Request) -> web.StreamResponse:
        return await self._complete(request, is_chat=True)

    async def _complete_text(self, request: web.Request) -> web.StreamResponse:
        return await self._complete(request, is_chat=False)

    async def _complete(
        self, request: web.Request, *, is_chat: bool
    ) -> web.StreamResponse:
        completion = read_request(await request.json(), is_chat=is_chat)
        if not self.state.is_loaded(completion.model):
            error = {
                "message": f"model {completion.model} is not loaded",
                "code": "model_not_found",
            }
            return web.json_response({"error": error}, status=404)
        request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        headers = {"X-Request-Id": request_id}
        sequence = make_sequence(completion, request_id=request_id)
        builder = ResponseBuilder(completion, sequence)
        self.batcher.submit(sequence)
        try:
            if not completion.is_stream:
                return await build_full_response(builder, sequence, headers)
            return await send_stream_response(
                request, builder, sequence, self.batcher, headers
            )
        finally:
            self.batcher.cancel(sequence)

    async def _models(self, request: web.Request) -> web.Response:
        names = sorted(self.state.models | self.state.adapters)
        data = [{"id": name, "object": "model"} for name in names]
        return web.json_response({"object": "list", "data": data})

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _metrics(self, request: web.Request) -> web.Response:
        body = render_metrics(self.batcher.load.get())
        return web.Response(body=body, headers={"Content-Type": "text/plain"})

    async def _cache_events(self, request: web.Request) -> web.Response:
        try:
            since = int(request.query.get("since", "0"))
        except ValueError as error:
            raise web.HTTPBadRequest(text="since must be an integer") from error
        events = [event._asdict() for event in self.batcher.events.since(since)]
        return web.json_response(events)

    async def _apply_order(self, request: web.Request) -> web.Response:
        body = await request.json()
        try:
            order = Order(int(body["fence"]), str(body["action"]), str(body["name"]))
            await asyncio.shield(self.state.apply(order))
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"invalid order: {error!r}") from error
        except UnknownActionError as error:
            raise web.HTTPBadRequest(text=f"unknown action: {error}") from error
        except StaleFenceError as error:
            raise web.HTTPConflict(text=str(error)) from error
        return web.json_response(self.state.as_dict())

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(self.state.as_dict())

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.json_response(self.batcher.faults.as_dict())

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.batcher.faults.update(await request.json())
        except UnknownFaultError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return await self._show_faults(request)

    async def _stats(self, request: web.Request) -> web.Response:
        return web.json_response(self.batcher.stats.as_dict())
