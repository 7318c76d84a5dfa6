"""One control stream to a sidecar."""

import asyncio
import time
from typing import Protocol

from grpclib.client import Channel
from grpclib.config import Configuration

from skylarkdoor import events
from skylarkdoor.clients import InstanceRecord
from skylarkdoor.wire import LOST_ERRORS, Outbox, PeerStub, closed_connections, pb
from skylarkdoord import _events
from skylarkdoord.common import Backoff, Exchange, SettingsService
from skylarkdoord.common._tls import ClientTls
from skylarkdoord.entry._affinity import HeldMarks
from skylarkdoord.entry._suspects import Suspects

SILENCE_TIMEOUT_S = 3.0
HEARTBEAT_INTERVAL_S = 1.0
CONNECT_TIMEOUT_S = 2.0
MAX_UNSENT = 8192


class OfferListener(Protocol):
    """Takes what a sidecar says of one offered request."""

    def on_grant(self, peer: "SidecarPeer", grant: pb.Grant) -> None:
        """The sidecar has room for the request."""

    def on_refusal(self, peer: "SidecarPeer", refusal: pb.Refusal) -> None:
        """The sidecar does not take the request; it was not run there."""


class SidecarPeer:
    """Keeps a stream to one sidecar open and passes its messages on.

    Args:
        record: The sidecar as the instance list shows it.
        hello: What the sidecar is told first.
        settings: The shared settings of this process.
        tls: Context of the stream; None for plain TCP.
        suspects: What the entry knows of suspects.
    """

    def __init__(
        self,
        record: InstanceRecord,
        hello: pb.EntryHello,
        settings: SettingsService,
        tls: ClientTls | None = None,
        suspects: Suspects | None = None,
    ) -> None:
        self.record = record
        self.hello = hello
        self.suspects = suspects or Suspects(lambda: ())
        self.settings = settings
        self.tls = tls
        self.exchange: Exchange | None = None
        self.outbox: Outbox[pb.EntryMessage] = Outbox(limit=MAX_UNSENT)
        self.offers: dict[str, OfferListener] = {}
        self.load = pb.LoadReport()
        self.load_at = 0.0
        self.charged = 0
        self.held = HeldMarks()
        self.models: tuple[str, ...] = ()
        self.connected = False
        self.lost = asyncio.Event()
        self.leaving = False
        self.log = events.get_logger("entry.peer")

    @property
    def instance(self) -> str:
        """Name of the sidecar's instance."""
        return self.record.instance

    @property
    def usable(self) -> bool:
        """Whether offers may be made."""
        return self.connected and not self.leaving and self.record.state == "live"

    @property
    def report_age_s(self) -> float:
        """Time since the last load report, in seconds."""
        return time.monotonic() - self.load_at

    @property
    def pool(self) -> str:
        """The pool that the sidecar's upstream serves."""
        return self.record.pool

    def offer(self, offer: pb.Offer, listener: OfferListener) -> None:
        """Offer a request; the listener hears what the sidecar says."""
        self.offers[offer.request_id] = listener
        self.charged += 1
        self.outbox.put(pb.EntryMessage(offer=offer))

    def withdraw(self, request_id: str, *, abandoned: bool = False) -> None:
        """Give an offer or a grant back."""
        if self.offers.pop(request_id, None) is None:
            return
        message = pb.Withdraw(request_id=request_id, abandoned=abandoned)
        self.outbox.put(pb.EntryMessage(withdraw=message))

    def taken(self, request_id: str) -> None:
        """Note that the request's grant was used."""
        self.offers.pop(request_id, None)

    def update(self, record: InstanceRecord) -> None:
        """Take over what the instance list says now."""
        is_changed = record.state != self.record.state
        self.record = record
        if is_changed:
            self.tell_listed()

    def tell_listed(self) -> None:
        """Tell the sidecar whether it is listed as leaving."""
        listed = pb.Listed(leaving=self.record.state != "live")
        self.outbox.put(pb.EntryMessage(listed=listed))

    def give_back(self, request_id: str) -> None:
        """Return a grant that was taken and can't be used."""
        withdraw = pb.Withdraw(request_id=request_id, abandoned=True)
        self.outbox.put(pb.EntryMessage(withdraw=withdraw))

    async def run(self) -> None:
        """Connect again and again until cancelled."""
        backoff = Backoff()
        while True:
            try:
                with closed_connections():
                    await self.serve(backoff)
            except LOST_ERRORS as error:
                self.log.event(_events.PEER_LOST, peer=self.instance, error=repr(error))
            finally:
                self.lose()
            await asyncio.sleep(backoff.delay_s())

    async def serve(self, backoff: Backoff) -> None:
        """Serve one connection until it ends.

        Raises:
            GRPCError, StreamTerminatedError, OSError, TimeoutError: It was lost.
            OutboxFullError: The sidecar takes messages too slowly.
        """
        channel = self.channel()
        try:
            async with PeerStub(channel).Connect.open() as stream:
                first = pb.EntryBatch(messages=[pb.EntryMessage(hello=self.hello)])
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_message(first)
                self.tell_listed()
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.write(stream))
                    group.create_task(self.outbox.overflow())
                    await self.read(stream, backoff)
        except ExceptionGroup as errors:
            raise errors.exceptions[0] from None
        finally:
            channel.close()

    def channel(self) -> Channel:
        """Return a channel to the sidecar, whose certificate bears its name."""
        host, _, port = self.record.rpc.rpartition(":")
        if self.tls is None:
            return Channel(host, int(port))
        config = Configuration(ssl_target_name_override=self.instance)
        return Channel(host, int(port), ssl=self.tls.current, config=config)

    async def read(self, stream, backoff: Backoff) -> None:  # type: ignore[no-untyped-def]
        """Handle the sidecar's messages one after another."""
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                batch = await stream.recv_message()
            if batch is None:
                raise ConnectionResetError("the sidecar ended the stream")
            backoff.reset()
            for message in batch.messages:
                self.handle(message)

    async def write(self, stream) -> None:  # type: ignore[no-untyped-def]
        """Send what waits, or an empty batch as a heartbeat."""
        while True:
            messages = await self.outbox.take(timeout_s=HEARTBEAT_INTERVAL_S)
            await stream.send_message(pb.EntryBatch(messages=messages))

    def handle(self, message: pb.SidecarMessage) -> None:
        """Handle one message."""
        if self.exchange is not None and self.exchange.handle(message):
            return
        match message.WhichOneof("kind"):
            case "hello":
                self.connected = True
                self.lost = asyncio.Event()
                self.leaving = False
                self.suspects.greet(self)
                self.exchange = self.settings.exchanges.open(
                    pb.EntryMessage, self.outbox.put
                )
                self.models = tuple(message.hello.models)
                self.log.event(_events.PEER_CONNECTED, peer=self.instance)
            case "grant":
                self.on_grant(message.grant)
            case "refusal":
                listener = self.offers.pop(message.refusal.request_id, None)
                if listener is not None:
                    listener.on_refusal(self, message.refusal)
            case "load":
                self.load = message.load
                self.load_at = time.monotonic()
                self.charged = 0
            case "suspect":
                self.suspects.hear(self, message.suspect)
            case "held":
                self.held.note(message.held.model, message.held.marks)
            case "leaving":
                self.leaving = not message.leaving.ended

    def on_grant(self, grant: pb.Grant) -> None:
        """Pass a grant on, or give it back if nobody waits for it."""
        listener = self.offers.get(grant.request_id)
        if listener is not None:
            listener.on_grant(self, grant)
            return
        withdraw = pb.Withdraw(request_id=grant.request_id)
        self.outbox.put(pb.EntryMessage(withdraw=withdraw))

    def lose(self) -> None:
        """Turn open offers into refusals; the sidecar has dropped them."""
        self.connected = False
        self.held.clear()
        self.lost.set()
        if self.exchange is not None:
            self.exchange.close()
            self.exchange = None
        self.outbox = Outbox(limit=MAX_UNSENT)
        offers, self.offers = self.offers, {}
        for request_id, listener in offers.items():
            refusal = pb.Refusal(
                request_id=request_id, reason=pb.REFUSAL_REASON_UPSTREAM_DOWN
            )
            listener.on_refusal(self, refusal)
