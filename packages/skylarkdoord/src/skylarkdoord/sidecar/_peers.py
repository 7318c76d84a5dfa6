"""Control streams from entries."""

import asyncio
import itertools
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoor.wire import Outbox, PeerBase, pb
from skylarkdoord import _events
from skylarkdoord.common import TlsService
from skylarkdoord.common._tls import names_of
from skylarkdoord.sidecar._poison import Poison
from skylarkdoord.sidecar._scheduler import Scheduler

if TYPE_CHECKING:
    from grpclib.server import Stream

REPORT_INTERVAL_S = 0.2


class PeerServer(PeerBase):
    """Listens for the streams of entries; one task for each.

    Args:
        settings: Settings of this process.
    """

    name = "peers"
    requires: tuple[str, ...] = ("scheduler", "dispatch", "tls")

    def __init__(self, settings: ProcessSettings) -> None:
        assert settings.listen.rpc is not None
        self.settings = settings
        self.address: str = settings.listen.rpc
        self.counter = itertools.count()
        self.server = Server([self])
        self.log = events.get_logger("sidecar.peers")

    async def start(self, kernel: Kernel) -> None:
        """Listen on the address for control streams."""
        self.scheduler = kernel.find("scheduler", Scheduler)
        self.poison = kernel.find("poison", Poison)
        self.tls = kernel.find("tls", TlsService)
        context = self.tls.rpc.listening if self.tls.rpc else None
        host, _, port = self.address.rpartition(":")
        await self.server.start(host, int(port), ssl=context)

    async def stop(self) -> None:
        """Close the streams."""
        self.server.close()
        await self.server.wait_closed()

    async def Connect(  # noqa: N802
        self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]"
    ) -> None:
        """Serve one entry's stream until it ends."""
        first = await stream.recv_message()
        if first is None or not first.messages[0].HasField("hello"):
            return
        entry = first.messages[0].hello.instance
        if not self.is_known(entry, stream):
            self.log.event(
                _events.PEER_REFUSED, peer=entry, reason="certificate of another name"
            )
            return
        peer = f"{entry}#{next(self.counter)}"
        outbox: Outbox[pb.SidecarMessage] = Outbox()
        outbox.put(pb.SidecarMessage(hello=self.hello()))
        if self.scheduler.leaving:
            outbox.put(pb.SidecarMessage(leaving=pb.Leaving(reason="shutdown")))
        for message in self.poison.messages():
            outbox.put(message)
        self.scheduler.connect(peer, outbox.put)
        self.log.event(_events.PEER_CONNECTED, peer=entry)
        writer = asyncio.create_task(self.write(stream, outbox), name=f"write {peer}")
        try:
            await self.read(stream, peer)
        except (GRPCError, StreamTerminatedError, ConnectionError):
            pass
        finally:
            writer.cancel()
            self.scheduler.disconnect(peer)
            self.log.event(_events.PEER_LOST, peer=entry)

    def is_known(
        self, entry: str, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]"
    ) -> bool:
        """Return whether the peer's certificate bears the entry's name."""
        if self.tls.rpc is None:
            return True
        return entry in names_of(stream.peer.cert())

    def hello(self) -> pb.SidecarHello:
        """Return what an entry is told when its stream opens."""
        pool = self.scheduler.pool
        return pb.SidecarHello(
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            incarnation=self.scheduler.ledger.incarnation,
            pool=self.scheduler.upstream.pool,
            models=pool.models if pool else (),
        )

    async def read(
        self, stream: "Stream[pb.EntryBatch, pb.SidecarBatch]", peer: str
    ) -> None:
        """Handle the entry's messages one after another."""
        while (batch := await stream.recv_message()) is not None:
            for message in batch.messages:
                self.handle(message, peer)

    def handle(self, message: pb.EntryMessage, peer: str) -> None:
        """Handle one message."""
        match message.WhichOneof("kind"):
            case "offer":
                self.scheduler.receive(message.offer, peer)
            case "withdraw":
                self.scheduler.withdraw(message.withdraw.request_id)
            case "suspect":
                self.poison.hear(message.suspect)

    async def write(
        self,
        stream: "Stream[pb.EntryBatch, pb.SidecarBatch]",
        outbox: Outbox[pb.SidecarMessage],
    ) -> None:
        """Send what waits, with the load in every batch."""
        while True:
            messages = await outbox.take(timeout_s=REPORT_INTERVAL_S)
            messages.append(pb.SidecarMessage(load=self.scheduler.load()))
            await stream.send_message(pb.SidecarBatch(messages=messages))
