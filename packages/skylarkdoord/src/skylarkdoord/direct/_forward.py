"""Carries one request to an upstream and its answer back."""

import asyncio
import time
from typing import NamedTuple

from aiohttp import web
from multidict import CIMultiDict

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Adapter
from skylarkdoord.direct._budget import Budget
from skylarkdoord.direct._call import Answer, UpstreamClient
from skylarkdoord.direct._crashes import Crashes, mark_of
from skylarkdoord.direct._metrics import CALLS, FIRST, QUEUED, REPEATS
from skylarkdoord.direct._model import MS_PER_S, Admitted
from skylarkdoord.direct._quota import Quota
from skylarkdoord.direct._relay import CallerStream, EventSplitter
from skylarkdoord.direct._scheduler import Scheduler
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct._waiting import Place
from skylarkdoord.direct.exceptions import (
    AnswerCutError,
    NoRoomError,
    UpstreamFailedError,
    UpstreamNotRunError,
    UpstreamSilentError,
)
from skylarkdoord.exceptions import NotRunError, OutcomeUnknownError

FIRST_SERVER_ERROR = 500
UNAVAILABLE_RETRY_AFTER_S = 0.5
MAX_SENDS = 4
# An upstream is silent if no first byte came within so many times the route's
# target, and so many times what is usual.
SILENT_TARGETS = 2.0
SILENT_FIRSTS = 6.0
MIN_SILENCE_S = 1.0


class Parts(NamedTuple):
    """What forwarding works with.

    Attributes:
        adapter: Translates the platform's protocols.
        client: Calls upstreams.
        scheduler: Gives places.
        upstreams: What is known of upstreams.
        budget: Bounds repeats.
        quota: Customers' limits.
        crashes: Requests that crash upstreams.
    """

    adapter: Adapter
    client: UpstreamClient
    scheduler: Scheduler
    upstreams: Upstreams
    budget: Budget
    quota: Quota
    crashes: Crashes


