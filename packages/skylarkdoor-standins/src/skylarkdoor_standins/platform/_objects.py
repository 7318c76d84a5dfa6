"""The object store's HTTP API, with path-style addresses as in S3."""

import hashlib

from aiohttp import web

from skylarkdoor_standins.platform._faults import FaultInjector


class ObjectService:
    """Stores objects by key, with conditional reads and writes."""

    def __init__(self, injector: FaultInjector):
        self.injector = injector
        self.objects: dict[str, bytes] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the store's routes; the GET route also serves HEAD."""
        return [
            web.get("/objects/{key:.+}", self._get),
            web.put("/objects/{key:.+}", self._put),
            web.delete("/objects/{key:.+}", self._delete),
        ]

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        return await self.injector.handle(
            request, lambda: self._read(request, key), is_write=False
        )

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        data = await request.read()
        return await self.injector.handle(
            request, lambda: self._write(request, key, data), is_write=True
        )

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        return await self.injector.handle(
            request, lambda: self._remove(request, key), is_write=True
        )

    def _read(self, request: web.Request, key: str) -> web.Response:
        data = self.objects.get(key)
        if data is None:
            return web.Response(status=404)
        headers = {"ETag": _etag(data)}
        if request.headers.get("If-None-Match") == _etag(data):
            return web.Response(status=304, headers=headers)
        if not self._preconditions_hold(request, key):
            return web.Response(status=412)
        return web.Response(body=data, headers=headers)

    def _write(self, request: web.Request, key: str, data: bytes) -> web.Response:
        if not self._preconditions_hold(request, key):
            return web.Response(status=412)
        self.objects[key] = data
        return web.Response(headers={"ETag": _etag(data)})

    def _remove(self, request: web.Request, key: str) -> web.Response:
        if not self._preconditions_hold(request, key):
            return web.Response(status=412)
        self.objects.pop(key, None)
        return web.Response(status=204)

    def _preconditions_hold(self, request: web.Request, key: str) -> bool:
        data = self.objects.get(key)
        current_etag = _etag(data) if data is not None else None
        if_match = request.headers.get("If-Match")
        if_none_match = request.headers.get("If-None-Match")
        if if_match is not None and if_match not in ("*", current_etag):
            return False
        if if_match == "*" and current_etag is None:
            return False
        return not (current_etag is not None and if_none_match in ("*", current_etag))


def _etag(data: bytes) -> str:
    return f'"{hashlib.md5(data).hexdigest()}"'
