"""Runs accepted calls at the upstream and records their outcomes."""

import asyncio
from typing import NamedTuple

import aiohttp
from aiohttp import web
from prometheus_client import Counter

from skylarkdoor import bounded_http, events, invariants
from skylarkdoord import _events
from skylarkdoord.exceptions import (
    AnswerCrossedError,
    EntryGoneError,
    NotRunError,
    UpstreamCutError,
)
from skylarkdoord.sidecar import _answers as answers
from skylarkdoord.sidecar._call import Call
from skylarkdoord.sidecar._claim_outcomes import Operation
from skylarkdoord.sidecar._claim_rows import CompleteAnswer
from skylarkdoord.sidecar._ledger import Phase
from skylarkdoord.sidecar._poison import Admission, Poison
from skylarkdoord.sidecar._scheduler import Scheduler
from skylarkdoord.sidecar._upstream import UpstreamClient, can_detect_truncation

STREAM_END = b"data: [DONE]"
TAIL_BYTES = 64

CLAIMED_FIRST = invariants.define(
    "claimed_first", "A non-idempotent request is claimed before its dispatch."
)
WASTED_PREFILL = Counter(
    "skylarkdoor_wasted_prefill_tokens_total",
    "Prompt tokens of dispatched requests without a complete response.",
    ["tier", "reason"],
)


class Outcome(NamedTuple):
    """Outcome of a dispatched call.

    Attributes:
        text: Summary kept in the ledger.
        waste: Why its prefill was wasted, empty if it was not.
    """

    text: str
    waste: str = ""


NOT_REACHED = Outcome("not_run")
CUT = Outcome("cut", "upstream_cut")
CALLER_GONE = Outcome("caller_gone", "caller_gone")


class UpstreamRuns:
    """Marks calls as dispatched, sends them to the upstream and returns responses.

    Args:
        scheduler: Holds the ledger of requests.
        poison: Admits calls and isolates suspects.
    """

    def __init__(self, scheduler: Scheduler, poison: Poison) -> None:
        self.scheduler = scheduler
        self.poison = poison
        self.upstream = UpstreamClient(scheduler.upstream.url)
        self.log = events.get_logger("sidecar.dispatch")

    async def close(self) -> None:
        """Close the session to the upstream."""
        await self.upstream.close()

    def mark_dispatched(self, call: Call, claim: Operation | None) -> None:
        """Mark a call as dispatched, immediately before sending it.

        Raises:
            NotRunError: The request was tombstoned.
        """
        ledger = self.scheduler.ledger
        if ledger.phase(call.request_id) is not Phase.ACCEPTED:
            raise NotRunError(
                "tombstoned", "the request was tombstoned before it was dispatched"
            )
        invariants.check(
            CLAIMED_FIRST,
            call.idempotent or (claim is not None and claim.held),
            request_id=call.request_id,
        )
        ledger.dispatch(call.request_id)

    def finish(self, call: Call, outcome: Outcome) -> None:
        """Record the outcome of a dispatched call."""
        if outcome is NOT_REACHED:
            self.scheduler.ledger.undo_dispatch(call.request_id)
            self.scheduler.tombstone(call.request_id)
            return
        self.scheduler.finish(call.request_id, outcome.text)
        if outcome.waste:
            waste = WASTED_PREFILL.labels(str(call.tier), outcome.waste)
            waste.inc(call.prompt_tokens)

    async def fetch(self, call: Call, body: bytes, claim: Operation) -> CompleteAnswer:
        """Run a claimed call and return its complete response.

        Raises:
            NotRunError: The call was not sent to the upstream.
            UpstreamCutError: The call was sent, but no complete response arrived.
        """
        async with self.poison.admitted(
            call.fingerprint, call.deadline_at
        ) as admission:
            return await self.fetch_admitted(call, body, claim, admission)

    async def fetch_admitted(
        self, call: Call, body: bytes, claim: Operation, admission: Admission
    ) -> CompleteAnswer:
        """Run a claimed call that has been admitted; see `fetch`."""
        self.mark_dispatched(call, claim)
        outcome = CUT
        try:
            async with self.upstream.open(call, body) as answer:
                complete = await answers.read_complete(answer, self.upstream.bodies)
            outcome = Outcome(f"status {complete.status}")
            admission.whole = True
            return complete
        except NotRunError:
            outcome = NOT_REACHED
            raise
        except UpstreamCutError as error:
            await self.handle_cut(call, error, admission)
            raise
        finally:
            self.finish(call, outcome)

    async def relay(
        self, request: web.Request, call: Call, body: bytes
    ) -> web.StreamResponse:
        """Run an idempotent call and relay its response, complete or streamed.

        Raises:
            NotRunError: The call was not sent to the upstream.
            UpstreamCutError: The call was sent, but no complete response arrived.
        """
        async with self.poison.admitted(
            call.fingerprint, call.deadline_at
        ) as admission:
            return await self.relay_admitted(request, call, body, admission)

    async def relay_admitted(
        self, request: web.Request, call: Call, body: bytes, admission: Admission
    ) -> web.StreamResponse:
        """Run a call that has been admitted; see `relay`."""
        self.mark_dispatched(call, None)
        outcome = CUT
        response: web.StreamResponse
        stream: web.StreamResponse | None = None
        try:
            async with self.upstream.open(call, body) as answer:
                if answer.content_type != "text/event-stream":
                    response = answers.complete_response(
                        call, await answers.read_complete(answer, self.upstream.bodies)
                    )
                else:
                    response = stream = await answers.begin_stream(
                        request, call, answer
                    )
                    await self.copy_events(call, stream, answer)
            outcome = Outcome(f"status {answer.status}")
            admission.whole = True
            return response
        except NotRunError:
            outcome = NOT_REACHED
            raise
        except UpstreamCutError as error:
            await self.handle_cut(call, error, admission)
            if stream is None:
                raise
            # Aborting the connection shows the entry that the stream is truncated.
            if request.transport is not None:
                request.transport.abort()
            return stream
        except (asyncio.CancelledError, EntryGoneError):
            outcome = CALLER_GONE
            raise
        finally:
            self.finish(call, outcome)

    async def copy_events(
        self, call: Call, stream: web.StreamResponse, answer: aiohttp.ClientResponse
    ) -> None:
        """Copy a stream of events to the entry until it ends.

        Raises:
            UpstreamCutError: The stream ended without its end marker.
            EntryGoneError: The entry closed its connection.
        """
        tail = b""
        while chunk := await bounded_http.read_chunk(answer):
            tail = (tail + chunk)[-TAIL_BYTES:]
            self.scheduler.on_chunk(call.request_id, chunk)
            await answers.relay_chunk(stream, chunk)
        if self.needs_end_marker(answer) and STREAM_END not in tail:
            raise UpstreamCutError("the stream ended without its end marker")
        await answers.relay_chunk(stream, b"")

    def needs_end_marker(self, answer: aiohttp.ClientResponse) -> bool:
        """Return whether a complete stream must end with the `[DONE]` event."""
        pool = self.scheduler.pool
        is_model = pool is not None and pool.kind == "model"
        return is_model or not can_detect_truncation(answer)

    async def handle_cut(
        self, call: Call, error: UpstreamCutError, admission: Admission
    ) -> None:
        """Log a truncated response and determine whether the upstream crashed."""
        crossed = isinstance(error, AnswerCrossedError)
        event = _events.ANSWER_CROSSED if crossed else _events.UPSTREAM_FAILED
        self.log.event(event, request_id=call.request_id, error=str(error))
        await self.poison.on_cut(admission, self.upstream.is_up)
