"""Timing of the requests inside the upstream."""

import time
from collections.abc import Callable

from skylarkdoor.wire import pb
from skylarkdoord.sidecar._estimates import Estimates, Reserved
from skylarkdoord.sidecar._limits import AdaptiveLimit

EVENT_MARK = b"data:"
MEASURED_PROMPT_TOKENS = 1
LEAST_GAPS = 16
LEARN_INTERVAL_S = 0.5


class Flight:
    """One dispatched request as its answer comes.

    Args:
        reserved: What its grant reserved.
        flights: Where its times go.
    """

    def __init__(self, reserved: Reserved, flights: "Flights") -> None:
        self.reserved = reserved
        self.flights = flights
        self.started_at = time.monotonic()
        self.first_at = 0.0
        self.last_at = 0.0
        self.tokens = 0

    def on_chunk(self, chunk: bytes) -> None:
        """Note tokens as they come from the upstream."""
        tokens = chunk.count(EVENT_MARK)
        if not tokens:
            return
        now = time.monotonic()
        if not self.tokens:
            self.first_at = now
            self.flights.on_first_token(self, now - self.started_at)
        else:
            self.flights.on_gap(self, (now - self.last_at) / tokens)
        self.last_at = now
        self.tokens += tokens

    def on_end(self, *, whole: bool) -> None:
        """Note the end of the answer."""
        self.flights.on_end(self, time.monotonic() - self.started_at, whole=whole)


class Flights:
    """The requests granted or inside the upstream, and what they teach.

    Args:
        estimates: Learns speeds.
        limit: Learns times to compare with its targets.
        on_computed: Called with each offer whose prompt has been computed.
    """

    def __init__(
        self,
        estimates: Estimates,
        limit: AdaptiveLimit,
        *,
        on_computed: Callable[[pb.Offer], None],
    ) -> None:
        self.estimates = estimates
        self.limit = limit
        self.on_computed = on_computed
        self.gaps: dict[str, list[float]] = {}
        self.learned_at = 0.0
        self.reserved: dict[str, Reserved] = {}
        self.flying: dict[str, Flight] = {}
        self.prefilling: dict[str, float] = {}
        self.prefill_s = 0.0

    @property
    def running(self) -> int:
        """Requests that take room: granted, accepted or dispatched."""
        return len(self.reserved)

    def reserve(self, request_id: str, reserved: Reserved) -> None:
        """Hold room for a granted request."""
        self.reserved[request_id] = reserved
        self.prefilling[request_id] = reserved.prefill_s
        self.prefill_s += reserved.prefill_s

    def start(self, request_id: str) -> None:
        """Note that a request goes to the upstream."""
        self.flying[request_id] = Flight(self.reserved[request_id], self)

    def release(self, request_id: str) -> bool:
        """Free the room of a request; returns whether it had any."""
        self._computed(request_id)
        self.flying.pop(request_id, None)
        return self.reserved.pop(request_id, None) is not None

    def on_first_token(self, flight: Flight, seconds: float) -> None:
        """Learn the speed of prefill."""
        offer, cached, _ = flight.reserved
        self._computed(offer.request_id)
        tokens = max(MEASURED_PROMPT_TOKENS, offer.prompt_tokens - cached)
        own_s = self.estimates.prefill_s(offer, cached=cached)
        self.estimates.learn_first(offer.model, tokens, seconds)
        self.limit.firsts.append(max(0.0, seconds - own_s))
        self.on_computed(offer)

    def on_gap(self, flight: Flight, seconds: float) -> None:
        """Note the time between two tokens."""
        self.limit.gaps.append(seconds)
        self.gaps.setdefault(flight.reserved.offer.model, []).append(seconds)

    def on_end(self, flight: Flight, seconds: float, *, whole: bool) -> None:
        """Learn the length of an answer, or the time of one in one piece."""
        offer = flight.reserved.offer
        if not whole:
            return
        if not flight.tokens:
            self.estimates.learn_whole(flight.reserved, seconds, self.running)
            self.on_computed(offer)
        elif offer.max_tokens:
            share = flight.tokens / offer.max_tokens
            self.estimates.learn_length(offer.model, share)

    def tick(self) -> None:
        """Learn from the gaps since the last call, and free hidden prefill."""
        now = time.monotonic()
        if now - self.learned_at > LEARN_INTERVAL_S:
            self.learned_at = now
            self._learn_gaps()
        self._free_hidden(now)

    def _learn_gaps(self) -> None:
        for model, gaps in self.gaps.items():
            if len(gaps) >= LEAST_GAPS:
                self.estimates.of_decode(model).learn(gaps, self.running)
                self.estimates.touch()
                gaps.clear()

    def _free_hidden(self, now: float) -> None:
        # An answer in one piece doesn't show when its prompt was computed.
        for request_id, flight in self.flying.items():
            if flight.reserved.offer.streamed:
                continue
            if now - flight.started_at > self.prefilling.get(request_id, 0.0):
                self._computed(request_id)

    def _computed(self, request_id: str) -> None:
        self.prefill_s -= self.prefilling.pop(request_id, 0.0)
        if not self.prefilling:
            self.prefill_s = 0.0
