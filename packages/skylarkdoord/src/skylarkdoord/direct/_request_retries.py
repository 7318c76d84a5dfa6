"""Retries of one request, within the retry budget."""

from skylarkdoor import events
from skylarkdoord import _events
from skylarkdoord._retry_limiter import Retry, RetryLimiter
from skylarkdoord.direct._metrics import REPEATS, RETRIES_SENT, RETRIES_WAITING
from skylarkdoord.direct._model import MS_PER_S, Admitted
from skylarkdoord.direct._waiting import Slot


class RequestRetries:
    """Asks the budget for the retries of one request and counts them.

    Args:
        limiter: The retry budget.
        admitted: The request.

    Attributes:
        current: The retry that the budget allowed last; None before the first.
    """

    def __init__(self, limiter: RetryLimiter, admitted: Admitted) -> None:
        self.limiter = limiter
        self.service = admitted.service
        self.request_id = admitted.request.request_id
        self.current: Retry | None = None
        self.log = events.get_logger("direct.retries")

    def approve(self, *, reached: bool) -> bool:
        """Return whether the budget allows a retry.

        Args:
            reached: Whether the attempt before reached an upstream. If not, nothing
                has arrived that would make the next attempt a retry.
        """
        if not reached:
            self.take_back()
            return True
        self.current = self.limiter.approve(self.service)
        is_allowed = self.current is not None
        REPEATS.labels(self.service, str(is_allowed).lower()).inc()
        if is_allowed:
            RETRIES_WAITING.labels(self.service).inc()
        bucket = self.limiter.bucket(self.service)
        self.log.event(
            _events.RETRY_DECIDED,
            request_id=self.request_id,
            service=self.service,
            allowed=is_allowed,
            available=round(bucket.available, 1),
            waiting=bucket.counts.waiting,
            entries=self.limiter.shared_by,
        )
        return is_allowed

    def take_back(self) -> None:
        """Let the present retry wait again, if there is one."""
        if self.current is not None and not self.current.is_waiting:
            self.current.take_back()
            RETRIES_WAITING.labels(self.service).inc()

    def send(self, slot: Slot) -> bool:
        """Return whether the next attempt may be sent, and count it if it is a retry.

        Args:
            slot: The slot that the attempt uses.
        """
        if self.current is None or not self.current.is_waiting:
            return True
        RETRIES_WAITING.labels(self.service).dec()
        is_sent = self.current.send()
        if is_sent:
            RETRIES_SENT.labels(self.service).inc()
        self.log.event(
            _events.RETRY_SENT,
            request_id=self.request_id,
            service=self.service,
            upstream=slot.upstream.instance,
            allowed=is_sent,
            waited_ms=round(slot.waited_s * MS_PER_S),
            waiting=self.current.bucket.counts.waiting,
        )
        return is_sent

    def end(self) -> None:
        """Give back a retry that was not sent."""
        if self.current is not None and self.current.is_waiting:
            self.current.end()
            RETRIES_WAITING.labels(self.service).dec()
