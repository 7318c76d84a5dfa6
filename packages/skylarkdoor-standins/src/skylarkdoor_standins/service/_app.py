"""The plain service's application."""

import asyncio
import hashlib
import os
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import NamedTuple

from aiohttp import web

CRASH_STATUS = 70


class ServiceFault(StrEnum):
    """What goes wrong with the next requests."""

    OK = "ok"
    SLOW = "slow"
    """Run for a further delay."""
    CUT = "cut"
    """Run, then cut the answer half way."""
    ERROR = "error"
    """Run, then answer 500."""
    CRASH = "crash"
    """End the process while running."""


@dataclass(frozen=True)
class Fault:
    """A fault, its delay and how many more requests it meets."""

    mode: ServiceFault = ServiceFault.OK
    delay_s: float = 0.0
    count: int | None = None


class Execution(NamedTuple):
    """One run of a request."""

    execution: int
    method: str
    path: str
    request_id: str
    idempotency_key: str
    body_sha256: str


def create_app(
    *, latency_s: float, concurrency: int, crash_on: str = ""
) -> web.Application:
    """Return the application of a plain service.

    Args:
        latency_s: How long each request runs.
        concurrency: How many run at once; others wait.
        crash_on: Ends the process while a body that contains the text is run.
    """
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(_Service(latency_s, concurrency, crash_on).routes())
    return app


class _Service:
    """Answers any method and path with what it was sent."""

    def __init__(self, latency_s: float, concurrency: int, crash_on: str):
        self.latency_s = latency_s
        self.crash_on = crash_on
        self.executions: list[Execution] = []
        self.fault = Fault()
        self._slots = asyncio.Semaphore(concurrency)

    def routes(self) -> list[web.RouteDef]:
        return [
            web.get("/health", self._health),
            web.get("/stats", self._stats),
            web.get("/faults", self._show_faults),
            web.post("/faults", self._set_faults),
            web.route("*", "/{path:.*}", self._run),
        ]

    async def _run(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        async with self._slots:
            fault = self._take_fault()
            execution = self._record(request, body)
            is_poison = self.crash_on and self.crash_on.encode() in body
            if fault.mode is ServiceFault.CRASH or is_poison:
                os._exit(CRASH_STATUS)
            delay_s = fault.delay_s if fault.mode is ServiceFault.SLOW else 0.0
            await asyncio.sleep(self.latency_s + delay_s)
        headers = {"X-Request-Id": execution.request_id}
        if fault.mode is ServiceFault.ERROR:
            return web.json_response({"error": "fault"}, status=500, headers=headers)
        answer = web.json_response(execution._asdict(), headers=headers)
        if fault.mode is ServiceFault.CUT:
            return await _send_cut(request, answer)
        return answer

    def _record(self, request: web.Request, body: bytes) -> Execution:
        execution = Execution(
            execution=len(self.executions) + 1,
            method=request.method,
            path=request.path_qs,
            request_id=request.headers.get("X-Request-Id", ""),
            idempotency_key=request.headers.get("Idempotency-Key", ""),
            body_sha256=hashlib.sha256(body).hexdigest(),
        )
        self.executions.append(execution)
        return execution

    def _take_fault(self) -> Fault:
        fault = self.fault
        if fault.count is not None:
            left = fault.count - 1
            self.fault = replace(fault, count=left) if left > 0 else Fault()
        return fault

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _stats(self, request: web.Request) -> web.Response:
        executions = [execution._asdict() for execution in self.executions]
        return web.json_response({"executions": executions})

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.json_response(asdict(self.fault))

    async def _set_faults(self, request: web.Request) -> web.Response:
        settings = await request.json()
        try:
            mode = ServiceFault(settings.get("mode", "ok"))
            self.fault = Fault(**{**settings, "mode": mode})
        except (TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"bad fault: {error}") from error
        return await self._show_faults(request)


async def _send_cut(request: web.Request, answer: web.Response) -> web.StreamResponse:
    body = answer.body if isinstance(answer.body, bytes) else b""
    response = web.StreamResponse(headers=answer.headers)
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.close()
    return response
