"""The HTTP server for callers."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp import web
from prometheus_client import Counter

from skylarkdoor import events, tracing
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings, ResolvedCustomer
from skylarkdoord import _events
from skylarkdoord._drain import Drain, cut_off
from skylarkdoord._listening import open_site
from skylarkdoord.common import DrainState, InternalServer, SettingsService, TlsService
from skylarkdoord.common import _drain_state as drain_state
from skylarkdoord.common._internal import finish_responses
from skylarkdoord.common._server import connection_limit, set_up_server
from skylarkdoord.entry import _parse as parse
from skylarkdoord.entry._admission import Admission
from skylarkdoord.entry._bodies import read_body
from skylarkdoord.entry._problems import problem
from skylarkdoord.entry._reception import Receptions
from skylarkdoord.entry._relay import Relay
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.entry._router import Router
from skylarkdoord.exceptions import OutcomeUnknownError, RefusedError
from skylarkdoord.ingress import ApplicationRunner, IngressSignals, refuse_body

MAX_HEADER_BYTES = 16 * 1024
DRAINING_RETRY_AFTER_S = 1.0
STARTING_RETRY_AFTER_S = 1.0
# Time for load balancers to see /readyz fail before requests are refused.
DRAIN_NOTICE_S = 1.0
# Time for the answers of requests that are cut off.
CUT_OFF_S = 0.5
STATUS_BY_CODE = {
    "concurrency_limited": 429,
    "deadline": 504,
    "idempotency_key_reused": 422,
    "quarantined": 422,
    "requests_limited": 429,
    "tokens_limited": 429,
}

REQUESTS = Counter(
    "skylarkdoor_requests_total", "Requests answered.", ["tier", "outcome"]
)

T = TypeVar("T")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallerServer:
    """Serves the callers' address.

    Args:
        settings: Settings of this process.
    """

    name = "callers"
    requires: tuple[str, ...] = ("router", "internal", "tls")

    def __init__(self, settings: ProcessSettings) -> None:
        assert settings.listen.callers is not None
        self.settings = settings
        self.address: str = settings.listen.callers
        self.active = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.drain = Drain()
        self.cuts: set[asyncio.Timeout] = set()
        self.log = events.get_logger("entry.callers")
        self.runner: ApplicationRunner | None = None

    async def start(self, kernel: Kernel) -> None:
        """Listen on the callers' address."""
        self.router = kernel.find("router", Router)
        self.admission = kernel.find("admission", Admission)
        self.receptions = Receptions(self.admission.waiting)
        self.settings_service = kernel.find("settings", SettingsService)
        self.internal = kernel.find("internal", InternalServer)
        self.drain_state = kernel.find("departure", DrainState)
        self.internal.add_status("callers", lambda: {"active": self.active})

        @web.middleware
        async def middleware(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            response = await self.admit_and_handle(request, handler)
            if not request.content.is_eof():
                refuse_body(request.protocol)
                response.force_close()
            return response

        app = web.Application(
            client_max_size=self.settings.limits.max_body_bytes,
            middlewares=[middleware],
        )
        app.router.add_post("/v1/chat/completions", self.post_model)
        app.router.add_post("/v1/completions", self.post_model)
        app.router.add_route("*", "/services/{pool}/{path:.*}", self.handle_service)
        app.router.add_get("/healthz", self.internal.get_health)
        app.router.add_get("/readyz", self.internal.get_ready)
        limit = connection_limit(self.settings.limits)
        self.runner = await set_up_server(
            kernel,
            app,
            self.settings.limits,
            limit,
            name=self.name,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        kernel.supervise(IngressSignals(self.runner.table).run, name="callers.signals")
        tls = kernel.find("tls", TlsService).callers
        context = tls.listener_context if tls else None
        await open_site(kernel, self.address, self.runner, ssl_context=context)

    async def stop(self) -> None:
        """Refuse new requests, wait for active ones, then close the listener."""
        self.drain_state.start_drain(drain_state.SHUTDOWN)
        notice_s = max(0.0, DRAIN_NOTICE_S - self.drain_state.age_s)
        self.drain.start(notice_s + self.settings.limits.drain_timeout_s)
        # Load balancers need time to see /readyz fail before connections close.
        await asyncio.sleep(notice_s)
        try:
            async with asyncio.timeout(self.drain.remaining_s()):
                await self.idle.wait()
                await finish_responses(self.runner)
            self.log.event(_events.DRAIN_ENDED)
        except TimeoutError:
            self.log.event(_events.DRAIN_TIMED_OUT, running=self.active)
            await self.cut_off()
        if self.runner is not None:
            await self.runner.cleanup()

    async def cut_off(self) -> None:
        """Answer the requests whose answer has not begun, without waiting for it."""
        cut_off(self.cuts)
        try:
            async with asyncio.timeout(CUT_OFF_S):
                await self.idle.wait()
                await finish_responses(self.runner)
        except TimeoutError:
            # Streams that have begun are left; closing the server cuts them.
            pass

    def refuses_requests(self) -> bool:
        """Return whether the entry has been draining for at least `DRAIN_NOTICE_S`."""
        return self.drain_state.is_draining and self.drain_state.age_s >= DRAIN_NOTICE_S

    async def admit_and_handle(
        self, raw: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Handle a request if the entry is ready, and count it as active."""
        if raw.match_info.handler in (
            self.internal.get_health,
            self.internal.get_ready,
        ):
            return await handler(raw)
        if self.refuses_requests():
            return problem(
                503,
                "leaving",
                "this entry is shutting down",
                retry_after_s=DRAINING_RETRY_AFTER_S,
            )
        if not self.settings_service.is_ready():
            return problem(
                503,
                "starting",
                "this entry has no settings yet",
                retry_after_s=STARTING_RETRY_AFTER_S,
            )
        self.drain_state.check_new_work()
        self.active += 1
        self.idle.clear()
        try:
            return await self.handle_errors(raw, handler)
        finally:
            self.active -= 1
            if self.active == 0:
                self.idle.set()

    async def handle_errors(
        self, raw: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Run a handler and convert its errors to error responses."""
        try:
            return await handler(raw)
        except parse.BadRequestError as error:
            return problem(error.status, error.code, error.message)
        except web.HTTPRequestEntityTooLarge:
            limit = self.settings.limits.max_body_bytes
            return problem(413, "body_too_large", f"expected at most {limit} bytes")
        except web.HTTPException as error:
            return problem(error.status, "not_found", error.reason)
        except RefusedError as error:
            self.log.event(_events.REQUEST_REFUSED, code=error.code)
            return problem(
                STATUS_BY_CODE.get(error.code, 503),
                error.code,
                error.message,
                retry_after_s=error.retry_after_s,
            )
        except OutcomeUnknownError as error:
            self.log.event(_events.REQUEST_OUTCOME_UNKNOWN, error=str(error))
            return problem(502, "outcome_unknown", str(error), not_run=False)

    async def read_body(self, raw: web.Request, resolved: ResolvedCustomer) -> bytes:
        """Return the complete body of a customer's request.

        Raises:
            BadRequestError: The body was not received in time.
            HTTPRequestEntityTooLarge: The body is too large.
            RefusedError: There is no room for the body.
        """
        limits = self.settings.limits
        tier = resolved.tier.rank
        return await read_body(raw, tier, self.receptions, limits)

    async def post_model(self, raw: web.Request) -> web.StreamResponse:
        """Serve a request in the format of the OpenAI API."""
        view = self.settings_service.view
        resolved = parse.authenticate(raw.headers, view)
        body = await self.read_body(raw, resolved)
        prompt = parse.parse_prompt(body)
        target = parse.model_target(view.fleet, resolved, prompt.model, raw.path_qs)
        request = parse.build_request(raw, resolved, target, body, prompt)
        return await self.serve(raw, request)

    async def handle_service(self, raw: web.Request) -> web.StreamResponse:
        """Serve a call to a service pool."""
        view = self.settings_service.view
        resolved = parse.authenticate(raw.headers, view)
        pool = raw.match_info["pool"]
        path = raw.path_qs.removeprefix(f"/services/{pool}")
        target = parse.service_target(view.fleet, resolved, pool, path, raw.method)
        body = await self.read_body(raw, resolved)
        request = parse.build_request(raw, resolved, target, body)
        return await self.serve(raw, request)

    def check_drain(self, request: EntryRequest) -> None:
        """Check that a request is likely to end before the entry does.

        Raises:
            RefusedError: It is not.
        """
        if not self.drain.can_finish(
            request.pool_name, request.deadline_at, request.max_tokens
        ):
            raise leaving_error()

    async def until_cut_off(self, request: EntryRequest, work: Awaitable[T]) -> T:
        """Wait for a step of a request whose answer has not begun.

        Args:
            request: The request.
            work: The step.

        Raises:
            RefusedError: The entry ends, and the request was not run.
            OutcomeUnknownError: The entry ends, and the request may have run.
        """
        cut = asyncio.timeout(None)
        self.cuts.add(cut)
        try:
            async with cut:
                return await work
        except TimeoutError:
            if not cut.expired():
                raise
            if request.is_sent:
                raise OutcomeUnknownError("the entry stops") from None
            raise leaving_error() from None
        finally:
            self.cuts.discard(cut)

    async def serve(
        self, raw: web.Request, request: EntryRequest
    ) -> web.StreamResponse:
        """Dispatch a request and relay its answer to the caller."""
        outcome = "refused"
        began = time.monotonic()
        try:
            with (
                self.admission.customers.admit(request),
                tracing.span(
                    "entry", request.context, request_id=request.request_id
                ) as span_context,
            ):
                request.context = span_context
                self.check_drain(request)
                delivery = await self.until_cut_off(request, self.router.serve(request))
                outcome = "cut"
                relay = Relay(raw, request, delivery)
                try:
                    if relay.is_stream:
                        response = await relay.run()
                    else:
                        response = await self.until_cut_off(request, relay.run())
                finally:
                    delivery.close()
                if relay.is_complete:
                    outcome = "answered"
                    took_s = time.monotonic() - began
                    self.drain.on_answered(
                        request.pool_name, took_s, request.max_tokens
                    )
                return response
        except OutcomeUnknownError:
            outcome = "unknown"
            raise
        except asyncio.CancelledError:
            outcome = "caller_gone"
            raise
        finally:
            tier = str(request.resolved.tier.rank)
            REQUESTS.labels(tier, outcome).inc()


def leaving_error() -> RefusedError:
    """Return the error that refuses a request while the entry stops."""
    return RefusedError(
        "leaving",
        "this entry is shutting down",
        retry_after_s=DRAINING_RETRY_AFTER_S,
    )
