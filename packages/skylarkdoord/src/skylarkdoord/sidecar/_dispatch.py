"""HTTP interface for entries to dispatch granted requests."""

import asyncio
import time

from aiohttp import web

from skylarkdoor import events, tracing
from skylarkdoor.exceptions import InvariantBrokenError
from skylarkdoor.failures import reason
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord import _events
from skylarkdoord.common import InternalServer
from skylarkdoord.common import _headers as headers
from skylarkdoord.exceptions import (
    CallError,
    EntryGoneError,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
    TransitionError,
    UpstreamCutError,
)
from skylarkdoord.ingress import on_body_complete
from skylarkdoord.sidecar import _answers as answers
from skylarkdoord.sidecar._call import Call, read_call
from skylarkdoord.sidecar._claim_rows import ClaimRow
from skylarkdoord.sidecar._claims import Claims
from skylarkdoord.sidecar._poison import Poison
from skylarkdoord.sidecar._recent import RecentRuns, Run, RunKey
from skylarkdoord.sidecar._runs import UpstreamRuns
from skylarkdoord.sidecar._scheduler import Scheduler

ABSENT = "absent"


class DispatchService:
    """Serves `/internal/dispatch` and `/internal/outcome`.

    Args:
        settings: Settings of this process.
    """

    name = "dispatch"
    requires: tuple[str, ...] = ("scheduler", "claims", "poison")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.log = events.get_logger("sidecar.dispatch")

    async def start(self, kernel: Kernel) -> None:
        """Open the HTTP session to the upstream and add the routes."""
        self.kernel = kernel
        self.scheduler = kernel.find("scheduler", Scheduler)
        self.claims = kernel.find("claims", Claims)
        self.poison = kernel.find("poison", Poison)
        internal = kernel.find("internal", InternalServer)
        internal.add_route("POST", "/internal/dispatch/{id}", self.post_dispatch)
        internal.add_route("POST", "/internal/outcome/{id}", self.post_outcome)
        internal.add_route("GET", "/internal/outcome/{id}", self.get_outcome)
        self.recent = RecentRuns()
        self.runs = UpstreamRuns(self.scheduler, self.poison)

    async def stop(self) -> None:
        """Close the session; `Drain` has already drained the scheduler."""
        await self.runs.close()

    async def get_outcome(self, request: web.Request) -> web.Response:
        """Return the phase of a request."""
        self._check_known(request)
        phase = self.scheduler.ledger.phase(request.match_info["id"])
        return self._outcome(request, phase or ABSENT)

    async def post_outcome(self, request: web.Request) -> web.Response:
        """Return the phase of a request; if not dispatched yet, it never will be."""
        self._check_known(request)
        phase = self.scheduler.tombstone(request.match_info["id"])
        return self._outcome(request, phase)

    def _outcome(self, request: web.Request, phase: str) -> web.Response:
        crashes = self.poison.crash_ids(int(request.headers[headers.FINGERPRINT]))
        return web.json_response(
            {"phase": phase, "crashes": crashes}, headers=self._own_id(request)
        )

    def _check_known(self, request: web.Request) -> None:
        """Respond 410 for another incarnation's requests and evicted records."""
        ledger = self.scheduler.ledger
        if request.headers.get(headers.INCARNATION) != str(ledger.incarnation):
            raise web.HTTPGone(headers=self._own_id(request))
        grant = int(request.headers[headers.GRANT])
        if ledger.may_be_evicted(request.match_info["id"], grant):
            raise web.HTTPGone(headers=self._own_id(request))

    @staticmethod
    def _own_id(request: web.Request) -> dict[str, str]:
        """Return the header that binds a response to its request."""
        return {headers.REQUEST_ID: request.match_info["id"]}

    async def post_dispatch(self, request: web.Request) -> web.StreamResponse:
        """Dispatch a granted request to the upstream and relay the response."""
        request_id = request.match_info["id"]
        try:
            call = read_call(request)
            self.scheduler.accept(request_id, call.grant, call.incarnation)
        except (TransitionError, CallError) as error:
            self.log.event(
                _events.DISPATCH_REFUSED, request_id=request_id, error=str(error)
            )
            return answers.not_run(request_id, NotRunError("grant_lapsed", str(error)))
        self.poison.suspicions.merge(call.fingerprint, call.crashes)
        with tracing.span("sidecar", call.context, request_id=request_id) as here:
            try:
                return await self.run(request, call._replace(context=here))
            except NotRunError as error:
                self.scheduler.tombstone(request_id)
                return answers.not_run(request_id, error)
            except (EntryGoneError, UpstreamCutError, OutcomeUnknownError) as error:
                return self.unknown_outcome(call, error)
            except InvariantBrokenError:
                raise
            except Exception as error:
                # The call may have been sent to the upstream.
                self.log.event(
                    _events.DISPATCH_FAILED, request_id=request_id, error=reason(error)
                )
                self.scheduler.tombstone(request_id)
                return self.unknown_outcome(call, error)

    async def run(self, request: web.Request, call: Call) -> web.StreamResponse:
        """Read the request body and run the call.

        Raises:
            NotRunError: The call was not sent to the upstream.
            UpstreamCutError: The call was sent, but no complete response arrived.
            OutcomeUnknownError: The outcome of an earlier run is unknown.
        """
        try:
            body = await request.read()
            on_body_complete(request.protocol)
        except BaseException:
            self.scheduler.tombstone(call.request_id)
            raise
        if call.idempotent:
            return await self.run_idempotent(request, call, body)
        running = self.run_claimed(call, body)
        # The run and the write of its outcome continue if the entry disconnects.
        task = self.kernel.spawn(_return_error(running), name=f"run {call.request_id}")
        result = await asyncio.shield(task)
        if isinstance(result, Exception):
            raise result
        return result

    async def run_idempotent(
        self, request: web.Request, call: Call, body: bytes
    ) -> web.StreamResponse:
        """Run an idempotent call, or join an earlier run with the same key.

        Raises:
            NotRunError: The call was not sent to the upstream.
            UpstreamCutError: The call was sent, but no complete response arrived.
        """
        if not call.identity or call.streamed:
            return await self.runs.relay(request, call, body)
        pool = self.scheduler.upstream.pool
        key = RunKey(call.identity, call.hash(pool, body))
        run = self.recent.find(key)
        if run is not None:
            return await self.join(call, run)
        self.recent.begin(key)
        answer = None
        try:
            response = await self.runs.relay(request, call, body)
            answer = answers.to_stored_answer(response)
            return response
        finally:
            self.recent.end(key, answer)

    async def join(self, call: Call, run: Run) -> web.Response:
        """Wait for the response to another run of the call.

        Raises:
            NotRunError: The other run failed, or didn't end before the deadline.
        """
        self.release_slot(call)
        try:
            async with asyncio.timeout(call.deadline_at - time.monotonic()):
                answer = await asyncio.shield(run.answer)
        except TimeoutError:
            raise RefusedError(
                "deadline", "the joined run did not end before the deadline"
            ) from None
        if answer is None:
            raise NotRunError("run_released", "the joined run failed")
        return answers.complete_response(call, answer, replayed=True)

    async def run_claimed(self, call: Call, body: bytes) -> web.Response:
        """Run a non-idempotent call under a claim, or return the stored response.

        Raises:
            NotRunError: The call was not sent to the upstream.
            UpstreamCutError: The call was sent, but no complete response arrived.
            OutcomeUnknownError: The outcome of an earlier run is unknown.
        """
        claim = await self.claims.acquire(
            call.identity,
            call.hash(self.scheduler.upstream.pool, body),
            deadline_at=call.deadline_at,
            before_join=lambda: self.release_slot(call),
        )
        if isinstance(claim, ClaimRow):
            self.release_slot(call)
            answer = await self.claims.read_answer(claim)
            return answers.complete_response(call, answer, replayed=True)
        try:
            answer = await self.runs.fetch(call, body, claim)
        except NotRunError:
            self.claims.abandon(claim)
            raise
        except BaseException:
            self.claims.finish(claim, None)
            raise
        self.claims.finish(claim, answer)
        return answers.complete_response(call, answer)

    def release_slot(self, call: Call) -> None:
        """Release the slot of a call that uses the result of another run."""
        self.scheduler.tombstone(call.request_id)

    def unknown_outcome(self, call: Call, error: Exception) -> web.Response:
        """Return the response for a call that was dispatched with unknown outcome."""
        crashes = self.poison.crash_ids(call.fingerprint)
        return web.json_response(
            {"code": "outcome_unknown", "message": str(error)},
            status=502,
            headers={
                headers.REQUEST_ID: call.request_id,
                headers.OUTCOME_UNKNOWN: "1",
                headers.CRASHES: headers.format_crashes(crashes),
            },
        )


async def _return_error(running):  # type: ignore[no-untyped-def]
    """Return a run's error, because an error raised by a task ends the process."""
    try:
        return await running
    except InvariantBrokenError:
        raise
    except Exception as error:
        return error
