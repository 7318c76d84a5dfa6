"""HTTP for callers and for the balancer's readiness check."""

import asyncio
import json
import time
import weakref
from typing import NamedTuple

from aiohttp import web
from multidict import CIMultiDict

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord.direct._adapter import RawHead
from skylarkdoord.direct._first_tries import FirstTries
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._forward import Forwarding, Parts
from skylarkdoord.direct._metrics import DURATION, REQUESTS
from skylarkdoord.direct._model import Admitted, CallerRequest
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.exceptions import (
    BadCallError,
    FleetUnknownError,
    KeyUnknownError,
    QuotaError,
    RouteAbsentError,
)
from skylarkdoord.exceptions import NotRunError, OutcomeUnknownError

MAX_HEADER_BYTES = 64 * 1024
STARTING_RETRY_AFTER_S = 0.5
# The balancer needs two failed checks, a second apart, to turn callers away.
DRAIN_NOTICE_S = 2.5
# What is left of the shutdown's time once requests are cut.
SHUTDOWN_MARGIN_S = 1.0


class Problem(NamedTuple):
    """An answer of this entry's own.

    Attributes:
        status: HTTP status.
        code: Stable code for programs.
        message: One sentence for people.
        retry_after_s: When the caller may come back, in seconds.
    """

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


