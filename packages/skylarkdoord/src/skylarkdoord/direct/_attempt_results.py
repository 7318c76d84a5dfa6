"""Records what the attempts of a request tell about upstreams and crashes."""

import time

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord.direct._answer_relay import MIN_SERVER_ERROR_STATUS
from skylarkdoord.direct._forward_dependencies import ForwarderDependencies
from skylarkdoord.direct._metrics import CALLS, FIRST_EVENT
from skylarkdoord.direct._model import MS_PER_S, Admitted
from skylarkdoord.direct._relay import CallerStream
from skylarkdoord.direct._waiting import Slot
from skylarkdoord.direct.evidence import SharedPart
from skylarkdoord.direct.exceptions import UpstreamNotRunError

# A caller that disconnects sooner than this does not count against the upstream.
MIN_SILENCE_S = 1.0


class AttemptResults:
    """Records the results of one request's attempts, and logs each of its steps.

    Args:
        dependencies: Components that learn of the results.
        admitted: The request.
        stream: The caller's side of a streamed answer.
        fingerprint: Identifies the request and its repeats.
        parts: Parts of its prompt that other requests may share.
    """

    def __init__(
        self,
        dependencies: ForwarderDependencies,
        admitted: Admitted,
        stream: CallerStream,
        fingerprint: int,
        parts: tuple[SharedPart, ...],
    ) -> None:
        self.upstreams = dependencies.upstreams
        self.crashes = dependencies.crashes
        self.admitted = admitted
        self.stream = stream
        self.fingerprint = fingerprint
        self.parts = parts
        self.log = events.get_logger("direct.forward")

    def on_answered(self, slot: Slot, status: int, began: float) -> None:
        """Record an answer that was passed on.

        Args:
            slot: The slot of the attempt.
            status: Status of the answer.
            began: Monotonic time at which the attempt began, in seconds.
        """
        first_byte_at = self.stream.began_at if self.stream.has_begun else began
        is_error = status >= MIN_SERVER_ERROR_STATUS
        self.upstreams.on_answer(slot.upstream, is_error=is_error)
        self.upstreams.on_success(slot.upstream)
        if not is_error:
            self.crashes.on_answered(self.fingerprint, began, self.parts, first_byte_at)
        first_byte_s = 0.0
        if self.stream.has_begun:
            first_byte_s = self.stream.began_at - began
            self.upstreams.on_first_byte(slot.upstream, first_byte_s)
            FIRST_EVENT.labels(str(self.admitted.rank)).observe(first_byte_s)
        self.log_step(
            slot,
            "answered",
            began,
            status=status,
            first_ms=round(first_byte_s * MS_PER_S),
        )

    def on_failed(self, slot: Slot, status: int, began: float) -> None:
        """Record an error with which the upstream answered; see `on_answered`."""
        self.upstreams.on_answer(slot.upstream, is_error=True)
        self.log_step(slot, "failed", began, status=status)

    def on_not_run(self, slot: Slot, error: UpstreamNotRunError) -> None:
        """Record why an upstream did not run the request."""
        if error.code == "full":
            self.upstreams.on_full(slot.upstream)
        elif error.code == "moved":
            self.upstreams.on_moved(slot.upstream)
            self.crashes.on_replaced(slot.upstream.record)
        else:
            self.upstreams.on_unreachable(slot.upstream, error.code)
        self.log_step(slot, error.code, time.monotonic())

    def on_lost(self, slot: Slot, error: Exception) -> None:
        """Record that an upstream's answer was lost or incomplete."""
        self.upstreams.on_answer_lost(slot.upstream, str(error))
        self.crashes.on_answer_lost(slot.upstream.record, self.fingerprint, self.parts)
        self.log_step(slot, "lost", time.monotonic(), error=str(error))

    def on_timeout(self, slot: Slot, began: float) -> None:
        """Record that the request timed out; see `on_answered`."""
        self.log_step(slot, "timeout", began)
        self.crashes.on_unanswered(slot.upstream.record, self.fingerprint, self.parts)
        if not self.stream.has_begun:
            self.upstreams.on_timeout(slot.upstream, "timeout", since=began)

    def on_left(self, slot: Slot, waited_s: float) -> None:
        """Count a failure of the upstream if the caller got no answer for too long.

        The wait must exceed four times the service's average time to the first byte.

        Args:
            slot: The slot of the attempt.
            waited_s: Time from the attempt until the caller disconnected, in seconds.
        """
        self.log_step(slot, "left", time.monotonic() - waited_s)
        self.crashes.on_unanswered(slot.upstream.record, self.fingerprint, self.parts)
        average_s = self.upstreams.average_first_byte_s(self.admitted.service)
        if not self.stream.has_begun and waited_s > max(MIN_SILENCE_S, 4 * average_s):
            since = time.monotonic() - waited_s
            self.upstreams.on_timeout(slot.upstream, "silent", since=since)

    def log_step(
        self, slot: Slot | None, step: str, since: float, **fields: object
    ) -> None:
        """Log and count a step of the request, with its upstream if it has a slot."""
        admitted = self.admitted
        CALLS.labels(admitted.service, step).inc()
        if slot is not None:
            fields |= {
                "upstream": slot.upstream.instance,
                "version": slot.upstream.record.version,
                "last_event": self.stream.last_id
                or admitted.request.last_event_id
                or None,
                "waited_ms": round(slot.waited_s * MS_PER_S),
                "running": slot.upstream.running,
            }
        self.log.event(
            _events.REQUEST_STEP,
            request_id=admitted.request.request_id,
            fingerprint=f"{self.fingerprint:016x}",
            step=step,
            route=admitted.route.name,
            rank=admitted.rank,
            took_ms=round((time.monotonic() - since) * MS_PER_S),
            config_version=admitted.version,
            **admitted.request.size_fields(),
            **fields,
        )
