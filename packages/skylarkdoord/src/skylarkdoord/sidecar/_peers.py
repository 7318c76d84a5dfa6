"""Server of the control streams from entries."""

import asyncio
import functools
import itertools
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from grpclib.server import Server

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoor.wire import CONNECTION_LOST_ERRORS, Outbox, PeerBase, pb, run_duplex
from skylarkdoord import _events
from skylarkdoord._listening import open_port
from skylarkdoord.common import DrainState, Exchange, SettingsService, TlsService
from skylarkdoord.common._tls import dns_names
from skylarkdoord.sidecar._listing import Listing
from skylarkdoord.sidecar._poison import Poison
from skylarkdoord.sidecar._scheduler import Scheduler

if TYPE_CHECKING:
    from grpclib.server import Stream

REPORT_INTERVAL_S = 0.2
HEARTBEAT_INTERVAL_S = 1.0
MAX_LOAD_AGE_S = 0.1
# A stream without messages for this long is closed.
SILENCE_TIMEOUT_S = 4.0


class EntryPeer(NamedTuple):
    """The control stream of one entry.

    Attributes:
        key: Identifier of the stream, unique in this process.
        instance: Instance name of the entry.
        exchange: Exchange of settings on the stream.
        outbox: Queue of messages to the entry.
    """

    key: str
    instance: str
    exchange: Exchange
    outbox: Outbox[pb.SidecarMessage]


class LoadCache:
    """Caches the current load, so that it is computed once for all streams.

    Args:
        measure: Computes the load.
    """

    def __init__(self, measure: Callable[[], pb.LoadReport]) -> None:
        self.measure = measure
        self.load = pb.LoadReport()
        self.measured_at = -MAX_LOAD_AGE_S

    def read(self) -> pb.LoadReport:
        """Return a load report that is at most `MAX_LOAD_AGE_S` old."""
        now = time.monotonic()
        if now - self.measured_at >= MAX_LOAD_AGE_S:
            self.load = self.measure()
            self.measured_at = now
        return self.load


