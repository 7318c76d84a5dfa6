"""The stream from an entry to the guard of one upstream."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from skylarkdoor import events
from skylarkdoor.wire import PeerStub, pb
from skylarkdoord import _events
from skylarkdoord.direct._link import Link
from skylarkdoord.direct._model import Precedence, UpstreamRecord
from skylarkdoord.direct._pace import Pace
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.shares import NO_DEMAND, Demand

# Called with an upstream, as it is listed, and the Unix time of a later start of it, in
# milliseconds.
RestartListener = Callable[[UpstreamRecord, int], None]


class GrantListener(Protocol):
    """Receives the grants of guards and changes of their connections."""

    def on_grant(self, guard: "GuardLink", request: str) -> None:
        """Called when the guard grants a slot to the request."""

    def on_guard_lost(self, guard: "GuardLink") -> None:
        """Called when the guard is disconnected; its open offers are void."""

    def on_guard_connected(self, guard: "GuardLink") -> None:
        """Called when the guard is connected and accepts offers."""

    def on_guard_load(self, guard: "GuardLink") -> None:
        """Called when the guard has reported its load."""


class GuardLink:
    """The stream to one upstream's guard.

    A guard is the admission process beside one engine. It keeps one queue for the
    requests of all entries and grants the engine's slots.

    Args:
        settings: Settings of this process.
        record: The upstream.
        listener: Receives the guard's grants.
        pace: Intervals of the heartbeats.

    Attributes:
        on_streams: Called with the streams that the guard knows.
        on_connected: Called when the guard is connected.
        on_restarted: Called if its guard reports a later start than the registry.
        reported_start: Latest such start that was reported; 0 if none.
        is_opening: Whether the first connection attempt is still under way, so that it
            is unknown whether the upstream has a guard.
        is_connected: Whether the guard is connected.
        load: The guard's latest load report.
        load_at: Monotonic time of that report, in seconds.
        offers_since_report: Number of offers made since that report.
    """

    def __init__(
        self,
        settings: DirectSettings,
        record: UpstreamRecord,
        listener: GrantListener,
        pace: Pace,
    ) -> None:
        self.settings = settings
        self.record = record
        self.listener = listener
        self.on_streams: Callable[[Iterable[pb.BegunStream]], None] = lambda streams: (
            None
        )
        self.on_connected: Callable[[GuardLink], None] = lambda link: None
        self.on_restarted: RestartListener = lambda record, started_ms: None
        self.reported_start = 0
        self.is_opening = True
        self.is_connected = False
        self.load = pb.LoadReport()
        self.load_at = time.monotonic()
        self.offers_since_report = 0
        self.log = events.get_logger("direct.guards")
        host = record.address.rpartition(":")[0]
        address = f"{host}:{settings.guard_port}"
        self.link = Link(
            address, PeerStub, "Connect", self, peer=record.instance, pace=pace
        )
        self.task: asyncio.Task[None] | None = None

    @property
    def room(self) -> int:
        """Estimated number of free slots."""
        return self.load.room - self.offers_since_report

    @property
    def running(self) -> int:
        """Estimated number of requests that run at the upstream."""
        return self.load.running + self.offers_since_report

    @property
    def tokens_per_s(self) -> float:
        """Tokens of one answer that the engine produces per second; 0 if unknown."""
        return self.load.decode_tokens_per_second

    def ahead(self, tier: int) -> int:
        """Return how many requests of a tier or a more important one wait there."""
        return sum(self.load.waiting_by_tier[: tier + 1])

    def offer(
        self, request: str, precedence: Precedence, demand: Demand = NO_DEMAND
    ) -> None:
        """Offer a request, to be granted a slot."""
        offer = pb.Offer(
            request_id=request,
            tier=precedence.tier,
            late=precedence.is_late,
            long=demand.is_long,
            customer=demand.customer,
            weight=demand.weight,
            prompt_tokens=demand.prompt_tokens,
            max_tokens=demand.max_tokens,
            expected_tokens=demand.expected_tokens,
        )
        self.offers_since_report += 1
        self.link.outbox.put(pb.EntryMessage(offer=offer))

    def withdraw(self, request: str, *, is_answered: bool = False) -> None:
        """Withdraw an offer, or return a granted slot.

        Args:
            request: Name of the request.
            is_answered: Whether a slot is returned because the answer is complete.
        """
        withdraw = pb.Withdraw(request_id=request, answered=is_answered)
        self.link.outbox.put(pb.EntryMessage(withdraw=withdraw))

    def update(self, record: UpstreamRecord) -> None:
        """Apply a changed registry record and notify the guard."""
        if record != self.record:
            self.record = record
            if self.is_connected:
                self.link.outbox.put(self.listed_message())

    def listed_message(self) -> pb.EntryMessage:
        """Return the message that gives the guard its upstream's registry state."""
        return pb.EntryMessage(
            listed=pb.Listed(leaving=self.record.is_draining, slots=self.record.slots)
        )

    def opening_messages(self) -> list[pb.EntryMessage]:
        """Return the messages that open the stream."""
        hello = pb.EntryHello(
            instance=self.settings.instance, data_centre=self.settings.data_centre
        )
        return [pb.EntryMessage(hello=hello), self.listed_message()]

    def batch(self, messages: list[pb.EntryMessage]) -> pb.EntryBatch:
        """Return a batch of the pending messages."""
        return pb.EntryBatch(messages=messages)

    def receive(self, batch: pb.SidecarBatch) -> None:
        """Handle a batch of messages from the guard."""
        for message in batch.messages:
            match message.WhichOneof("kind"):
                case "grant":
                    self.listener.on_grant(self, message.grant.request_id)
                case "load":
                    self.load = message.load
                    self.load_at = time.monotonic()
                    self.offers_since_report = 0
                    self.look_for_restart()
                    self.listener.on_guard_load(self)
                case "streams":
                    self.on_streams(message.streams.streams)
                case "leaving":
                    self.disconnect()

    def look_for_restart(self) -> None:
        """Look whether the upstream has started again since it was listed."""
        listed = self.record.started_ms
        started_ms = self.load.started_ms
        if not listed or started_ms <= max(listed, self.reported_start):
            return
        self.reported_start = started_ms
        self.log.event(
            _events.UPSTREAM_RESTARTED,
            upstream=self.record.instance,
            listed_ms=listed,
            started_ms=started_ms,
        )
        self.on_restarted(self.record, started_ms)

    def on_open(self) -> None:
        """Mark the guard as connected and notify the listener."""
        self.is_opening = False
        self.is_connected = True
        self.log.event(_events.PEER_CONNECTED, peer=self.record.instance)
        self.listener.on_guard_connected(self)
        self.on_connected(self)

    def on_lost(self, *, is_silent: bool) -> None:
        """Handle the loss of the stream."""
        self.disconnect()

    def disconnect(self) -> None:
        """Mark the guard as disconnected and notify the listener."""
        if self.is_connected or self.is_opening:
            self.is_opening = False
            self.is_connected = False
            self.load = pb.LoadReport()
            self.offers_since_report = 0
            self.listener.on_guard_lost(self)
