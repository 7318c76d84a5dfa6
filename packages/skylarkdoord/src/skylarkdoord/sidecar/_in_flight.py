"""Tracks granted and dispatched requests and measures their latency."""

import time
from collections.abc import Callable

from skylarkdoor.wire import pb
from skylarkdoord.sidecar._estimates import Estimates, Reservation
from skylarkdoord.sidecar._limits import AdaptiveLimit

EVENT_PREFIX = b"data:"
MIN_PROMPT_TOKENS = 1
MIN_GAPS = 16
LEARN_INTERVAL_S = 0.5


class InFlightRequest:
    """Measures the latency of one dispatched request.

    Args:
        reserved: Resources that its grant reserved.
        in_flight: Receives the measured times.
    """

    def __init__(self, reserved: Reservation, in_flight: "InFlightRequests") -> None:
        self.reserved = reserved
        self.in_flight = in_flight
        self.started_at = time.monotonic()
        self.first_at = 0.0
        self.last_at = 0.0
        self.tokens = 0

    def on_chunk(self, chunk: bytes) -> None:
        """Measure the arrival of a chunk; each event counts as one token."""
        tokens = chunk.count(EVENT_PREFIX)
        if not tokens:
            return
        now = time.monotonic()
        if not self.tokens:
            self.first_at = now
            self.in_flight.on_first_token(self, now - self.started_at)
        else:
            self.in_flight.on_gap(self, (now - self.last_at) / tokens)
        self.last_at = now
        self.tokens += tokens

    def on_end(self, *, succeeded: bool) -> None:
        """Report the total time.

        Args:
            succeeded: Whether the response is complete and successful.
        """
        self.in_flight.on_end(
            self, time.monotonic() - self.started_at, succeeded=succeeded
        )


class InFlightRequests:
    """The granted and dispatched requests; their latency updates the estimates.

    Args:
        estimates: Receives samples of the upstream's speed.
        limit: Receives latencies to compare with its targets.
        on_prompt_computed: Called with each offer whose prompt has been computed.
    """

    def __init__(
        self,
        estimates: Estimates,
        limit: AdaptiveLimit,
        *,
        on_prompt_computed: Callable[[pb.Offer], None],
    ) -> None:
        self.estimates = estimates
        self.limit = limit
        self.on_prompt_computed = on_prompt_computed
        self.gaps: dict[str, list[float]] = {}
        self.learned_at = 0.0
        self.reservations: dict[str, Reservation] = {}
        self.dispatched: dict[str, InFlightRequest] = {}
        self.prefilling: dict[str, float] = {}
        self.prefill_s = 0.0

    @property
    def running(self) -> int:
        """Number of requests that hold a slot: granted, accepted or dispatched."""
        return len(self.reservations)

    def reserve(self, request_id: str, reserved: Reservation) -> None:
        """Reserve a slot for a granted request."""
        self.reservations[request_id] = reserved
        self.prefilling[request_id] = reserved.prefill_s
        self.prefill_s += reserved.prefill_s

    def start(self, request_id: str) -> None:
        """Start the time measurement of a request that is sent to the upstream."""
        self.dispatched[request_id] = InFlightRequest(
            self.reservations[request_id], self
        )

    def release(self, request_id: str) -> bool:
        """Free the slot of a request; returns whether it held one."""
        self._end_prefill(request_id)
        self.dispatched.pop(request_id, None)
        return self.reservations.pop(request_id, None) is not None

    def on_first_token(self, request: InFlightRequest, seconds: float) -> None:
        """Update the prefill estimate with a time to first token, in seconds."""
        offer, cached, _ = request.reserved
        self._end_prefill(offer.request_id)
        tokens = max(MIN_PROMPT_TOKENS, offer.prompt_tokens - cached)
        own_s = self.estimates.prefill_s(offer, cached=cached)
        self.estimates.learn_first_token(offer.model, tokens, seconds)
        self.limit.first_token_waits.append(max(0.0, seconds - own_s))
        self.on_prompt_computed(offer)

    def on_gap(self, request: InFlightRequest, seconds: float) -> None:
        """Record a time between two tokens, in seconds."""
        self.limit.gaps.append(seconds)
        self.gaps.setdefault(request.reserved.offer.model, []).append(seconds)

    def on_end(
        self, request: InFlightRequest, seconds: float, *, succeeded: bool
    ) -> None:
        """Record the length or the total time, in seconds, of a complete response."""
        offer = request.reserved.offer
        if not succeeded:
            return
        if not request.tokens:
            self.estimates.learn_unstreamed(request.reserved, seconds, self.running)
            self.on_prompt_computed(offer)
        elif offer.max_tokens:
            share = request.tokens / offer.max_tokens
            self.estimates.learn_length(offer.model, share)

    def tick(self) -> None:
        """Update the estimates periodically and end unobservable prefills."""
        now = time.monotonic()
        if now - self.learned_at > LEARN_INTERVAL_S:
            self.learned_at = now
            self._learn_gaps()
        self._end_unobserved_prefills(now)

    def _learn_gaps(self) -> None:
        for model, gaps in self.gaps.items():
            if len(gaps) >= MIN_GAPS:
                self.estimates.of_decode(model).learn(gaps, self.running)
                self.estimates.touch()
                gaps.clear()

    def _end_unobserved_prefills(self, now: float) -> None:
        # The end of prefill can't be observed in a response that isn't streamed, so the
        # estimated prefill time is used.
        for request_id, request in self.dispatched.items():
            if request.reserved.offer.streamed:
                continue
            if now - request.started_at > self.prefilling.get(request_id, 0.0):
                self._end_prefill(request_id)

    def _end_prefill(self, request_id: str) -> None:
        self.prefill_s -= self.prefilling.pop(request_id, 0.0)
        if not self.prefilling:
            self.prefill_s = 0.0
