"""Runs of granted calls at the upstream, from the mark to the end."""

import asyncio
from typing import NamedTuple

import aiohttp
from aiohttp import web
from prometheus_client import Counter

from skylarkdoor import events, invariants
from skylarkdoord import _events
from skylarkdoord.exceptions import (
    AnswerCrossedError,
    EntryGoneError,
    NotRunError,
    UpstreamCutError,
)
from skylarkdoord.sidecar import _answers as answers
from skylarkdoord.sidecar._call import Call
from skylarkdoord.sidecar._claim_endings import Operation
from skylarkdoord.sidecar._claim_rows import WholeAnswer
from skylarkdoord.sidecar._ledger import Phase
from skylarkdoord.sidecar._poison import Admission, Poison
from skylarkdoord.sidecar._scheduler import Scheduler
from skylarkdoord.sidecar._upstream import UpstreamClient, has_marked_end

STREAM_END = b"data: [DONE]"
TAIL_BYTES = 64

CLAIMED_FIRST = invariants.define(
    "claimed_first", "A non-idempotent request is claimed before its dispatch."
)
WASTED_PREFILL = Counter(
    "skylarkdoor_wasted_prefill_tokens_total",
    "Prompt tokens of requests given to the upstream that brought no whole answer.",
    ["tier", "reason"],
)


class Outcome(NamedTuple):
    """What the ledger keeps of a dispatched call's end.

    Attributes:
        text: Summary that entries may ask for.
        waste: Why its prompt was computed in vain, empty if it was not.
    """

    text: str
    waste: str = ""


NOT_REACHED = Outcome("not_run")
CUT = Outcome("cut", "upstream_cut")
CALLER_GONE = Outcome("caller_gone", "caller_gone")


class UpstreamRuns:
    """Marks calls as dispatched, gives them to the upstream and brings answers.

    Args:
        scheduler: Keeps the ledger of calls.
        poison: Keeps calls that crash upstreams apart.
    """

    def __init__(self, scheduler: Scheduler, poison: Poison) -> None:
        self.scheduler = scheduler
        self.poison = poison
        self.upstream = UpstreamClient(scheduler.upstream.url)
        self.log = events.get_logger("sidecar.dispatch")

    async def close(self) -> None:
        """Close the session to the upstream."""
        await self.upstream.close()

    def mark(self, call: Call, claim: Operation | None) -> None:
        """Mark a call as dispatched, just before it is.

        Raises:
            NotRunError: It may not start here any more.
        """
        ledger = self.scheduler.ledger
        if ledger.phase(call.request_id) is not Phase.ACCEPTED:
            raise NotRunError("tombstoned", "the request may not start here any more")
        invariants.check(
            CLAIMED_FIRST,
            call.idempotent or (claim is not None and claim.held),
            request_id=call.request_id,
        )
        ledger.dispatch(call.request_id)

    def finish(self, call: Call, outcome: Outcome) -> None:
        """Note the end of a dispatched call."""
        if outcome is NOT_REACHED:
            self.scheduler.ledger.undo_dispatch(call.request_id)
            self.scheduler.tombstone(call.request_id)
            return
        self.scheduler.finish(call.request_id, outcome.text)
        if outcome.waste:
            waste = WASTED_PREFILL.labels(str(call.tier), outcome.waste)
            waste.inc(call.prompt_tokens)

    async def fetch(self, call: Call, body: bytes, claim: Operation) -> WholeAnswer:
        """Run a claimed call to its end.

        Raises:
            NotRunError: The call to the upstream was never opened.
            UpstreamCutError: It was, and no whole answer came.
        """
        async with self.poison.admitted(
            call.fingerprint, call.deadline_at
        ) as admission:
            return await self.fetch_admitted(call, body, claim, admission)

    async def fetch_admitted(
        self, call: Call, body: bytes, claim: Operation, admission: Admission
    ) -> WholeAnswer:
        """Run a claimed call that may enter the upstream; see `fetch`."""
        self.mark(call, claim)
        outcome = CUT
        try:
            async with self.upstream.open(call, body) as answer:
                whole = await answers.read_whole(answer)
            outcome = Outcome(f"status {whole.status}")
            admission.whole = True
            return whole
        except NotRunError:
            outcome = NOT_REACHED
            raise
        except UpstreamCutError as error:
            await self.note_cut(call, error, admission)
            raise
        finally:
            self.finish(call, outcome)

    async def relay(
        self, request: web.Request, call: Call, body: bytes
    ) -> web.StreamResponse:
        """Run an idempotent call and pass its answer on, whole or in chunks.

        Raises:
            NotRunError: The call to the upstream was never opened.
            UpstreamCutError: It was, and no whole answer came.
        """
        async with self.poison.admitted(
            call.fingerprint, call.deadline_at
        ) as admission:
            return await self.relay_admitted(request, call, body, admission)

    async def relay_admitted(
        self, request: web.Request, call: Call, body: bytes, admission: Admission
    ) -> web.StreamResponse:
        """Run a call that may enter the upstream; see `relay`."""
        self.mark(call, None)
        outcome = CUT
        response: web.StreamResponse
        stream: web.StreamResponse | None = None
        try:
            async with self.upstream.open(call, body) as answer:
                if answer.content_type != "text/event-stream":
                    response = answers.whole(call, await answers.read_whole(answer))
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
            await self.note_cut(call, error, admission)
            if stream is None:
                raise
            # A closed connection can't be taken for a whole answer.
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
        """Copy a stream to its end.

        Raises:
            UpstreamCutError: It ended without its end mark.
            EntryGoneError: The entry closed its connection.
        """
        tail = b""
        async for chunk in answer.content.iter_any():
            tail = (tail + chunk)[-TAIL_BYTES:]
            self.scheduler.on_chunk(call.request_id, chunk)
            await answers.pass_on(stream, chunk)
        if self.needs_end_mark(answer) and STREAM_END not in tail:
            raise UpstreamCutError("the stream ended without its end mark")
        await answers.pass_on(stream, b"")

    def needs_end_mark(self, answer: aiohttp.ClientResponse) -> bool:
        """Return whether only a last event shows that a stream is whole."""
        pool = self.scheduler.pool
        is_model = pool is not None and pool.kind == "model"
        return is_model or not has_marked_end(answer)

    async def note_cut(
        self, call: Call, error: UpstreamCutError, admission: Admission
    ) -> None:
        """Log a cut answer and find out whether the upstream crashed."""
        crossed = isinstance(error, AnswerCrossedError)
        event = _events.ANSWER_CROSSED if crossed else _events.UPSTREAM_FAILED
        self.log.event(event, request_id=call.request_id, error=str(error))
        await self.poison.on_cut(admission, self.upstream.is_up)
