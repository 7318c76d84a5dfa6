"""Internal HTTP server for peers and operators: health, metrics and status."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import _events
from skylarkdoord._listening import open_site
from skylarkdoord.common import _headers as headers
from skylarkdoord.common._server import connection_limit, set_up_server
from skylarkdoord.common._tls_service import TlsService
from skylarkdoord.ingress import ApplicationRunner, ConnectionLimit

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
StatusPart = Callable[[], Any]
PEER_ROUTES_PREFIX = "/internal/"
BODY_HEADROOM_BYTES = 64 * 1024
# At an entry, peers exchange settings, and operators ask.
ENTRY_LIMIT = ConnectionLimit(max_connections=128)


class InternalServer:
    """HTTP server on the internal address; other services add routes before it starts.

    Args:
        settings: Settings of this process.
        requires: Services that add routes, ready checks or parts of the status.
    """

    name = "internal"

    def __init__(self, settings: ProcessSettings, *, requires: tuple[str, ...]) -> None:
        self.settings = settings
        self.requires = (*requires, "tls")
        self.ready_checks: dict[str, Callable[[], bool]] = {}
        self.status_parts: dict[str, StatusPart] = {}
        limit = settings.limits.max_body_bytes + BODY_HEADROOM_BYTES
        self.tls: TlsService | None = None

        @web.middleware
        async def check_peer(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            return await self.check_peer(request, handler)

        self.app = web.Application(client_max_size=limit, middlewares=[check_peer])
        self.app.router.add_get("/healthz", self.get_health)
        self.app.router.add_get("/readyz", self.get_ready)
        self.app.router.add_get("/metrics", self.get_metrics)
        self.app.router.add_get("/status", self.get_status)
        self.log = events.get_logger("internal")
        self.runner: ApplicationRunner | None = None

    def add_route(self, method: str, path: str, handler: Handler) -> None:
        """Add a route; this must happen before the server starts."""
        self.app.router.add_route(method, path, handler)

    def add_ready_check(self, name: str, check: Callable[[], bool]) -> None:
        """Add a condition that must hold for the process to be ready."""
        self.ready_checks[name] = check

    def add_status(self, name: str, part: StatusPart) -> None:
        """Add a part to the response of `/status`."""
        self.status_parts[name] = part

    async def start(self, kernel: Kernel) -> None:
        """Listen on the internal address."""
        self.tls = kernel.find("tls", TlsService)
        context = self.tls.http.listener_context if self.tls.http else None
        limits = self.settings.limits
        is_entry = self.settings.listen.callers is not None
        limit = ENTRY_LIMIT if is_entry else connection_limit(limits)
        self.runner = await set_up_server(
            kernel, self.app, limits, limit, name=self.name
        )
        address = self.settings.listen.internal
        await open_site(kernel, address, self.runner, ssl_context=context)
        self.log.event(_events.PROCESS_READY, address=address)

    async def stop(self) -> None:
        """Close the listener."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def finish_responses(self) -> None:
        """Stop listening and wait until all responses have been sent."""
        await finish_responses(self.runner)

    async def check_peer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuse requests to peer routes without a certificate of the deployment."""
        assert self.tls is not None
        is_peer_route = request.path.startswith(PEER_ROUTES_PREFIX)
        if is_peer_route and not self.tls.is_peer(request):
            self.log.event(_events.PEER_REFUSED, reason="no client certificate")
            return _refusal()
        return await handler(request)

    def unready(self) -> list[str]:
        """Return the names of the ready checks that fail."""
        return [name for name, check in self.ready_checks.items() if not check()]

    async def get_health(self, request: web.Request) -> web.Response:
        """Return 200 as long as the process runs."""
        return web.Response(text="ok\n")

    async def get_ready(self, request: web.Request) -> web.Response:
        """Return 200 if the process is ready for new work, otherwise 503."""
        failed = self.unready()
        if failed:
            return web.Response(status=503, text=f"not ready: {', '.join(failed)}\n")
        return web.Response(text="ready\n")

    async def get_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        return web.Response(
            body=generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )

    async def get_status(self, request: web.Request) -> web.Response:
        """Return the status parts of all services."""
        parts = {name: part() for name, part in self.status_parts.items()}
        head = {
            "instance": self.settings.instance,
            "data_centre": self.settings.data_centre,
            "ready": not self.unready(),
        }
        return web.json_response(head | parts)


async def finish_responses(runner: ApplicationRunner | None) -> None:
    """Close a runner's listeners and wait until all responses have been sent.

    Idle connections are closed immediately. There is no time limit; the caller
    must set one.
    """
    if runner is None or runner.server is None:
        return
    for site in list(runner.sites):
        await site.stop()
    runner.server.pre_shutdown()
    await runner.server.shutdown(timeout=None)


def _refusal() -> web.Response:
    body = {
        "code": "unknown_peer",
        "message": "a certificate of this deployment is required",
        "final": False,
        "retry_after_s": None,
    }
    return web.json_response(body, status=403, headers={headers.NOT_RUN: "1"})