class Forwarding:
    """One request on its way.

    Args:
        parts: What it works with.
        admitted: The request.
        raw: The caller's connection.
        is_leaving: Whether that connection is to end after the answer.
    """

    def __init__(
        self,
        parts: Parts,
        admitted: Admitted,
        raw: web.BaseRequest,
        *,
        is_leaving: bool,
    ) -> None:
        self.parts = parts
        self.admitted = admitted
        self.raw = raw
        self.is_leaving = is_leaving
        self.stream = CallerStream(raw, is_leaving=is_leaving)
        self.runs = 0
        self.sends = 0
        self.tried: set[str] = set()
        self.mark = mark_of(admitted)
        self.log = events.get_logger("direct.forward")

    async def serve(self) -> web.StreamResponse:
        """Have the request run and pass its answer on.

        Raises:
            NotRunError: It certainly did not run.
            OutcomeUnknownError: It may have run and no answer came of it.
            TimeoutError: Its time is up; it may have run.
        """
        try:
            return await self.run()
        except (NotRunError, OutcomeUnknownError, TimeoutError) as error:
            # What has begun can't be followed by another answer.
            if not self.stream.has_begun:
                raise
            return self.cut(str(error) or "timeout")

    async def run(self) -> web.StreamResponse:
        """Send the request until it has run once, or as often as it may.

        Raises:
            NotRunError, OutcomeUnknownError, TimeoutError: As for `serve`.
        """
        self.parts.budget.count(self.admitted.service)
        if self.parts.crashes.is_quarantined(self.mark):
            raise NotRunError("quarantined", "the request crashes upstreams")
        self.parts.quota.check(self.admitted)
        while True:
            place = await self.acquire()
            began = time.monotonic()
            try:
                return await self.run_at(place)
            except UpstreamNotRunError as error:
                self.on_not_run(place, error)
            except UpstreamFailedError as error:
                self.runs += 1
                self.parts.upstreams.on_answer(place.upstream, is_error=True)
                self.note(place, "failed", began, status=error.response.status)
                if not self.may_run_again():
                    return error.response
            except (UpstreamSilentError, AnswerCutError) as error:
                self.on_lost(place, error)
                if not self.may_run_again():
                    raise OutcomeUnknownError(str(error)) from None
            except TimeoutError:
                self.note(place, "timeout", began)
                if not self.stream.has_begun:
                    self.parts.upstreams.on_silence(
                        place.upstream, "timeout", since=began
                    )
                raise
            finally:
                self.parts.scheduler.release(place)

    async def acquire(self) -> Place:
        """Wait for a place.

        Raises:
            NoRoomError: There is none, and the request has not run.
            OutcomeUnknownError: There is none, and an earlier run was lost.
        """
        began = time.monotonic()
        try:
            return await self.parts.scheduler.acquire(
                self.admitted, excluded=frozenset(self.tried)
            )
        except NoRoomError as error:
            if self.runs:
                raise OutcomeUnknownError(str(error)) from None
            raise
        except asyncio.CancelledError:
            self.note(None, "left", began)
            raise

    async def run_at(self, place: Place) -> web.StreamResponse:
        """Send the request to one upstream and relay its answer."""
        upstream = place.upstream
        QUEUED.labels(str(self.admitted.rank)).observe(place.waited_s)
        if not self.sends:
            self.parts.quota.use(self.admitted)
        self.sends += 1
        self.tried.add(upstream.instance)
        began = time.monotonic()
        self.note(place, "sent", began)
        self.parts.crashes.enter(upstream.record, self.mark)
        try:
            response = await self.exchange(place, self.first_deadline())
        except asyncio.CancelledError:
            self.on_left(place, time.monotonic() - began)
            raise
        finally:
            self.parts.crashes.leave(upstream.record, self.mark)
        is_error = response.status >= FIRST_SERVER_ERROR
        self.parts.upstreams.on_answer(upstream, is_error=is_error)
        self.parts.upstreams.on_success(upstream)
        first_s = 0.0
        if self.stream.has_begun:
            first_s = self.stream.began_at - began
            self.parts.upstreams.on_first(upstream, first_s)
            FIRST.labels(str(self.admitted.rank)).observe(first_s)
        self.note(
            place,
            "answered",
            began,
            status=response.status,
            first_ms=round(first_s * MS_PER_S),
        )
        return response

    def first_deadline(self) -> float:
        """Return until when the first byte is awaited, as monotonic time.

        Where another run is allowed, a silent upstream is given up on early.
        """
        admitted = self.admitted
        if (
            not admitted.route.may_repeat
            or self.runs + 1 >= admitted.route.max_attempts
        ):
            return admitted.deadline
        usual_s = self.parts.upstreams.expected_first_s(admitted.service)
        silence_s = max(
            SILENT_TARGETS * admitted.route.target_latency_s, SILENT_FIRSTS * usual_s
        )
        return min(admitted.deadline, time.monotonic() + silence_s)

    async def exchange(self, place: Place, first_deadline: float) -> web.StreamResponse:
        """Send the request and pass its answer on.

        Raises:
            UpstreamSilentError: No first byte came in time.
        """
        client = self.parts.client
        last_id = self.stream.last_id
        try:
            async with asyncio.timeout_at(first_deadline) as first:
                answer = await client.send(
                    self.admitted, place.upstream.record, last_event_id=last_id
                )
                try:
                    return await self.relay(answer, first)
                finally:
                    answer.close()
        except TimeoutError:
            if self.admitted.remaining_s() <= 0:
                raise
            raise UpstreamSilentError("no first byte in time") from None

    def on_left(self, place: Place, after_s: float) -> None:
        """Learn from a caller that left before anything came."""
        self.note(place, "left", time.monotonic() - after_s)
        usual_s = self.parts.upstreams.expected_first_s(self.admitted.service)
        if not self.stream.has_begun and after_s > max(MIN_SILENCE_S, 4 * usual_s):
            since = time.monotonic() - after_s
            self.parts.upstreams.on_silence(place.upstream, "silent", since=since)

    async def relay(self, answer: Answer, first: asyncio.Timeout) -> web.StreamResponse:
        """Pass an answer on.

        Args:
            answer: The answer.
            first: The time limit, put off once the first byte has come.

        Raises:
            AnswerCutError: It ended before it was whole.
            UpstreamFailedError: It is an error, and another run may do better.
        """
        headers = self.parts.adapter.caller_headers(answer.response.headers)
        if self.admitted.route.is_stream and answer.status == web.HTTPOk.status_code:
            return await self.relay_stream(answer, headers, first)
        first.reschedule(self.admitted.deadline)
        body = await answer.read_whole()
        if self.stream.has_begun:
            raise AnswerCutError(f"status {answer.status} amid a stream")
        response = web.Response(
            status=answer.status, headers=CIMultiDict(headers), body=body
        )
        if self.is_leaving:
            response.force_close()
        if answer.status >= FIRST_SERVER_ERROR and self.admitted.route.may_repeat:
            raise UpstreamFailedError(response)
        return response

    async def relay_stream(
        self, answer: Answer, headers: list[tuple[str, str]], first: asyncio.Timeout
    ) -> web.StreamResponse:
        """Pass whole events on as they come."""
        splitter = EventSplitter()
        while chunk := await answer.read_chunk():
            for event in splitter.feed(chunk):
                first.reschedule(self.admitted.deadline)
                await self.stream.begin(answer.status, headers)
                await self.stream.write(event)
        if splitter.rest:
            raise AnswerCutError("the stream ended amid an event")
        await self.stream.begin(answer.status, headers)
        return await self.stream.end()

    def on_not_run(self, place: Place, error: UpstreamNotRunError) -> None:
        """Note why an upstream did not run the request; it may go elsewhere.

        Raises:
            NotRunError: It may not.
            OutcomeUnknownError: It may not, and an earlier run was lost.
        """
        if error.code == "full":
            self.parts.upstreams.on_full(place.upstream)
        elif error.code == "moved":
            self.parts.upstreams.on_moved(place.upstream)
        else:
            self.parts.upstreams.on_failure(place.upstream, error.code)
        self.note(place, error.code, time.monotonic())
        if self.sends < MAX_SENDS and self.has_budget(reached=error.reached):
            return
        if self.runs:
            raise OutcomeUnknownError(str(error))
        raise NotRunError(
            "unavailable",
            "no upstream took the request",
            retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
        )

    def on_lost(self, place: Place, error: Exception) -> None:
        """Note that a run gave no whole answer."""
        self.runs += 1
        self.parts.upstreams.on_failure(place.upstream, str(error))
        self.parts.crashes.on_lost(place.upstream.record, self.mark)
        self.note(place, "lost", time.monotonic(), error=str(error))

    def may_run_again(self) -> bool:
        """Return whether another run is allowed, and count it if so."""
        route = self.admitted.route
        if not route.may_repeat or self.runs >= route.max_attempts:
            return False
        if self.sends >= MAX_SENDS or self.admitted.remaining_s() <= 0:
            return False
        return self.has_budget(reached=True)

    def has_budget(self, *, reached: bool) -> bool:
        """Return whether a repeat fits the budget; it counts if one arrived."""
        if not reached:
            return True
        service = self.admitted.service
        allowed = self.parts.budget.spend(service)
        REPEATS.labels(service, str(allowed).lower()).inc()
        return allowed

    def cut(self, reason: str) -> web.StreamResponse:
        """End a stream that has begun so that it does not look complete."""
        self.log.event(
            _events.ANSWER_CUT,
            request_id=self.admitted.request.request_id,
            reason=reason,
            last_event=self.stream.last_id,
            runs=self.runs,
        )
        return self.stream.cut()

    def note(
        self, place: Place | None, step: str, since: float, **fields: object
    ) -> None:
        """Log and count a step of the request, at an upstream if it has a place."""
        admitted = self.admitted
        CALLS.labels(admitted.service, step).inc()
        if place is not None:
            fields |= {
                "upstream": place.upstream.instance,
                "waited_ms": round(place.waited_s * MS_PER_S),
                "running": place.upstream.running,
            }
        self.log.event(
            _events.REQUEST_STEP,
            request_id=admitted.request.request_id,
            step=step,
            route=admitted.route.name,
            rank=admitted.rank,
            took_ms=round((time.monotonic() - since) * MS_PER_S),
            config_version=admitted.version,
            **fields,
        )