class CallerServer:
    """Listens for callers; one task serves each connection.

    Args:
        settings: Settings of this process.
        fleet: Routes, customers and upstreams.
        parts: What forwarding works with.
    """

    name = "callers"
    requires: tuple[str, ...] = ("fleet",)

    def __init__(self, settings: DirectSettings, fleet: Fleet, parts: Parts) -> None:
        self.settings = settings
        self.shutdown_timeout_s = settings.shutdown_timeout_s
        self.fleet = fleet
        self.parts = parts
        self.is_leaving = False
        self.drain_notice_s = DRAIN_NOTICE_S
        self.first_tries = FirstTries()
        self.used: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self.busy: set[object] = set()
        self.idle = asyncio.Event()
        self.log = events.get_logger("direct.callers")
        self.runners: list[web.ServerRunner] = []

    async def start(self, kernel: Kernel) -> None:
        """Listen on both addresses."""
        assert self.settings.listen.callers is not None
        assert self.settings.listen.ready is not None
        self.callers = await self.listen(self.settings.listen.callers, self.answer)
        await self.listen(self.settings.listen.ready, self.answer_ready)
        self.log.event(_events.PROCESS_READY, address=self.settings.listen.callers)

    async def listen(self, address: str, handler: object) -> web.ServerRunner:
        """Serve HTTP on an address."""
        server = web.Server(
            handler,  # type: ignore[arg-type]
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            lingering_time=0.5,
        )
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_MARGIN_S)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=1024).start()
        self.runners.append(runner)
        return runner

    async def stop(self) -> None:
        """Turn callers away, finish what runs, then close."""
        began = time.monotonic()
        self.is_leaving = True
        self.log.event(_events.DRAIN_STARTED, reason="shutdown", running=len(self.busy))
        await asyncio.sleep(self.drain_notice_s)
        for site in list(self.callers.sites):
            await site.stop()
        self.close_idle()
        left_s = self.shutdown_timeout_s - SHUTDOWN_MARGIN_S
        left_s -= time.monotonic() - began
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                while self.busy:
                    self.idle.clear()
                    await self.idle.wait()
            self.log.event(_events.DRAIN_ENDED)
        except TimeoutError:
            self.log.event(_events.DRAIN_TIMED_OUT, running=len(self.busy))
        for runner in self.runners:
            await runner.cleanup()
        await self.parts.client.close()

    def close_idle(self) -> None:
        """Close the connections that wait for a request; the others end with theirs."""
        assert self.callers.server is not None
        for connection in self.callers.server.connections:
            if connection not in self.busy and connection.transport is not None:
                connection.transport.close()

    async def answer_ready(self, raw: web.BaseRequest) -> web.StreamResponse:
        """Tell the balancer whether callers may be sent here."""
        if raw.path != self.parts.adapter.readiness_path:
            return web.Response(status=404)
        is_ready = not self.is_leaving and self.fleet.routing is not None
        return web.Response(status=200 if is_ready else 503)

    async def answer(self, raw: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        self.busy.add(raw.protocol)
        try:
            response = await self.answer_problems(raw, time.monotonic())
        finally:
            self.busy.discard(raw.protocol)
            if not self.busy:
                self.idle.set()
        if self.is_leaving:
            response.force_close()
        return response

    async def answer_problems(
        self, raw: web.BaseRequest, received: float
    ) -> web.StreamResponse:
        """Serve one request; what goes wrong is answered in one form."""
        request: CallerRequest | None = None
        try:
            request = await self.read(raw, received)
            admitted = self.fleet.table.admit(request, self.first_tries)
            return await self.serve(raw, admitted)
        except BadCallError as error:
            problem = Problem(error.status, "bad_request", str(error))
        except RouteAbsentError as error:
            problem = Problem(404, "route_absent", str(error))
        except KeyUnknownError as error:
            problem = Problem(401, "key_unknown", str(error))
        except FleetUnknownError as error:
            problem = Problem(
                503, "starting", str(error), retry_after_s=STARTING_RETRY_AFTER_S
            )
        return self.refuse(request, problem)

    async def read(self, raw: web.BaseRequest, received: float) -> CallerRequest:
        """Return the whole request.

        Raises:
            BadCallError: It is malformed or too large.
        """
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in raw.raw_headers
        )
        head = RawHead(raw.method, raw.raw_path, headers)
        request = self.parts.adapter.read_request(head, received)
        most = self.fleet.table.config.max_body_bytes
        chunks: list[bytes] = []
        size = 0
        while chunk := await raw.content.readany():
            size += len(chunk)
            if size > most:
                raise BadCallError(413, f"expected a body of at most {most} bytes")
            chunks.append(chunk)
        return request._replace(
            body=b"".join(chunks), is_kept=self.is_kept(raw.transport)
        )

    def is_kept(self, connection: asyncio.BaseTransport | None) -> bool:
        """Return whether a connection carried a request before; now it has."""
        if connection is None:
            return False
        is_kept = connection in self.used
        self.used.add(connection)
        return is_kept

    async def serve(
        self, raw: web.BaseRequest, admitted: Admitted
    ) -> web.StreamResponse:
        """Forward a request and account for its outcome."""
        outcome = "left"
        try:
            forwarding = Forwarding(
                self.parts, admitted, raw, is_leaving=self.is_leaving
            )
            response = await forwarding.serve()
            outcome = "answered"
            return response
        except QuotaError as error:
            outcome = "limited"
            problem = Problem(
                429, error.code, error.message, retry_after_s=error.retry_after_s
            )
        except NotRunError as error:
            outcome = "refused"
            problem = Problem(
                503, error.code, error.message, retry_after_s=error.retry_after_s
            )
        except OutcomeUnknownError as error:
            outcome = "unknown"
            problem = Problem(502, "outcome_unknown", str(error))
        except TimeoutError:
            outcome = "timeout"
            problem = Problem(504, "timeout", "the answer did not come in time")
        finally:
            tier = str(admitted.rank)
            REQUESTS.labels(tier, outcome).inc()
            DURATION.labels(tier).observe(time.monotonic() - admitted.request.received)
        return self.refuse(
            admitted.request,
            problem,
            route=admitted.route.name,
            rank=admitted.rank,
            config_version=admitted.version,
        )

    def refuse(
        self, request: CallerRequest | None, problem: Problem, **fields: object
    ) -> web.Response:
        """Return an answer of this entry's own, and log why with further fields."""
        request_id = request.request_id if request else ""
        self.log.event(
            _events.REQUEST_GIVEN_UP,
            request_id=request_id,
            status=problem.status,
            code=problem.code,
            reason=problem.message,
            retry_after_s=problem.retry_after_s,
            **fields,
        )
        headers = self.parts.adapter.own_headers(request_id, problem.retry_after_s)
        said = {"error": {"code": problem.code, "message": problem.message}}
        return web.Response(
            status=problem.status,
            headers=CIMultiDict(headers),
            body=json.dumps(said).encode(),
            content_type="application/json",
        )
