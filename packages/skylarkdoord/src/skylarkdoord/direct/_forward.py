"""Forwards one request to an upstream and relays its answer to the caller.

A request that an upstream did not run, or that may run again, is retried at another
upstream within the limits on attempts and the retry budget.
"""

import asyncio
import time
from functools import partial

from aiohttp import web

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._answer_relay import AnswerRelay
from skylarkdoord.direct._attempt_results import AttemptResults
from skylarkdoord.direct._choice import ANY_VERSION
from skylarkdoord.direct._forward_dependencies import ForwarderDependencies
from skylarkdoord.direct._metrics import QUEUE_TIME
from skylarkdoord.direct._model import Admitted, UpstreamRecord
from skylarkdoord.direct._relay import CallerStream
from skylarkdoord.direct._request_retries import RequestRetries
from skylarkdoord.direct._send_checks import UNAVAILABLE_RETRY_AFTER_S, SendChecks
from skylarkdoord.direct._waiting import Slot
from skylarkdoord.direct.evidence import fingerprint_of, shared_parts
from skylarkdoord.direct.exceptions import (
    AnswerTruncatedError,
    FirstByteTimeoutError,
    NoFreeSlotError,
    UpstreamFailedError,
    UpstreamNotRunError,
    UpstreamSilentError,
    VersionGoneError,
)
from skylarkdoord.direct.rollout_services import ObservedAttempt
from skylarkdoord.direct.streams import StreamBinding
from skylarkdoord.exceptions import NotRunError, OutcomeUnknownError

# Limits how often one request is sent, including attempts that did not run it.
MAX_SENDS = 4
# Where a request may run again, the first byte times out after the larger of these
# multiples of the route's latency target and of the service's average time to the
# first byte.
FIRST_BYTE_TIMEOUT_TARGET_FACTOR = 2.0
FIRST_BYTE_TIMEOUT_AVERAGE_FACTOR = 6.0
MIN_ERROR_STATUS = 400


