"""The guard beside an upstream: one queue for the requests of all entries."""

import asyncio
import itertools

from grpclib.server import Server, Stream

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.wire import LOST_ERRORS, Outbox, PeerBase, pb
from skylarkdoord import _events
from skylarkdoord.direct._engine_reports import Report
from skylarkdoord.direct._guard_queue import PlaceQueue
from skylarkdoord.direct._link import run_stream
from skylarkdoord.direct._metrics import HELD, PLACES, QUEUE
from skylarkdoord.direct._model import Precedence
from skylarkdoord.direct._occupancy import SETTLE_S, Occupancy, Sample
from skylarkdoord.direct._settings import DirectSettings

REPORT_INTERVAL_S = 0.1
# Entries to which a load is told within that interval; with more it is longer.
REPORTED_ENTRIES = 6
# A load that did not turn from free to full or back is told this often, in turns.
MINOR_TURNS = 5
# Time for the last messages to be sent.
LEAVING_NOTICE_S = 0.05
# A request whose entry is not heard from may still run for this long.
ORPHAN_S = 2.0


class _EntryStream:
    """The guard's end of one entry's stream."""

    def __init__(
        self, guard: "Guard", key: str, outbox: Outbox[pb.SidecarMessage]
    ) -> None:
        self.guard = guard
        self.key = key
        self.outbox = outbox
        self.entry = ""

    def opening(self) -> list[pb.SidecarMessage]:
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
    """Listens for entries and gives them places.

    Args:
        settings: Settings of this process.
    """

    name = "guard"
    requires: tuple[str, ...] = ()

    def __init__(self, settings: DirectSettings) -> None:
        self.settings = settings
        self.queue = PlaceQueue(self.grant)
        self.occupancy = Occupancy()
        self.outboxes: dict[str, Outbox[pb.SidecarMessage]] = {}
        self.keys = itertools.count()
        self.server = Server([self])
        self.log = events.get_logger("direct.guard")

    async def start(self, kernel: Kernel) -> None:
        """Listen for entries."""
        host, _, port = self.settings.listen.peers.rpartition(":")
        await self.server.start(host, int(port))
        kernel.spawn(self.report(), name="guard.report")
        self.log.event(_events.PROCESS_READY, address=self.settings.listen.peers)

    async def stop(self) -> None:
        """Tell the entries to go on by themselves, then close the streams."""
        leaving = pb.SidecarMessage(leaving=pb.Leaving(reason="shutdown"))
        for outbox in self.outboxes.values():
            outbox.put(leaving)
        await asyncio.sleep(LEAVING_NOTICE_S)
        self.server.close()
        await self.server.wait_closed()

    async def Connect(  # noqa: N802
        self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]"
    ) -> None:
        """Serve one entry's stream until it ends."""
        outbox: Outbox[pb.SidecarMessage] = Outbox()
        handler = _EntryStream(self, f"stream-{next(self.keys)}", outbox)
        self.outboxes[handler.key] = outbox
        outbox.put(self.load())
        try:
            await run_stream(stream, handler, outbox)
        except LOST_ERRORS as error:
            self.log.event(_events.PEER_LOST, peer=handler.entry, error=repr(error))
        finally:
            self.lose(handler.key)

    def lose(self, stream: str) -> None:
        """Drop a stream; what it runs keeps its places for a while."""
        del self.outboxes[stream]
        loop = asyncio.get_running_loop()
        for request in self.queue.drop_waiting(stream):
            loop.call_later(ORPHAN_S, self.queue.withdraw, stream, request)

    def handle(self, message: pb.EntryMessage, stream: _EntryStream) -> None:
        """Handle one message of an entry."""
        match message.WhichOneof("kind"):
            case "hello":
                stream.entry = message.hello.instance
                self.log.event(_events.PEER_CONNECTED, peer=stream.entry)
            case "offer":
                offer = message.offer
                precedence = Precedence(offer.tier, offer.late, offer.long)
                self.queue.offer(stream.key, offer.request_id, precedence)
            case "withdraw":
                self.queue.withdraw(stream.key, message.withdraw.request_id)
            case "listed":
                self.queue.resize(message.listed.slots)

    def grant(self, stream: str, request: str) -> None:
        """Tell an entry that its request has a place."""
        outbox = self.outboxes.get(stream)
        if outbox is not None:
            outbox.put(pb.SidecarMessage(grant=pb.Grant(request_id=request)))

    def on_report(self, report: Report) -> None:
        """Compare the grants with what the engine says of itself.

        An engine that is down looks idle; were its places given out, it would
        draw requests away from those that run.
        """
        if report.is_down == self.queue.is_open:
            self.queue.set_open(not report.is_down)
        load = report.load
        if load is None:
            self.occupancy.forget()
        else:
            granted = len(self.queue.granted)
            settled = self.queue.settled(SETTLE_S)
            in_engine = load.running + load.waiting
            self.occupancy.note(Sample(granted, settled, in_engine))
        correction = self.occupancy.correction()
        if correction != self.queue.correction:
            self.log.event(
                _events.PLACES_CORRECTED,
                correction=correction,
                granted=len(self.queue.granted),
                running=load.running if load else None,
                waiting=load.waiting if load else None,
            )
        self.queue.correct(correction)

    def load(self) -> pb.SidecarMessage:
        """Return how busy the upstream is."""
        counts = self.queue.counts()
        report = pb.LoadReport(
            running=counts.running,
            limit=counts.places,
            room=max(0, counts.places - counts.running),
            waiting_by_tier=[counts.waiting],
        )
        return pb.SidecarMessage(load=report)

    async def report(self) -> None:
        """Tell every entry the load when it has changed.

        That places came free or ran out is told soon, other changes less often.
        """
        told = self.queue.counts()
        turn = 0
        while True:
            entries = len(self.outboxes)
            await asyncio.sleep(
                REPORT_INTERVAL_S * max(1.0, entries / REPORTED_ENTRIES)
            )
            turn += 1
            counts = self.queue.counts()
            PLACES.set(counts.places)
            HELD.set(counts.running)
            QUEUE.set(counts.waiting)
            is_minor = counts.is_full == told.is_full and turn % MINOR_TURNS
            if counts == told or is_minor:
                continue
            told = counts
            for outbox in self.outboxes.values():
                outbox.put(self.load())
