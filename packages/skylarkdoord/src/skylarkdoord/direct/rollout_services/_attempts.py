"""Applies roll-outs to the attempts of requests, and observes their answers."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from types import TracebackType

from skylarkdoor.clock import boot_time_s
from skylarkdoord.direct._choice import ANY_VERSION
from skylarkdoord.direct._metrics import ROLLOUT_REQUESTS
from skylarkdoord.direct._model import Admitted, UpstreamRecord
from skylarkdoord.direct._probe import is_down
from skylarkdoord.direct._upstreams import Upstreams
from skylarkdoord.direct.exceptions import (
    AnswerTruncatedError,
    FirstByteTimeoutError,
    UpstreamFailedError,
    UpstreamSilentError,
    VersionGoneError,
)
from skylarkdoord.direct.rollouts import Phase, RolloutGate, Versions

MIN_SERVER_ERROR_STATUS = 500
# Delay of the probe after an answer broke off. A crashed upstream refuses connections
# for longer than this.
PROBE_DELAY_S = 0.15


class RolloutAttempts:
    """Says where attempts may be sent, and gathers evidence on their answers.

    Args:
        gate: Limits what is sent to versions on trial; None if no roll-outs are
            handled, which leaves everything as it is.
        upstreams: The upstreams in use.
        clock: Returns monotonic time that includes time in suspend, in seconds.
        probe: Returns whether an upstream accepts no connections.
    """

    def __init__(
        self,
        gate: RolloutGate | None = None,
        upstreams: Upstreams | None = None,
        *,
        clock: Callable[[], float] = boot_time_s,
        probe: Callable[[UpstreamRecord], Awaitable[bool]] = is_down,
    ) -> None:
        self.gate = gate
        self.upstreams = upstreams
        self.clock = clock
        self.probe = probe
        self.probes: set[asyncio.Task[None]] = set()

    def versions_for(self, admitted: Admitted, *, is_first: bool) -> Versions:
        """Return the versions of the upstreams that may take a request.

        Args:
            admitted: The request, which goes on with no stream.
            is_first: Whether it has not been sent before.
        """
        if self.gate is None:
            return ANY_VERSION
        service, now_s = admitted.service, self.clock()
        if not is_first:
            return self.retry_versions(service)
        instances = self.new_instances(service)
        return self.gate.versions_for(service, admitted.route.name, instances, now_s)

    def retry_versions(self, service: str) -> Versions:
        """Return the versions for requests that are no trial."""
        if self.gate is None:
            return ANY_VERSION
        instances = self.new_instances(service)
        return self.gate.versions_for_retry(service, instances, self.clock())

    def new_instances(self, service: str) -> list[str]:
        """Return the upstreams of the new version that take requests."""
        decision = self.gate.decision(service) if self.gate else None
        if decision is None or self.upstreams is None:
            return []
        return [
            upstream.instance
            for upstream in self.upstreams.of_service(service)
            if upstream.record.version == decision.order.version
            and not upstream.is_paused(self.upstreams.clock())
        ]

    def check_resumption(self, admitted: Admitted, version: str) -> None:
        """Check that a stream may go on at its version.

        Raises:
            VersionGoneError: It may not.
        """
        if self.gate is None:
            return
        if not self.gate.allows_resumption(admitted.service, version, self.clock()):
            raise VersionGoneError(
                "version_gone", f"nothing is sent to version {version!r}"
            )

    def may_send(
        self, admitted: Admitted, record: UpstreamRecord, *, is_bound: bool
    ) -> bool:
        """Return whether a request that got a slot may still be sent there.

        Args:
            admitted: The request.
            record: The upstream.
            is_bound: Whether the request goes on with a stream of that version.
        """
        if self.gate is None:
            return True
        service = admitted.service
        if not self.gate.may_send(service, record.version, self.clock()):
            return False
        decision = self.gate.decision(service)
        if decision is None or is_bound or decision.phase is Phase.TRIAL:
            return True
        return self.retry_versions(service).allows(record.version)

    def observe(
        self, admitted: Admitted, record: UpstreamRecord, *, is_first: bool
    ) -> "ObservedAttempt":
        """Return a context manager in which an attempt is sent to an upstream."""
        return ObservedAttempt(self, admitted, record, is_first=is_first)

    def count_if_up(self, record: UpstreamRecord, count: Callable[[], None]) -> None:
        """Count a lost answer unless the upstream crashed or can't be reached."""
        task = asyncio.create_task(self.check(record, count))
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)

    async def check(self, record: UpstreamRecord, count: Callable[[], None]) -> None:
        """Probe an upstream and count if it accepts connections."""
        await asyncio.sleep(PROBE_DELAY_S)
        if self.upstreams is not None:
            listed = self.upstreams.fleet.find(record.instance)
            if listed is None or listed.incarnation != record.incarnation:
                return
        if not await self.probe(record):
            count()


class ObservedAttempt:
    """One attempt at an upstream, from its sending to its end.

    Args:
        attempts: What it belongs to.
        admitted: The request.
        record: The upstream.
        is_first: Whether the request goes where its first versions sent it.

    Attributes:
        longest_s: Longest time without an event, in seconds.
        status: Status of the answer; 0 without one.
    """

    def __init__(
        self,
        attempts: RolloutAttempts,
        admitted: Admitted,
        record: UpstreamRecord,
        *,
        is_first: bool,
    ) -> None:
        self.attempts = attempts
        self.gate = attempts.gate
        self.admitted = admitted
        self.record = record
        self.is_first = is_first
        self.is_once = not admitted.route.may_repeat
        self.has_events = False
        self.longest_s = 0.0
        self.status = 0

    def __enter__(self) -> "ObservedAttempt":
        self.latest = time.monotonic()
        if self.gate is not None:
            self.count_sent(self.gate)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.gate is None:
            return
        service, version = self.admitted.service, self.record.version
        self.gate.on_ended(service, version, is_once=self.is_once)
        self.on_event()
        match error:
            case None:
                self.count(is_failure=self.status >= MIN_SERVER_ERROR_STATUS)
            case UpstreamFailedError() | FirstByteTimeoutError():
                self.count(is_failure=True)
            case TimeoutError():
                self.count(is_failure=not self.has_events)
            case AnswerTruncatedError() | UpstreamSilentError():
                self.attempts.count_if_up(
                    self.record, lambda: self.count(is_failure=True)
                )

    def count_sent(self, gate: RolloutGate) -> None:
        """Count the request as sent."""
        service, version = self.admitted.service, self.record.version
        gate.on_sent(service, version, is_once=self.is_once, is_first=self.is_first)
        decision = gate.decision(service)
        if decision is not None:
            is_new = version == decision.order.version
            ROLLOUT_REQUESTS.labels(service, "new" if is_new else "old").inc()

    def on_event(self) -> None:
        """Measure the time since the previous event, or since the request was sent."""
        now = time.monotonic()
        self.longest_s = max(self.longest_s, now - self.latest)
        self.latest = now

    def on_stream_event(self) -> None:
        """Record an event of a stream."""
        self.has_events = True
        self.on_event()

    def count(self, *, is_failure: bool) -> None:
        """Count the answer as evidence."""
        assert self.gate is not None
        request = self.admitted.request
        size = request.prompt_tokens if request.has_token_counts else len(request.body)
        self.gate.on_answer(
            self.admitted.service,
            self.admitted.route.name,
            size,
            self.record.version,
            self.longest_s,
            is_failure=is_failure,
        )