class Forwarder:
    """Forwards one request, with retries.

    Args:
        dependencies: Components that it depends on.
        admitted: The request.
        raw: The request as received by the HTTP server, for writing the answer.
        is_draining: Whether the entry is draining, so that the caller's connection is
            closed after the answer.

    Attributes:
        stream: The caller's side of a streamed answer.
        relay: Relays the answers of upstreams.
        runs: Attempts that ran, or may have run, without a successful answer.
        sends: Attempts sent to an upstream.
        is_sent: Whether the latest attempt was sent and may run.
        tried_instances: Upstreams that the request was sent to.
        binding: The version to which a stream is bound.
        retries: Asks the retry budget for its retries.
        is_trial: Whether its first attempt tries out a new version.
        fingerprint: Identifies the request and its repeats.
        parts: Parts of its prompt that other requests may share.
        checks: Checks that the request may be sent.
        results: Records the results of its attempts.
    """

    def __init__(
        self,
        dependencies: ForwarderDependencies,
        admitted: Admitted,
        raw: web.BaseRequest,
        *,
        is_draining: bool,
    ) -> None:
        self.dependencies = dependencies
        self.admitted = admitted
        self.raw = raw
        self.stream = CallerStream(raw, is_draining=is_draining)
        self.relay = AnswerRelay(
            dependencies.adapter,
            admitted,
            self.stream,
            max_event_bytes=dependencies.client.bounds.max_event_bytes,
            is_draining=is_draining,
        )
        self.runs = 0
        self.sends = 0
        self.is_sent = False
        self.tried_instances: set[str] = set()
        self.binding = StreamBinding(
            admitted, dependencies.streams, dependencies.upstreams.fleet.find
        )
        self.retries = RequestRetries(dependencies.retry_limiter, admitted)
        self.is_trial = False
        self.fingerprint = fingerprint_of(admitted)
        self.parts = shared_parts(admitted)
        self.checks = SendChecks(
            dependencies, admitted, self.fingerprint, self.parts, self.retries
        )
        self.log = events.get_logger("direct.forward")
        self.results = AttemptResults(
            dependencies, admitted, self.stream, self.fingerprint, self.parts
        )

    async def serve(self) -> web.StreamResponse:
        """Forward the request and return the answer, or abort an answer under way.

        Raises:
            NotRunError: The request certainly did not run.
            OutcomeUnknownError: The request may have run, but its answer was lost.
            TimeoutError: The request timed out; it may have run.
        """
        try:
            return await self.run()
        except (NotRunError, OutcomeUnknownError, TimeoutError) as error:
            # Once a part of the answer was sent, no error response can follow.
            if not self.stream.has_begun:
                raise
            return self.abort(str(error) or "timeout")
        finally:
            self.retries.end()

    async def run(self) -> web.StreamResponse:
        """Send the request, with retries, until an answer may be returned.

        Raises:
            NotRunError: The request certainly did not run.
            OutcomeUnknownError: The request may have run, but its answer was lost.
            TimeoutError: The request timed out; it may have run.
        """
        self.dependencies.retry_limiter.count_request(self.admitted.service)
        self.checks.check_drain(has_run=False)
        self.checks.check_quarantine(has_run=False)
        self.dependencies.quota.check(self.admitted)
        if self.admitted.route.is_resumable and self.admitted.request.last_event_id:
            self.binding.version = await self.dependencies.streams.find(self.admitted)
        while True:
            slot = await self.acquire_slot()
            began = time.monotonic()
            is_answered = False
            try:
                self.check_again(slot)
                response = await self.attempt(slot)
                is_answered = response.status < MIN_ERROR_STATUS
                return response
            except UpstreamNotRunError as error:
                self.on_not_run(slot, error)
            except UpstreamFailedError as error:
                self.runs += 1
                self.results.on_failed(slot, error.response.status, began)
                if not self.may_run_again():
                    return error.response
            except (UpstreamSilentError, AnswerTruncatedError) as error:
                self.runs += 1
                self.results.on_lost(slot, error)
                if not self.may_run_again():
                    raise OutcomeUnknownError(str(error)) from None
            except TimeoutError:
                self.results.on_timeout(slot, began)
                raise
            finally:
                self.dependencies.scheduler.release(slot, is_answered=is_answered)

    def check_again(self, slot: Slot) -> None:
        """Check that the request may be sent after it has waited for a slot.

        A stream that has begun goes on while the entry stops, for as long as it can.

        Raises:
            NotRunError: It may not, and the request has not run.
            OutcomeUnknownError: It may not, and the request may have run.
        """
        has_run = bool(self.runs)
        self.checks.check_quarantine(has_run=has_run)
        if not self.stream.has_begun:
            self.checks.check_drain(has_run=has_run)
        self.checks.check_budget(slot, has_run=has_run)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return bool(self.runs) or self.is_sent

    async def acquire_slot(self) -> Slot:
        """Wait for a slot at an upstream.

        Raises:
            VersionGoneError: No upstream can go on with the stream, and the request
                has not run.
            NoFreeSlotError: No slot became free in time, and the request has not run.
            OutcomeUnknownError: No slot became free in time, and the request may have
                run in an earlier attempt.
        """
        began = time.monotonic()
        rollouts, scheduler = self.dependencies.rollouts, self.dependencies.scheduler
        version = self.binding.version
        is_bound = version is not None
        is_first = not self.sends
        try:
            while True:
                if version is not None:
                    rollouts.check_resumption(self.admitted, version)
                    versions = ANY_VERSION
                else:
                    versions = rollouts.versions_for(self.admitted, is_first=is_first)
                slot = await scheduler.acquire(
                    self.admitted,
                    excluded=frozenset(self.tried_instances),
                    version=version,
                    versions=versions,
                )
                record = slot.upstream.record
                if rollouts.may_send(self.admitted, record, is_bound=is_bound):
                    self.is_trial = versions.only is not None and is_first
                    return slot
                # A roll-out was decided upon while the request waited.
                scheduler.release(slot)
                is_first = False
        except (NoFreeSlotError, VersionGoneError) as error:
            if self.runs:
                raise OutcomeUnknownError(str(error)) from None
            raise
        except asyncio.CancelledError:
            self.results.log_step(None, "left", began)
            raise

    async def attempt(self, slot: Slot) -> web.StreamResponse:
        """Send the request to one upstream and relay its answer."""
        upstream = slot.upstream
        QUEUE_TIME.labels(str(self.admitted.rank)).observe(slot.waited_s)
        if not self.sends:
            self.dependencies.quota.use(self.admitted)
        self.sends += 1
        self.is_sent = True
        self.tried_instances.add(upstream.instance)
        began = time.monotonic()
        self.results.log_step(slot, "sent", began)
        self.dependencies.crashes.add_in_flight(
            upstream.record, self.fingerprint, self.parts
        )
        try:
            observed = self.dependencies.rollouts.observe(
                self.admitted, upstream.record, is_first=self.is_trial
            )
            with observed:
                response = await self.exchange(
                    slot, self.first_byte_deadline(), observed
                )
                observed.status = response.status
        except asyncio.CancelledError:
            self.results.on_left(slot, time.monotonic() - began)
            raise
        finally:
            self.dependencies.crashes.remove_in_flight(
                upstream.record, self.fingerprint
            )
        self.results.on_answered(slot, response.status, began)
        return response

    def first_byte_deadline(self) -> float:
        """Return the monotonic time at which the first byte times out, in seconds.

        If the request may run again, it is earlier than the request's deadline, so
        that a retry still has time.
        """
        admitted = self.admitted
        if (
            not admitted.route.may_repeat
            or self.runs + 1 >= admitted.route.max_attempts
        ):
            return admitted.deadline
        average_s = self.dependencies.upstreams.average_first_byte_s(admitted.service)
        timeout_s = max(
            FIRST_BYTE_TIMEOUT_TARGET_FACTOR * admitted.route.target_latency_s,
            FIRST_BYTE_TIMEOUT_AVERAGE_FACTOR * average_s,
        )
        return min(admitted.deadline, time.monotonic() + timeout_s)

    async def exchange(
        self, slot: Slot, first_byte_deadline: float, observed: ObservedAttempt
    ) -> web.StreamResponse:
        """Send the request and relay the answer.

        Raises:
            UpstreamNotRunError: The upstream certainly did not run the request.
            UpstreamSilentError: No valid answer arrived before the first-byte deadline.
            UpstreamFailedError: The upstream failed, and the request may run again.
            AnswerTruncatedError: The answer ended before it was complete.
            TimeoutError: The request timed out; it may have run.
        """
        client = self.dependencies.client
        last_id = self.stream.last_id
        try:
            async with asyncio.timeout_at(first_byte_deadline) as first_byte_timeout:
                answer = await client.send(
                    self.admitted, slot.upstream.record, last_event_id=last_id
                )
                try:
                    return await self.relay.relay(
                        answer,
                        first_byte_timeout,
                        partial(self.on_event, slot.upstream.record, observed),
                    )
                finally:
                    answer.close()
        except TimeoutError:
            if self.admitted.remaining_s() <= 0:
                raise
            raise FirstByteTimeoutError("first byte timed out") from None

    def on_event(self, upstream: UpstreamRecord, observed: ObservedAttempt) -> None:
        """Called before each event of a stream is passed on."""
        observed.on_stream_event()
        upstreams = self.dependencies.upstreams
        self.binding.on_event(
            upstream,
            is_first=not self.stream.has_begun,
            is_restarting=upstreams.is_restarting(upstream),
            has_restarted=upstreams.get(upstream).has_restarted,
        )

    def on_not_run(self, slot: Slot, error: UpstreamNotRunError) -> None:
        """Check for a retry after an upstream did not run the request.

        Raises:
            NotRunError: No further attempt is allowed, and the request has not run.
            OutcomeUnknownError: No further attempt is allowed, and the request may
                have run in an earlier one.
        """
        self.is_sent = False
        self.results.on_not_run(slot, error)
        if self.sends < MAX_SENDS and self.retries.approve(reached=error.reached):
            return
        if self.runs:
            raise OutcomeUnknownError(str(error))
        raise NotRunError(
            "unavailable",
            "no upstream took the request",
            retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
        )

    def may_run_again(self) -> bool:
        """Return whether the request may run again; if so, count the retry."""
        route = self.admitted.route
        if not self.binding.may_go_on():
            return False
        if not route.may_repeat or self.runs >= route.max_attempts:
            return False
        if self.sends >= MAX_SENDS or self.admitted.remaining_s() <= 0:
            return False
        return self.retries.approve(reached=True)

    def abort(self, reason: str) -> web.StreamResponse:
        """Abort a stream that has begun, so that it does not look complete."""
        # Tells other entries, to which the caller may come back, if they may not go on.
        self.binding.may_go_on()
        self.log.event(
            _events.ANSWER_CUT,
            request_id=self.admitted.request.request_id,
            reason=reason,
            last_event=self.stream.last_id,
            runs=self.runs,
        )
        return self.stream.abort()
