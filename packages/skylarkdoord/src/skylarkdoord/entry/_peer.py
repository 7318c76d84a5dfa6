"""The entry's side of the control stream to one sidecar."""

import asyncio
import time
from typing import Protocol

from grpclib.client import Channel
from grpclib.config import Configuration

from skylarkdoor import events
from skylarkdoor.clients import InstanceRecord
from skylarkdoor.wire import (
    CONNECTION_LOST_ERRORS,
    Outbox,
    PeerStub,
    pb,
    run_duplex,
    translate_closed_connection,
)
from skylarkdoord import _events
from skylarkdoord.common import Backoff, Exchange, SettingsService
from skylarkdoord.common._tls import ClientTls
from skylarkdoord.entry._affinity import CachedPrefixes
from skylarkdoord.entry._suspects import SuspectRelay

SILENCE_TIMEOUT_S = 3.0
HEARTBEAT_INTERVAL_S = 1.0
CONNECT_TIMEOUT_S = 2.0
MAX_UNSENT_MESSAGES = 8192


class OfferListener(Protocol):
    """Receives a sidecar's replies to the offer of one request."""

    def on_grant(self, peer: "SidecarPeer", grant: pb.Grant) -> None:
        """Handle a grant: the sidecar has reserved a slot for the request."""

    def on_refusal(self, peer: "SidecarPeer", refusal: pb.Refusal) -> None:
        """Handle a refusal: the sidecar has not run the request."""


