"""Takes the bodies of granted requests and gives them to the upstream."""

from typing import NamedTuple

import aiohttp
from aiohttp import web

from skylarkdoor import events, tracing
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import _events
from skylarkdoord.common import InternalServer
from skylarkdoord.common import _headers as headers
from skylarkdoord.exceptions import (
    NotRunError,
    TransitionError,
    UpstreamCutError,
)
from skylarkdoord.sidecar._ledger import Phase
from skylarkdoord.sidecar._scheduler import Scheduler

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 120.0
STREAM_END = b"data: [DONE]"
TAIL_BYTES = 64


class Ending(NamedTuple):
    """How a dispatched call ended.

    Attributes:
        response: What the entry gets; absent if nothing whole came.
        outcome: Summary kept in the ledger.
    """

    response: web.StreamResponse | None
    outcome: str


class DispatchService:
    """Serves `/internal/dispatch` and `/internal/outcome`.

    Args:
        settings: Settings of this process.
    """

    name = "dispatch"
    requires: tuple[str, ...] = ("scheduler",)

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.log = events.get_logger("sidecar.dispatch")

    async def start(self, kernel: Kernel) -> None:
        """Open the session to the upstream and add the routes."""
        self.scheduler = kernel.find("scheduler", Scheduler)
        internal = kernel.find("internal", InternalServer)
        internal.add_route("POST", "/internal/dispatch/{id}", self.post_dispatch)
        internal.add_route("POST", "/internal/outcome/{id}", self.post_outcome)
        # A kept connection that dies makes aiohttp send an idempotent method
        # again by itself; a fresh one for each call rules that out.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        timeout = aiohttp.ClientTimeout(
            total=None, connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
        )
        self.session = aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        )

    async def stop(self) -> None:
        """Close the session; the scheduler has drained before."""
        await self.session.close()

    async def post_outcome(self, request: web.Request) -> web.Response:
        """Tell what came of a request; one that has not begun never will."""
        request_id = request.match_info["id"]
        phase = self.scheduler.tombstone(request_id)
        entry = self.scheduler.ledger.find(request_id)
        outcome = entry.outcome if entry else ""
        return web.json_response({"phase": phase, "outcome": outcome})

    async def post_dispatch(self, request: web.Request) -> web.StreamResponse:
        """Give a granted request to the upstream and relay the answer."""
        request_id = request.match_info["id"]
        try:
            self.scheduler.accept(
                request_id,
                int(request.headers[headers.GRANT]),
                int(request.headers[headers.INCARNATION]),
            )
        except (TransitionError, KeyError, ValueError) as error:
            self.log.event(
                _events.DISPATCH_REFUSED, request_id=request_id, error=str(error)
            )
            return _not_run(NotRunError("grant_lapsed", str(error)))
        context = tracing.extract(request.headers)
        with tracing.span("sidecar", context, request_id=request_id) as here:
            try:
                return await self.run(request, request_id, here)
            except NotRunError as error:
                return _not_run(error)

    async def run(
        self, request: web.Request, request_id: str, context: tracing.SpanContext
    ) -> web.StreamResponse:
        """Read the body, mark the request and call the upstream.

        Raises:
            NotRunError: The call to the upstream was never opened.
        """
        try:
            body = await request.read()
        except BaseException:
            self.scheduler.tombstone(request_id)
            raise
        if self.scheduler.ledger.phase(request_id) is not Phase.ACCEPTED:
            raise NotRunError("tombstoned", "the request may not start here any more")
        self.scheduler.ledger.dispatch(request_id)
        ending = Ending(None, "cut")
        try:
            ending = await self.call(request, request_id, body, context)
        except NotRunError:
            ending = Ending(None, "not_run")
            raise
        finally:
            self.scheduler.finish(request_id, ending.outcome)
        return ending.response or _unknown(request_id)

    async def call(
        self,
        request: web.Request,
        request_id: str,
        body: bytes,
        context: tracing.SpanContext,
    ) -> Ending:
        """Call the upstream and relay its answer.

        Raises:
            NotRunError: No connection to the upstream could be opened.
        """
        url = self.scheduler.upstream.url + request.headers[headers.PATH]
        sent = headers.to_upstream(request.headers)
        sent[headers.REQUEST_ID] = request_id
        with tracing.span("upstream", context, request_id=request_id) as here:
            tracing.inject(sent, here)
            try:
                async with self.session.request(
                    request.headers[headers.METHOD], url, data=body, headers=sent
                ) as answer:
                    return await self.relay(request, request_id, answer)
            except aiohttp.ClientConnectorError as error:
                self._failed(request_id, error)
                raise NotRunError("upstream_down", "no connection") from None
            except (aiohttp.ClientError, TimeoutError) as error:
                self._failed(request_id, error)
                return Ending(None, "cut")

    async def relay(
        self,
        request: web.Request,
        request_id: str,
        answer: aiohttp.ClientResponse,
    ) -> Ending:
        """Pass the upstream's answer on, whole or in chunks."""
        passed = headers.to_caller(answer.headers)
        passed[headers.REQUEST_ID] = request_id
        outcome = f"status {answer.status}"
        if answer.content_type != "text/event-stream":
            body = await answer.read()
            response = web.Response(status=answer.status, headers=passed, body=body)
            return Ending(response, outcome)
        stream = web.StreamResponse(status=answer.status, headers=passed)
        await stream.prepare(request)
        try:
            await self.relay_stream(request_id, stream, answer)
        except (aiohttp.ClientError, TimeoutError, UpstreamCutError) as error:
            self._failed(request_id, error)
            # A closed connection can't be taken for a whole answer.
            if request.transport is not None:
                request.transport.abort()
            return Ending(stream, "cut")
        return Ending(stream, outcome)

    async def relay_stream(
        self,
        request_id: str,
        stream: web.StreamResponse,
        answer: aiohttp.ClientResponse,
    ) -> None:
        """Pass server-sent events on as they come.

        Raises:
            UpstreamCutError: The stream ended without its end mark.
        """
        tail = b""
        async for chunk in answer.content.iter_any():
            tail = (tail + chunk)[-TAIL_BYTES:]
            self.scheduler.on_chunk(request_id, chunk)
            await stream.write(chunk)
        if STREAM_END not in tail:
            raise UpstreamCutError("the stream ended without its end mark")
        await stream.write_eof()

    def _failed(self, request_id: str, error: Exception) -> None:
        self.log.event(
            _events.UPSTREAM_FAILED, request_id=request_id, error=repr(error)
        )


def _unknown(request_id: str) -> web.Response:
    return web.json_response(
        {"code": "outcome_unknown"},
        status=502,
        headers={headers.REQUEST_ID: request_id, headers.UNKNOWN: "1"},
    )


def _not_run(error: NotRunError) -> web.Response:
    return web.json_response(
        {"code": error.code, "message": error.message},
        status=503,
        headers={headers.NOT_RUN: "1"},
    )
