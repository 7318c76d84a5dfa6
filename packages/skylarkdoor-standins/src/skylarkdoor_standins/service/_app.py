"""HTTP application of the service stand-in.

The service accepts any method and path and responds with the metadata of the request.
"""

import asyncio
import hashlib
import os
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import NamedTuple

from aiohttp import web

CRASH_EXIT_STATUS = 70


class FaultMode(StrEnum):
    """How a fault affects the next requests."""

    OK = "ok"
    SLOW = "slow"
    """Run the request with an additional delay."""
    CUT = "cut"
    """Run the request, then close the connection after half of the response body."""
    ERROR = "error"
    """Run the request, then respond with 500."""
    NO_STATUS = "no_status"
    """Run the request, then respond with status 000, which is not valid HTTP."""
    CRASH = "crash"
    """Exit the process while the request runs."""


@dataclass(frozen=True)
class Fault:
    """A fault of the service.

    Attributes:
        mode: How the fault affects requests.
        delay_s: The additional delay in seconds, for mode ``slow``.
        count: The number of further requests that the fault affects; None for no
            limit.
    """

    mode: FaultMode = FaultMode.OK
    delay_s: float = 0.0
    count: int | None = None


class Execution(NamedTuple):
    """The metadata of one execution of a request.

    Attributes:
        execution: The execution's number; the first is 1.
        method: The HTTP method.
        path: The path with the query.
        request_id: The ``X-Request-Id`` header, or an empty string.
        idempotency_key: The ``Idempotency-Key`` header, or an empty string.
        body_sha256: The SHA-256 digest of the body, in hex.
    """

    execution: int
    method: str
    path: str
    request_id: str
    idempotency_key: str
    body_sha256: str


def create_app(
    *, latency_s: float, concurrency: int, crash_on: str = ""
) -> web.Application:
    """Return the HTTP application of the service.

    Args:
        latency_s: The duration of each request in seconds.
        concurrency: The number of requests that run concurrently; others wait.
        crash_on: The process exits when it runs a request whose body contains this
            text; empty for none.
    """
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(_ServiceHandlers(latency_s, concurrency, crash_on).routes())
    return app


class _ServiceHandlers:
    """Request handlers of the service's HTTP API."""

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
            if fault.mode is FaultMode.CRASH or is_poison:
                os._exit(CRASH_EXIT_STATUS)
            delay_s = fault.delay_s if fault.mode is FaultMode.SLOW else 0.0
            await asyncio.sleep(self.latency_s + delay_s)
        headers = {"X-Request-Id": execution.request_id}
        if fault.mode is FaultMode.ERROR:
            return web.json_response({"error": "fault"}, status=500, headers=headers)
        response = web.json_response(execution._asdict(), headers=headers)
        if fault.mode is FaultMode.CUT:
            return await _send_truncated(request, response)
        if fault.mode is FaultMode.NO_STATUS:
            return _send_without_status(request, execution.request_id)
        return response

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
            remaining = fault.count - 1
            self.fault = replace(fault, count=remaining) if remaining > 0 else Fault()
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
            mode = FaultMode(settings.get("mode", "ok"))
            self.fault = Fault(**{**settings, "mode": mode})
        except (TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"invalid fault: {error}") from error
        return await self._show_faults(request)


async def _send_truncated(
    request: web.Request, response: web.Response
) -> web.StreamResponse:
    body = response.body if isinstance(response.body, bytes) else b""
    truncated = web.StreamResponse(headers=response.headers)
    truncated.content_length = len(body)
    await truncated.prepare(request)
    await truncated.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.close()
    return truncated


def _send_without_status(request: web.Request, request_id: str) -> web.Response:
    """Write a response that aiohttp would not send, and close the connection."""
    head = f"HTTP/1.1 000 None\r\nX-Request-Id: {request_id}\r\nContent-Length: 2\r\n"
    if request.transport is not None:
        request.transport.write(head.encode() + b"\r\n{}")
        request.transport.close()
    return web.Response()
