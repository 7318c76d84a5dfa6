"""HTTP server for callers and for the load balancer's readiness check."""

import asyncio
import json
import time
import weakref

from aiohttp import web
from multidict import CIMultiDict

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoord import _events
from skylarkdoord._drain import cut_off
from skylarkdoord._listening import open_site
from skylarkdoord.direct._bounded_connection import BoundedRequestHandler
from skylarkdoord.direct._caller_bodies import read_body, write_whole
from skylarkdoord.direct._caller_connections import CallerConnections
from skylarkdoord.direct._caller_heads import read_head
from skylarkdoord.direct._catch_up import CatchUp
from skylarkdoord.direct._first_attempts import FirstAttempts
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._forward import MIN_ERROR_STATUS, Forwarder
from skylarkdoord.direct._forward_dependencies import ForwarderDependencies
from skylarkdoord.direct._held_bytes import BodyHold, HeldBytes
from skylarkdoord.direct._metrics import DURATION, MEMORY_REFUSALS, REQUESTS
from skylarkdoord.direct._model import Admitted, CallerRequest
from skylarkdoord.direct._problems import STOPPING, Problem, timeout_problem
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.exceptions import (
    BadCallError,
    ConfigUnreadError,
    FleetUnknownError,
    KeyUnknownError,
    MemoryFullError,
    QuotaError,
    RouteAbsentError,
)
from skylarkdoord.exceptions import NotRunError, OutcomeUnknownError
from skylarkdoord.ingress import (
    ConnectionLimit,
    ConnectionSweeper,
    ConnectionTable,
    Handler,
    IngressLimits,
    IngressServer,
    IngressSignals,
    refuse_body,
)

MAX_HEADER_BYTES = 64 * 1024
MAX_HEADERS = 1024
# Load balancers need one connection each.
READY_LIMIT = ConnectionLimit(max_connections=64)
# Retry-After for requests on which no configuration decides yet.
STARTING_RETRY_AFTER_S = 0.5
# The load balancer stops sending callers after two failed checks, a second apart.
DRAIN_NOTICE_S = 2.5
# Passes of the event loop from the acceptance of a connection until the handler of its
# request runs.
ARRIVAL_PASSES = 8
# Longest wait for them while callers send more than is handled.
MAX_ARRIVAL_S = 0.5
# Interval at which waiting requests are looked at while the entry drains.
DRAIN_CHECK_S = 0.1
# Time for the answers of requests that are cut off.
CUT_OFF_S = 0.3
# Part of the shutdown timeout kept for closing once running requests are aborted.
SHUTDOWN_MARGIN_S = 1.0


