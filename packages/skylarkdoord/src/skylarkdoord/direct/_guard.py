"""The guard: the admission process beside one engine.

A guard keeps one queue for the requests of all entries and grants the engine's slots.
"""

import asyncio
import itertools
from collections import Counter

from grpclib.server import Server, Stream

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.wire import CONNECTION_LOST_ERRORS, Outbox, PeerBase, pb
from skylarkdoord import _events
from skylarkdoord._listening import open_port
from skylarkdoord.direct._engine_reports import Report
from skylarkdoord.direct._link import run_stream
from skylarkdoord.direct._metrics import (
    GUARD_ANSWER_SPEED,
    GUARD_MEMORY_TOKENS,
    GUARD_OCCUPIED_SLOTS,
    GUARD_RESERVED_TOKENS,
    GUARD_SLOTS,
    GUARD_STREAMS,
    GUARD_WAITING,
)
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._occupancy import SETTLE_S, Occupancy, Sample
from skylarkdoord.direct._pace import Pace, guard_heartbeat_s
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.shares import (
    Demand,
    FairOrder,
    LengthOrder,
    QueueCounts,
    SlotQueue,
    TokenMemory,
    is_weight,
)
from skylarkdoord.direct.streams import StreamRecords

REPORT_INTERVAL_S = 0.1
# Largest number of entries that receive a report within that interval. With more
# entries, the interval grows in proportion.
MAX_ENTRIES_PER_INTERVAL = 6
# While the upstream stays full, or stays with free slots, load changes are reported
# only once in this many intervals.
MINOR_CHANGE_INTERVALS = 2
# Time between the shutdown message to entries and the end of their streams.
SHUTDOWN_NOTICE_S = 0.05
# Time for which requests of a disconnected entry keep their slots, as they may still
# run.
ORPHAN_TIMEOUT_S = 2.0
# Streams of which a guard keeps the version. They have no age limit, as nothing bounds
# the time after which a caller comes back.
MAX_STREAMS = 20_000


class _EntryStream:
    """The guard's side of the stream of one entry."""

    def __init__(
        self, guard: "Guard", key: str, outbox: Outbox[pb.SidecarMessage]
    ) -> None:
        self.guard = guard
        self.key = key
        self.outbox = outbox
        self.entry = ""
        self.is_weight_rejected = False

    def opening_messages(self) -> list[pb.SidecarMessage]:
        return []

    def batch(self, messages: list[pb.SidecarMessage]) -> pb.SidecarBatch:
        return pb.SidecarBatch(messages=messages)

    def receive(self, batch: pb.EntryBatch) -> None:
        for message in batch.messages:
            self.guard.handle(message, self)

    def on_open(self) -> None:
        pass

    def on_lost(self, *, is_silent: bool) -> None:
        pass


