"""An entry's streams to the guards of upstreams."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from skylarkdoor import events
from skylarkdoor.kernel import Kernel
from skylarkdoor.wire import PeerStub, pb
from skylarkdoord import _events
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._link import Link
from skylarkdoord.direct._model import Precedence, UpstreamRecord
from skylarkdoord.direct._settings import DirectSettings


class GrantListener(Protocol):
    """Hears that an offered request has a place."""

    def on_grant(self, guard: "GuardLink", request: str) -> None:
        """The guard holds a place for the request."""

    def on_guard_lost(self, guard: "GuardLink") -> None:
        """The guard is no longer reached; its offers are void."""

    def on_guard_found(self, guard: "GuardLink") -> None:
        """The guard was reached; it can be asked."""


class GuardLink:
    """The stream to one upstream's guard.

    Args:
        settings: Settings of this process.
        record: The upstream.
        listener: Hears of grants.

    Attributes:
        is_opening: Whether it is not known yet if there is a guard.
        is_connected: Whether the guard answers.
        load: The guard's newest report.
        load_at: Monotonic time of that report, in seconds.
        charged: Offers made since.
    """

    def __init__(
        self,
        settings: DirectSettings,
        record: UpstreamRecord,
        listener: GrantListener,
    ) -> None:
        self.settings = settings
        self.record = record
        self.listener = listener
        self.is_opening = True
        self.is_connected = False
        self.load = pb.LoadReport()
        self.load_at = time.monotonic()
        self.charged = 0
        self.log = events.get_logger("direct.guards")
        host = record.address.rpartition(":")[0]
        address = f"{host}:{settings.guard_port}"
        self.link = Link(address, PeerStub, "Connect", self, peer=record.instance)
        self.task: asyncio.Task[None] | None = None

    @property
    def room(self) -> int:
        """Places that are likely free."""
        return self.load.room - self.charged

    @property
    def running(self) -> int:
        """Requests that likely run at the upstream."""
        return self.load.running + self.charged

    def offer(self, request: str, precedence: Precedence) -> None:
        """Ask for a place."""
        offer = pb.Offer(
            request_id=request,
            tier=precedence.tier,
            late=precedence.is_late,
            long=precedence.is_long,
        )
        self.charged += 1
        self.link.outbox.put(pb.EntryMessage(offer=offer))

    def withdraw(self, request: str) -> None:
        """Take an offer back, or return a place."""
        withdraw = pb.Withdraw(request_id=request)
        self.link.outbox.put(pb.EntryMessage(withdraw=withdraw))

    def update(self, record: UpstreamRecord) -> None:
        """Take over what the registry says now."""
        if record != self.record:
            self.record = record
            if self.is_connected:
                self.link.outbox.put(self.listed())

    def listed(self) -> pb.EntryMessage:
        """Return what the guard has to know of its upstream."""
        return pb.EntryMessage(
            listed=pb.Listed(leaving=self.record.is_leaving, slots=self.record.slots)
        )

    def opening(self) -> list[pb.EntryMessage]:
        """Return the messages that open the stream."""
        hello = pb.EntryHello(
            instance=self.settings.instance, data_centre=self.settings.data_centre
        )
        return [pb.EntryMessage(hello=hello), self.listed()]

    def batch(self, messages: list[pb.EntryMessage]) -> pb.EntryBatch:
        """Return what is sent for the messages that wait."""
        return pb.EntryBatch(messages=messages)

    def receive(self, batch: pb.SidecarBatch) -> None:
        """Handle what the guard sent."""
        for message in batch.messages:
            match message.WhichOneof("kind"):
                case "grant":
                    self.listener.on_grant(self, message.grant.request_id)
                case "load":
                    self.load = message.load
                    self.load_at = time.monotonic()
                    self.charged = 0
                case "leaving":
                    self.disconnect()

    def on_open(self) -> None:
        """The guard answers."""
        self.is_opening = False
        self.is_connected = True
        self.log.event(_events.PEER_CONNECTED, peer=self.record.instance)
        self.listener.on_guard_found(self)

    def on_lost(self, *, is_silent: bool) -> None:
        """The guard is no longer reached."""
        self.disconnect()

    def disconnect(self) -> None:
        """Go on without the guard."""
        if self.is_connected or self.is_opening:
            self.is_opening = False
            self.is_connected = False
            self.load = pb.LoadReport()
            self.charged = 0
            self.listener.on_guard_lost(self)


class Guards:
    """Holds a stream to the guard of each engine.

    Args:
        settings: Settings of this process.
        fleet: Lists the upstreams.
        listener: Hears of grants.
    """

    name = "guards"
    requires: tuple[str, ...] = ("fleet",)

    def __init__(
        self, settings: DirectSettings, fleet: Fleet, listener: GrantListener
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.listener = listener
        self.links: dict[tuple[str, int], GuardLink] = {}
        self.spawn: Callable[..., asyncio.Task[None]] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Begin to follow the fleet."""
        self.spawn = kernel.spawn
        # Before the scheduler, which would take a new engine to have no guard.
        self.fleet.on_upstreams.insert(0, self.refresh)
        self.fleet.on_config.insert(0, self.refresh)
        self.refresh()

    async def stop(self) -> None:
        """Close the streams."""
        for link in self.links.values():
            if link.task is not None:
                link.task.cancel()

    def of(self, record: UpstreamRecord) -> GuardLink | None:
        """Return the stream to an upstream's guard, open or being opened.

        Until the first attempt has an outcome, nobody knows whether there is a
        guard. If every entry used a new engine by itself meanwhile, the engine
        would begin with a long queue.
        """
        link = self.links.get((record.instance, record.started_ms))
        if link is None or not (link.is_connected or link.is_opening):
            return None
        return link

    def refresh(self) -> None:
        """Open streams to new engines and close those to engines that left."""
        if self.fleet.routing is None or self.spawn is None:
            return
        wanted = {
            (record.instance, record.started_ms): record
            for service in self.fleet.routing.config.services.values()
            if service.is_engine
            for record in self.fleet.upstreams(service.name)
        }
        for key in list(self.links):
            if key not in wanted:
                self.close(self.links.pop(key))
        for key, record in wanted.items():
            if key in self.links:
                self.links[key].update(record)
            else:
                self.links[key] = self.open(record)

    def open(self, record: UpstreamRecord) -> GuardLink:
        """Open a stream."""
        assert self.spawn is not None
        link = GuardLink(self.settings, record, self.listener)
        link.task = self.spawn(link.link.run(), name=f"guards.{record.instance}")
        return link

    def close(self, link: GuardLink) -> None:
        """Close a stream; its requests run on."""
        if link.task is not None:
            link.task.cancel()