class SidecarPeer:
    """Keeps a stream to one sidecar open and dispatches its messages.

    Args:
        record: The sidecar's record in the instance list.
        hello: The first message on each stream.
        settings: The shared settings of this process.
        tls: TLS configuration of the stream; None for plain TCP.
        suspects: The suspects known to this entry.
    """

    def __init__(
        self,
        record: InstanceRecord,
        hello: pb.EntryHello,
        settings: SettingsService,
        tls: ClientTls | None = None,
        suspects: SuspectRelay | None = None,
    ) -> None:
        self.record = record
        self.hello = hello
        self.suspects = suspects or SuspectRelay(lambda: ())
        self.settings = settings
        self.tls = tls
        self.exchange: Exchange | None = None
        self.outbox: Outbox[pb.EntryMessage] = Outbox(limit=MAX_UNSENT_MESSAGES)
        self.offers: dict[str, OfferListener] = {}
        self.load = pb.LoadReport()
        self.load_received_at = 0.0
        # Offers sent since the last load report.
        self.unreported_offers = 0
        self.cached_prefixes = CachedPrefixes()
        self.models: tuple[str, ...] = ()
        self.connected = False
        self.disconnected = asyncio.Event()
        self.draining = False
        self.log = events.get_logger("entry.peer")

    @property
    def instance(self) -> str:
        """Name of the sidecar's instance."""
        return self.record.instance

    @property
    def usable(self) -> bool:
        """Whether offers may be sent to the sidecar."""
        return self.connected and not self.draining and self.record.state == "live"

    @property
    def report_age_s(self) -> float:
        """Time since the last load report, in seconds."""
        return time.monotonic() - self.load_received_at

    @property
    def pool(self) -> str:
        """The pool that the sidecar's upstream serves."""
        return self.record.pool

    def offer(self, offer: pb.Offer, listener: OfferListener) -> None:
        """Offer a request; the listener receives the sidecar's replies."""
        self.offers[offer.request_id] = listener
        self.unreported_offers += 1
        self.outbox.put(pb.EntryMessage(offer=offer))

    def withdraw(self, request_id: str, *, abandoned: bool = False) -> None:
        """Withdraw an offer, or return a grant that was not accepted."""
        if self.offers.pop(request_id, None) is None:
            return
        message = pb.Withdraw(request_id=request_id, abandoned=abandoned)
        self.outbox.put(pb.EntryMessage(withdraw=message))

    def mark_grant_accepted(self, request_id: str) -> None:
        """Stop tracking an offer whose grant was accepted."""
        self.offers.pop(request_id, None)

    def update(self, record: InstanceRecord) -> None:
        """Replace the sidecar's record by the latest one in the instance list."""
        is_changed = record.state != self.record.state
        self.record = record
        if is_changed:
            self.send_listed()

    def send_listed(self) -> None:
        """Inform the sidecar whether the instance list shows it as draining."""
        listed = pb.Listed(leaving=self.record.state != "live")
        self.outbox.put(pb.EntryMessage(listed=listed))

    def return_grant(self, request_id: str) -> None:
        """Return a grant that was accepted but cannot be used."""
        withdraw = pb.Withdraw(request_id=request_id, abandoned=True)
        self.outbox.put(pb.EntryMessage(withdraw=withdraw))

    async def run(self) -> None:
        """Keep the stream open, reconnecting with back-off, until cancelled."""
        backoff = Backoff()
        while True:
            try:
                with translate_closed_connection():
                    await self.serve(backoff)
            except CONNECTION_LOST_ERRORS as error:
                self.log.event(_events.PEER_LOST, peer=self.instance, error=repr(error))
            finally:
                self.on_disconnect()
            await asyncio.sleep(backoff.delay_s())

    async def serve(self, backoff: Backoff) -> None:
        """Serve one connection until it ends.

        Raises:
            GRPCError, StreamTerminatedError, OSError, TimeoutError: The connection
                was lost.
            OutboxFullError: The sidecar reads messages too slowly.
        """
        channel = self.channel()
        try:
            async with PeerStub(channel).Connect.open() as stream:
                first = pb.EntryBatch(messages=[pb.EntryMessage(hello=self.hello)])
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_message(first)
                self.send_listed()
                await run_duplex(
                    self.read(stream, backoff), self.write(stream), self.outbox
                )
        finally:
            channel.close()

    def channel(self) -> Channel:
        """Return a channel that requires the instance name in the certificate."""
        host, _, port = self.record.rpc.rpartition(":")
        if self.tls is None:
            return Channel(host, int(port))
        config = Configuration(ssl_target_name_override=self.instance)
        return Channel(host, int(port), ssl=self.tls.current, config=config)

    async def read(self, stream, backoff: Backoff) -> None:  # type: ignore[no-untyped-def]
        """Handle the sidecar's messages in the order of arrival."""
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                batch = await stream.recv_message()
            if batch is None:
                raise ConnectionResetError("the sidecar closed the stream")
            backoff.reset()
            for message in batch.messages:
                self.handle(message)

    async def write(self, stream) -> None:  # type: ignore[no-untyped-def]
        """Send queued messages, or an empty batch as a heartbeat if there are none."""
        while True:
            messages = await self.outbox.take_pending(timeout_s=HEARTBEAT_INTERVAL_S)
            await stream.send_message(pb.EntryBatch(messages=messages))

    def handle(self, message: pb.SidecarMessage) -> None:
        """Handle one message."""
        if self.exchange is not None and self.exchange.handle(message):
            return
        match message.WhichOneof("kind"):
            case "hello":
                self.connected = True
                self.disconnected = asyncio.Event()
                self.draining = False
                self.suspects.send_known(self)
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
                self.load_received_at = time.monotonic()
                self.unreported_offers = 0
            case "suspect":
                self.suspects.on_suspect(self, message.suspect)
            case "held":
                self.cached_prefixes.note(message.held.model, message.held.marks)
            case "leaving":
                self.draining = not message.leaving.ended

    def on_grant(self, grant: pb.Grant) -> None:
        """Pass a grant to its listener, or return it if the offer was withdrawn."""
        listener = self.offers.get(grant.request_id)
        if listener is not None:
            listener.on_grant(self, grant)
            return
        withdraw = pb.Withdraw(request_id=grant.request_id)
        self.outbox.put(pb.EntryMessage(withdraw=withdraw))

    def on_disconnect(self) -> None:
        """Report open offers as refused: the sidecar drops them with the stream."""
        self.connected = False
        self.cached_prefixes.clear()
        self.disconnected.set()
        if self.exchange is not None:
            self.exchange.close()
            self.exchange = None
        self.outbox = Outbox(limit=MAX_UNSENT_MESSAGES)
        offers, self.offers = self.offers, {}
        for request_id, listener in offers.items():
            refusal = pb.Refusal(
                request_id=request_id, reason=pb.REFUSAL_REASON_UPSTREAM_DOWN
            )
            listener.on_refusal(self, refusal)