class PeerServer(PeerBase):
    """Accepts control streams from entries.

    Args:
        settings: Settings of this process.
    """

    name = "peers"
    requires: tuple[str, ...] = (
        "scheduler",
        "dispatch",
        "settings",
        "departure",
        "tls",
    )

    def __init__(self, settings: ProcessSettings) -> None:
        assert settings.listen.rpc is not None
        self.settings = settings
        self.address: str = settings.listen.rpc
        self.counter = itertools.count()
        self.outboxes: set[Outbox[pb.SidecarMessage]] = set()
        self.server = Server([self])
        self.log = events.get_logger("sidecar.peers")

    async def start(self, kernel: Kernel) -> None:
        """Start listening for control streams."""
        self.scheduler = kernel.find("scheduler", Scheduler)
        self.loads = LoadCache(self.scheduler.load)
        self.poison = kernel.find("poison", Poison)
        self.settings_service = kernel.find("settings", SettingsService)
        self.listing = Listing(kernel.find("departure", DrainState))
        self.tls = kernel.find("tls", TlsService)
        context = self.tls.rpc.listener_context if self.tls.rpc else None
        open_listener = functools.partial(self.server.start, ssl=context)
        await open_port(kernel, self.address, open_listener)
        self.task = kernel.supervise(self.watch_load, name="peers.load")

    async def stop(self) -> None:
        """Stop listening and close all streams."""
        self.task.cancel()
        self.server.close()
        await self.server.wait_closed()

    async def Connect(  # noqa: N802
        self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]"
    ) -> None:
        """Serve one entry's stream until it ends."""
        first = await stream.recv_message()
        if first is None or not first.messages[0].HasField("hello"):
            return
        hello = first.messages[0].hello
        if not self.is_known(hello.instance, stream):
            self.log.event(
                _events.PEER_REFUSED,
                peer=hello.instance,
                reason="the certificate has a different name",
            )
            return
        peer = self.open(hello)
        try:
            await run_duplex(
                self.read(stream, peer), self.write(stream, peer), peer.outbox
            )
        except CONNECTION_LOST_ERRORS as error:
            self.log.event(_events.PEER_LOST, peer=peer.instance, error=repr(error))
        finally:
            self.close(peer)

    def open(self, hello: pb.EntryHello) -> EntryPeer:
        """Register a stream and queue the initial messages to its entry."""
        key = f"{hello.instance}#{next(self.counter)}"
        outbox: Outbox[pb.SidecarMessage] = Outbox()
        outbox.put(pb.SidecarMessage(hello=self.hello()))
        if self.scheduler.is_draining:
            outbox.put(pb.SidecarMessage(leaving=pb.Leaving(reason="shutdown")))
        for message in self.poison.messages():
            outbox.put(message)
        exchange = self.settings_service.exchanges.open(pb.SidecarMessage, outbox.put)
        self.outboxes.add(outbox)
        self.scheduler.connect(key, outbox.put)
        self.log.event(_events.PEER_CONNECTED, peer=hello.instance)
        return EntryPeer(key, hello.instance, exchange, outbox)

    def close(self, peer: EntryPeer) -> None:
        """Unregister a stream and drop its waiting offers."""
        self.outboxes.discard(peer.outbox)
        self.scheduler.disconnect(peer.key)
        self.listing.remove_report(peer.key)
        peer.exchange.close()

    def is_known(
        self, entry: str, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]"
    ) -> bool:
        """Return whether the peer's certificate contains the entry's name.

        Without TLS every entry is accepted.
        """
        if self.tls.rpc is None:
            return True
        return entry in dns_names(stream.peer.cert())

    def hello(self) -> pb.SidecarHello:
        """Return the greeting sent when a stream opens."""
        pool = self.scheduler.pool
        return pb.SidecarHello(
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            incarnation=self.scheduler.ledger.incarnation,
            pool=self.scheduler.upstream.pool,
            models=pool.models if pool else (),
        )

    async def read(
        self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]", peer: EntryPeer
    ) -> None:
        """Receive and handle the entry's messages.

        Raises:
            ConnectionResetError: The entry ended the stream.
            TimeoutError: No message arrived within `SILENCE_TIMEOUT_S`.
        """
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                batch = await stream.recv_message()
            if batch is None:
                raise ConnectionResetError("the entry ended the stream")
            for message in batch.messages:
                self.handle(message, peer)

    def handle(self, message: pb.EntryMessage, peer: EntryPeer) -> None:
        """Handle one message from an entry."""
        if peer.exchange.handle(message):
            return
        match message.WhichOneof("kind"):
            case "offer":
                self.scheduler.receive(message.offer, peer.key)
            case "withdraw":
                self.scheduler.withdraw(message.withdraw.request_id)
            case "suspect":
                self.poison.on_suspect(message.suspect)
            case "listed":
                self.listing.on_report(peer.key, message.listed.leaving)

    async def watch_load(self) -> None:
        """Wake the writers of all streams when the load has changed."""
        sent = pb.LoadReport()
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            load = self.loads.read()
            if load != sent:
                sent = load
                for outbox in self.outboxes:
                    outbox.wake()

    async def write(
        self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]", peer: EntryPeer
    ) -> None:
        """Send queued messages to the entry.

        The load is sent when it has changed, and at least at every heartbeat.
        """
        sent = pb.LoadReport()
        sent_at = 0.0
        while True:
            messages = await peer.outbox.take_pending(timeout_s=HEARTBEAT_INTERVAL_S)
            load = self.loads.read()
            now = time.monotonic()
            if load != sent or now - sent_at >= HEARTBEAT_INTERVAL_S:
                messages.append(pb.SidecarMessage(load=load))
                sent, sent_at = load, now
            if messages:
                await stream.send_message(pb.SidecarBatch(messages=messages))
