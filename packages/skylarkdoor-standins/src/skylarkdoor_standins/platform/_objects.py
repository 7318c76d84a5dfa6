"""The object store's HTTP side, path style as in S3."""

import hashlib

from aiohttp import web

from skylarkdoor_standins.platform._faults import FaultGate


class ObjectService:
    """Keeps objects by key, with conditional reads and writes."""

    def __init__(self, gate: FaultGate):
        self.gate = gate
        self.objects: dict[str, bytes] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the store's routes; a GET also answers HEAD."""
        return [
            web.get("/objects/{key:.+}", self._get),
            web.put("/objects/{key:.+}", self._put),
            web.delete("/objects/{key:.+}", self._delete),
        ]

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        return await self.gate.answer(
            request, lambda: self._read(request, key), is_write=False
        )

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        data = await request.read()
        return await self.gate.answer(
            request, lambda: self._write(request, key, data), is_write=True
        )

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        return await self.gate.answer(
            request, lambda: self._remove(request, key), is_write=True
        )

    def _read(self, request: web.Request, key: str) -> web.Response:
        data = self.objects.get(key)
        if data is None:
            return web.Response(status=404)
        headers = {"ETag": _etag(data)}
        if request.headers.get("If-None-Match") == _etag(data):
            return web.Response(status=304, headers=headers)
        if not self._match(request, key):
            return web.Response(status=412)
        return web.Response(body=data, headers=headers)

    def _write(self, request: web.Request, key: str, data: bytes) -> web.Response:
        if not self._match(request, key):
            return web.Response(status=412)
        self.objects[key] = data
        return web.Response(headers={"ETag": _etag(data)})

    def _remove(self, request: web.Request, key: str) -> web.Response:
        if not self._match(request, key):
            return web.Response(status=412)
        self.objects.pop(key, None)
        return web.Response(status=204)

    def _match(self, request: web.Request, key: str) -> bool:
        data = self.objects.get(key)
        held = _etag(data) if data is not None else None
        wanted = request.headers.get("If-Match")
        unwanted = request.headers.get("If-None-Match")
        if wanted is not None and wanted not in ("*", held):
            return False
        if wanted == "*" and held is None:
            return False
        return not (held is not None and unwanted in ("*", held))


def _etag(data: bytes) -> str:
    return f'"{hashlib.md5(data).hexdigest()}"'