class Guard(PeerBase):
    """Accepts the streams of entries and grants slots to their requests.

    Args:
        settings: Settings of this process.
    """

    name = "guard"
    requires: tuple[str, ...] = ()

    def __init__(self, settings: DirectSettings) -> None:
        self.settings = settings
        is_fair = settings.shares is not None and settings.shares.customers
        self.queue = SlotQueue(
            self.send_grant,
            order=FairOrder() if is_fair else LengthOrder(),
            memory=TokenMemory() if settings.shares is not None else None,
        )
        self.is_memory_full = False
        self.occupancy = Occupancy()
        # Unix time of the engine's latest start, in milliseconds; 0 if not stated.
        self.started_ms = 0
        self.streams = StreamRecords(MAX_STREAMS)
        self.outboxes: dict[str, Outbox[pb.SidecarMessage]] = {}
        self.stream_numbers = itertools.count()
        self.pace = Pace(lambda: guard_heartbeat_s(len(self.outboxes)))
        self.server = Server([self])
        self.log = events.get_logger("direct.guard")

    async def start(self, kernel: Kernel) -> None:
        """Listen for entries."""
        await open_port(kernel, self.settings.listen.peers, self.server.start)
        kernel.supervise(self.report_loads, name="guard.report")
        self.log.event(_events.PROCESS_READY, address=self.settings.listen.peers)

    async def stop(self) -> None:
        """Notify the entries of the shutdown, then close their streams.

        The entries use the upstream without a guard from then on.
        """
        leaving = pb.SidecarMessage(leaving=pb.Leaving(reason="shutdown"))
        for outbox in self.outboxes.values():
            outbox.put(leaving)
        await asyncio.sleep(SHUTDOWN_NOTICE_S)
        self.server.close()
        await self.server.wait_closed()

    async def Connect(  # noqa: N802
        self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]"
    ) -> None:
        """Serve one entry's stream until it ends."""
        outbox: Outbox[pb.SidecarMessage] = Outbox()
        handler = _EntryStream(self, f"stream-{next(self.stream_numbers)}", outbox)
        self.outboxes[handler.key] = outbox
        outbox.put(self.load())
        try:
            await run_stream(stream, handler, outbox, self.pace)
        except CONNECTION_LOST_ERRORS as error:
            self.log.event(_events.PEER_LOST, peer=handler.entry, error=repr(error))
        finally:
            self.drop_stream(handler.key)

    def drop_stream(self, stream: str) -> None:
        """Drop a stream; its running requests keep their slots for a limited time."""
        del self.outboxes[stream]
        loop = asyncio.get_running_loop()
        for request in self.queue.drop_waiting(stream):
            loop.call_later(ORPHAN_TIMEOUT_S, self.queue.withdraw, stream, request)

    def handle(self, message: pb.EntryMessage, stream: _EntryStream) -> None:
        """Handle one message from an entry."""
        match message.WhichOneof("kind"):
            case "hello":
                stream.entry = message.hello.instance
                self.log.event(_events.PEER_CONNECTED, peer=stream.entry)
            case "offer":
                offer = message.offer
                precedence = Precedence(offer.tier, offer.late)
                demand = self.demand(offer, stream)
                self.queue.offer(stream.key, offer.request_id, precedence, demand)
            case "withdraw":
                withdraw = message.withdraw
                self.queue.withdraw(
                    stream.key, withdraw.request_id, is_answered=withdraw.answered
                )
            case "listed":
                self.queue.resize(message.listed.slots)
            case "begun":
                self.streams.merge([message.begun])
            case "streams_wanted":
                self.answer(message.streams_wanted, stream)

    def answer(self, wanted: pb.StreamsWanted, stream: _EntryStream) -> None:
        """Tell an entry the versions of streams for which it asks."""
        known = self.streams.answer(wanted.streams)
        if known:
            streams = pb.BegunStreams(streams=known)
            stream.outbox.put(pb.SidecarMessage(streams=streams))

    def demand(self, offer: pb.Offer, stream: _EntryStream) -> Demand:
        """Return an offer's demand; a weight that can't be used counts as not stated.

        Such a weight is logged once for each stream.
        """
        weight = offer.weight
        if weight and not is_weight(weight):
            if not stream.is_weight_rejected:
                self.log.event(
                    _events.WEIGHT_REJECTED,
                    peer=stream.entry,
                    customer=offer.customer,
                    weight=repr(weight),
                    expected="a finite number above 0",
                )
            stream.is_weight_rejected = True
            weight = 0.0
        return Demand(
            offer.customer,
            weight,
            offer.prompt_tokens,
            offer.max_tokens,
            is_long=offer.long,
            expected_tokens=offer.expected_tokens,
        )

    def send_grant(self, stream: str, request: str) -> None:
        """Send an entry the grant of a slot to its request."""
        outbox = self.outboxes.get(stream)
        if outbox is not None:
            outbox.put(pb.SidecarMessage(grant=pb.Grant(request_id=request)))

    def on_report(self, report: Report) -> None:
        """Correct the count of used slots by the engine's load report.

        No slots are granted while the engine is down. An engine that is down appears
        idle and would attract requests that running engines could serve.
        """
        if report.is_down == self.queue.is_open:
            self.queue.set_open(not report.is_down)
        load = report.load
        if load is None:
            self.occupancy.clear()
        else:
            self.on_start(load.started_ms)
            self.queue.set_memory(load.cache_size)
            granted = len(self.queue.granted)
            settled = self.queue.settled(SETTLE_S)
            in_engine = load.running + load.waiting
            self.occupancy.record(Sample(granted, settled, in_engine))
        correction = self.occupancy.correction()
        if correction != self.queue.correction:
            self.log.event(
                _events.SLOTS_CORRECTED,
                correction=correction,
                granted=len(self.queue.granted),
                running=load.running if load else None,
                waiting=load.waiting if load else None,
            )
        self.queue.set_correction(correction)

    def on_start(self, started_ms: int) -> None:
        """Tell the entries when the engine started, as the registry lags behind.

        Args:
            started_ms: Unix time of the start, in milliseconds; 0 if not stated.
        """
        if started_ms <= self.started_ms:
            return
        self.started_ms = started_ms
        for outbox in self.outboxes.values():
            outbox.put(self.load())

    def load(self) -> pb.SidecarMessage:
        """Return the load report for entries."""
        counts = self.queue.counts()
        report = pb.LoadReport(
            running=counts.running,
            limit=counts.slots,
            room=0 if counts.is_full else counts.slots - counts.running,
            waiting_by_tier=self.waiting_by_tier(),
            decode_tokens_per_second=self.queue.speed.tokens_per_s,
            started_ms=self.started_ms,
        )
        return pb.SidecarMessage(load=report)

    def waiting_by_tier(self) -> list[int]:
        """Return the number of waiting requests of each tier, the highest first."""
        tiers = Counter(
            offered.precedence.tier for offered in self.queue.waiting.values()
        )
        return [tiers[tier] for tier in range(max(tiers, default=-1) + 1)]

    def observe_memory(self, counts: QueueCounts) -> None:
        """Show whether requests wait for the engine's memory although slots are free.

        Each change is logged.
        """
        memory = self.queue.memory
        if memory is None:
            return
        GUARD_RESERVED_TOKENS.set(memory.reserved)
        GUARD_MEMORY_TOKENS.set(memory.size)
        if counts.is_memory_full == self.is_memory_full:
            return
        self.is_memory_full = counts.is_memory_full
        self.log.event(
            _events.ENGINE_MEMORY_FULL
            if self.is_memory_full
            else _events.ENGINE_MEMORY_FREE,
            reserved_tokens=round(memory.reserved),
            size_tokens=memory.size,
            running=counts.running,
            slots=counts.slots,
            waiting=counts.waiting,
        )

    async def report_loads(self) -> None:
        """Report the load to all entries whenever it has changed.

        A change between full and not full is reported within one interval, other
        changes only every `MINOR_CHANGE_INTERVALS` intervals.
        """
        reported = self.queue.counts()
        interval = 0
        while True:
            entries = len(self.outboxes)
            await asyncio.sleep(
                REPORT_INTERVAL_S * max(1.0, entries / MAX_ENTRIES_PER_INTERVAL)
            )
            interval += 1
            counts = self.queue.counts()
            GUARD_SLOTS.set(counts.slots)
            GUARD_OCCUPIED_SLOTS.set(counts.running)
            GUARD_WAITING.set(counts.waiting)
            GUARD_ANSWER_SPEED.set(self.queue.speed.tokens_per_s)
            GUARD_STREAMS.set(len(self.streams.begun))
            self.observe_memory(counts)
            is_minor = (
                counts.is_full == reported.is_full and interval % MINOR_CHANGE_INTERVALS
            )
            if counts == reported or is_minor:
                continue
            reported = counts
            for outbox in self.outboxes.values():
                outbox.put(self.load())