class CallerServer:
    """Serves callers over HTTP and drains on shutdown.

    Args:
        settings: Settings of this process.
        fleet: Routes, customers and upstreams.
        dependencies: Components that forwarding depends on.
        catch_up: Lets requests wait for news that has arrived.

    Attributes:
        drain: Whether the process is shutting down, and what it can still serve.
        drain_notice_s: Time between failing the readiness check and closing the
            listeners for callers, in seconds.
        table: Connections of callers.
        running: Requests that are being forwarded, with what cuts them off.
        used_connections: Connections that have carried a request.
        busy_connections: Connections with a running request.
        all_idle: Set when the last running request ends.
    """

    name = "callers"
    requires: tuple[str, ...] = ("fleet",)

    def __init__(
        self,
        settings: DirectSettings,
        fleet: Fleet,
        dependencies: ForwarderDependencies,
        catch_up: CatchUp,
    ) -> None:
        self.catch_up = catch_up
        self.settings = settings
        self.shutdown_timeout_s = settings.shutdown_timeout_s
        self.fleet = fleet
        self.dependencies = dependencies
        self.drain = dependencies.drain
        self.drain_notice_s = DRAIN_NOTICE_S
        self.running: dict[Forwarder, asyncio.Timeout] = {}
        self.first_attempts = FirstAttempts()
        self.used_connections: weakref.WeakSet[asyncio.BaseTransport] = (
            weakref.WeakSet()
        )
        self.busy_connections: set[object] = set()
        self.all_idle = asyncio.Event()
        self.held = HeldBytes(settings.memory.bound())
        self.held.receiving = lambda: dependencies.client.buffer.budget.used
        if self.held.max_bytes is not None:
            dependencies.client.buffer.has_room = self.held.has_answer_room
        self.connections = CallerConnections(self.held)
        self.table = ConnectionTable(
            limits=self.limits,
            max_unfinished_bytes=self.held.max_unfinished,
            limit=ConnectionLimit.derived(
                settings.callers.descriptors(), settings.callers.max_connections
            ),
        )
        self.held.unfinished = lambda: self.table.unfinished.used
        self.log = events.get_logger("direct.callers")
        self.runners: list[web.ServerRunner] = []

    async def start(self, kernel: Kernel) -> None:
        """Listen on the addresses for callers and for the readiness check."""
        listen = self.settings.listen
        assert listen.callers is not None
        assert listen.ready is not None
        self.callers = await self.listen(
            kernel, listen.callers, self.handle, self.table
        )
        checks = ConnectionTable(limit=READY_LIMIT)
        await self.listen(kernel, listen.ready, self.handle_readiness, checks)
        kernel.supervise(ConnectionSweeper(self.table).run, name="callers.sweeper")
        kernel.supervise(ConnectionSweeper(checks).run, name="ready.sweeper")
        kernel.supervise(IngressSignals(self.table).run, name="callers.signals")
        if self.held.max_bytes is not None:
            kernel.supervise(self.connections.run, name="callers.connections")
        self.log.event(_events.PROCESS_READY, address=self.settings.listen.callers)

    async def listen(
        self, kernel: Kernel, address: str, handler: Handler, table: ConnectionTable
    ) -> web.ServerRunner:
        """Serve HTTP on an address and return the runner."""
        server = IngressServer(
            handler,
            table=table,
            connection_class=BoundedRequestHandler,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            lingering_time=0.5,
        )
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_MARGIN_S)
        await runner.setup()
        await open_site(kernel, address, runner)
        self.runners.append(runner)
        return runner

    def limits(self) -> IngressLimits:
        """Return the operator's limits in force; the default ones without any."""
        if self.fleet.routing is None:
            return IngressLimits()
        config = self.fleet.routing.config
        return IngressLimits(
            config.max_head_bytes, config.head_timeout_s, config.idle_timeout_s
        )

    async def stop(self) -> None:
        """Drain and close.

        The readiness check fails first, so that the load balancer stops sending callers
        before the listeners close. Running requests may finish within the shutdown
        timeout.
        """
        self.drain.start(self.shutdown_timeout_s - SHUTDOWN_MARGIN_S)
        self.log.event(
            _events.DRAIN_STARTED, reason="shutdown", running=len(self.busy_connections)
        )
        await asyncio.sleep(self.drain_notice_s)
        await self.receive_arrived()
        for site in list(self.callers.sites):
            await site.stop()
        await self.receive_arrived()
        self.close_idle()
        while self.busy_connections and self.drain.remaining_s():
            self.refuse_hopeless()
            await self.wait_until_idle(min(DRAIN_CHECK_S, self.drain.remaining_s()))
        if self.busy_connections:
            self.log.event(_events.DRAIN_TIMED_OUT, running=len(self.busy_connections))
            cut_off(self.running.values())
            await self.wait_until_idle(CUT_OFF_S)
        else:
            self.log.event(_events.DRAIN_ENDED)
        for runner in self.runners:
            await runner.cleanup()
        await self.dependencies.client.close()

    def refuse_hopeless(self) -> None:
        """Refuse the requests that wait for a slot and can't end in time any more."""
        cut_off(
            cut
            for forwarder, cut in self.running.items()
            if not forwarder.sends and not forwarder.checks.can_finish()
        )

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Wait until no request is running, or for a time in seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.busy_connections:
                    self.all_idle.clear()
                    await self.all_idle.wait()
        except TimeoutError:
            pass

    async def receive_arrived(self) -> None:
        """Let the handlers of all requests start that have arrived by now."""
        ends = time.monotonic() + MAX_ARRIVAL_S
        passes = 0
        while passes < ARRIVAL_PASSES:
            await asyncio.sleep(0)
            is_behind = self.table.reads.share.is_behind and time.monotonic() < ends
            passes = 0 if is_behind else passes + 1

    def close_idle(self) -> None:
        """Close the idle connections; busy ones are closed after their answer."""
        assert self.callers.server is not None
        for connection in self.callers.server.connections:
            if (
                connection not in self.busy_connections
                and connection.transport is not None
            ):
                connection.transport.close()

    async def handle_readiness(self, raw: web.BaseRequest) -> web.StreamResponse:
        """Answer the load balancer's check whether this entry accepts callers."""
        if raw.path != self.dependencies.adapter.readiness_path:
            return web.Response(status=404)
        is_ready = not self.drain.is_draining and self.fleet.routing is not None
        is_ready = is_ready and self.held.is_ready()
        return web.Response(status=200 if is_ready else 503)

    async def handle(self, raw: web.BaseRequest) -> web.StreamResponse:
        """Answer one request and track its connection as busy."""
        self.busy_connections.add(raw.protocol)
        if self.held.max_bytes is not None:
            self.connections.add(raw.protocol)
        try:
            with BodyHold(self.held) as hold:
                response = await self.answer_request(raw, time.monotonic(), hold)
                is_whole = raw.content.is_eof()
                if not is_whole:
                    refuse_body(raw.protocol)
                if self.drain.is_draining or not is_whole:
                    response.force_close()
                if self.held.max_bytes is not None:
                    await write_whole(raw, response, self.held)
        finally:
            self.busy_connections.discard(raw.protocol)
            if not self.busy_connections:
                self.all_idle.set()
        return response

    async def answer_request(
        self, raw: web.BaseRequest, received: float, hold: BodyHold
    ) -> web.StreamResponse:
        """Answer one request; errors are answered as a `Problem`."""
        request: CallerRequest | None = None
        try:
            head = read_head(raw, max_bytes=self.limits().head_bytes)
            request = self.dependencies.adapter.read_request(head.raw, received)
            hold.add_head(head.size)
            request = await self.read_whole(raw, request, hold)
            await self.catch_up.wait()
            admitted = self.fleet.table.admit(request, self.first_attempts)
            if isinstance(raw.protocol, BoundedRequestHandler):
                raw.protocol.timeout_s = admitted.route.timeout_s
            return await self.forward(raw, admitted)
        except MemoryFullError as error:
            MEMORY_REFUSALS.inc()
            problem = Problem(503, error.code, error.message, error.retry_after_s)
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
        except ConfigUnreadError as error:
            problem = Problem(
                503, "config_unread", str(error), retry_after_s=STARTING_RETRY_AFTER_S
            )
        return self.problem_response(request, problem)

    async def read_whole(
        self, raw: web.BaseRequest, request: CallerRequest, hold: BodyHold
    ) -> CallerRequest:
        """Return the request with its whole body.

        Raises:
            BadCallError: Its body is too large or, if held bytes are bounded, did not
                arrive before the caller's deadline.
            MemoryFullError: There is no room for its body.
        """
        body = await read_body(
            raw,
            hold,
            max_bytes=self.fleet.table.config.max_body_bytes,
            deadline=request.deadline,
        )
        return request._replace(
            body=body, is_connection_reused=self.check_reused(raw.transport)
        )

    def check_reused(self, connection: asyncio.BaseTransport | None) -> bool:
        """Return whether a connection carried a request before, and mark it as used."""
        if connection is None:
            return False
        is_reused = connection in self.used_connections
        self.used_connections.add(connection)
        return is_reused

    async def forward(
        self, raw: web.BaseRequest, admitted: Admitted
    ) -> web.StreamResponse:
        """Forward a request and record its outcome in the metrics."""
        outcome = "left"
        forwarder = Forwarder(
            self.dependencies, admitted, raw, is_draining=self.drain.is_draining
        )
        cut = asyncio.timeout(None)
        self.running[forwarder] = cut
        try:
            async with cut:
                response = await forwarder.serve()
            outcome = "answered"
            if response.status < MIN_ERROR_STATUS:
                took_s = time.monotonic() - admitted.request.received
                tokens = admitted.request.answer_tokens
                self.drain.on_answered(admitted.route.name, took_s, tokens)
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
            outcome = "cut" if cut.expired() else "timeout"
            if forwarder.stream.has_begun:
                return forwarder.abort(STOPPING)
            problem = timeout_problem(forwarder, is_cut=cut.expired())
        finally:
            del self.running[forwarder]
            tier = str(admitted.rank)
            REQUESTS.labels(tier, outcome).inc()
            DURATION.labels(tier).observe(time.monotonic() - admitted.request.received)
        return self.problem_response(
            admitted.request,
            problem,
            route=admitted.route.name,
            rank=admitted.rank,
            config_version=admitted.version,
            **admitted.request.size_fields(),
        )

    def problem_response(
        self, request: CallerRequest | None, problem: Problem, **fields: object
    ) -> web.Response:
        """Return a problem as an answer, and log it with further fields."""
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
        headers = self.dependencies.adapter.local_headers(
            request_id, problem.retry_after_s
        )
        body = {"error": {"code": problem.code, "message": problem.message}}
        return web.Response(
            status=problem.status,
            headers=CIMultiDict(headers),
            body=json.dumps(body).encode(),
            content_type="application/json",
        )
