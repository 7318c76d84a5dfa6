"""Streams between entries.

Entries send each other the units that customers used, crash suspicions and the store's
rows that the other entry lacks.
"""

import asyncio
import random
from collections.abc import Iterable

from grpclib.server import Server, Stream

from skylarkdoor import events
from skylarkdoor.addresses import parse_address
from skylarkdoor.backoff import Backoff
from skylarkdoor.hashing import rendezvous
from skylarkdoor.kernel import Kernel
from skylarkdoor.tasks import end_tasks
from skylarkdoor.wire import (
    CONNECTION_LOST_ERRORS,
    EntriesBase,
    EntriesStub,
    Outbox,
    pb,
)
from skylarkdoord import _events
from skylarkdoord._listening import open_port
from skylarkdoord.direct._adapter import Row, Store
from skylarkdoord.direct._config_requests import ConfigRequests
from skylarkdoord.direct._entry_stream import EntryStream, UpdatePart
from skylarkdoord.direct._fleet import UPSTREAMS
from skylarkdoord.direct._link import Link, run_stream
from skylarkdoord.direct._members import Members
from skylarkdoord.direct._metrics import ENTRIES, LIMIT_USED, PEER_STREAMS
from skylarkdoord.direct._pace import Pace, entry_heartbeat_s
from skylarkdoord.direct._row_exchange import to_wire
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.exceptions import StoreError

MEMBERS = "members"
# Shortest time between two updates when urgent ones are due.
MIN_UPDATE_INTERVAL_S = 0.05
# Entries that broadcast changed rows of upstreams at once; two, so that one may fail.
BROADCASTING_ENTRIES = 2
# Other entries that keep the version of a stream; two, so that one may fail as well.
ENTRIES_KEEPING_A_STREAM = 2
# Time over which entries write their rows again after the store lost them.
REWRITE_SPREAD_S = 1.0


class EntryExchange(EntriesBase):
    """Keeps a stream to every other entry.

    Entries discover each other by the rows in which the store lists their addresses,
    or by the stream that another entry opens.

    Args:
        settings: Settings of this process.
        store: The platform's store.
        members: Receives the updates of the other entries.

    Attributes:
        has_joined: Whether the rows of the other entries have been read.
        row_version: Version of this entry's row; None before it was read.
        opening: Entries to which a first stream is being opened.
        links: Tasks of the outbound streams, by name of the other entry.
        inbound: Addresses of the entries that opened a stream, by name.
        outboxes: Queues of outgoing messages of the open streams.
        peers: Open streams by name of the other entry.
        unreported: Set when use has to be reported at once.
        parts: Further parts of updates.
        config_requests: Requests a newer configuration from the other entries.
        row_lost: Set when the store may have lost this entry's row.
        is_stopping: Whether no more streams are opened.
    """

    name = "entries"
    requires: tuple[str, ...] = ("fleet",)

    def __init__(
        self, settings: DirectSettings, store: Store, members: Members
    ) -> None:
        self.settings = settings
        self.store = store
        self.members = members
        self.has_joined = False
        self.row_version: int | None = None
        self.opening: set[str] = set()
        self.links: dict[str, asyncio.Task[None]] = {}
        self.inbound: dict[str, str] = {}
        self.outboxes: set[Outbox[pb.EntryNews]] = set()
        self.peers: dict[str, EntryStream] = {}
        self.parts: list[UpdatePart] = []
        self.config_requests = ConfigRequests(
            members.fleet, members.by_name, self.peers
        )
        self.unreported = asyncio.Event()
        self.row_lost = asyncio.Event()
        self.is_stopping = False
        self.pace = Pace(lambda: entry_heartbeat_s(members.update_interval_s()))
        self.server = Server([self])
        members.quota.on_unreported = self.unreported.set
        members.limits.on_change = self.unreported.set
        members.streams.share = self.share_stream
        members.streams.ask.append(self.ask_for_stream)
        members.streams.is_opening.append(self.is_opening)
        members.streams.history.on_change = self.unreported.set
        self.log = events.get_logger("direct.exchange")

    async def start(self, kernel: Kernel) -> None:
        """Listen for streams and start the tasks that discover and update entries."""
        self.kernel = kernel
        await open_port(kernel, self.settings.listen.peers, self.server.start)
        self.tasks = [
            kernel.supervise(self.stay_registered, name="entries.join"),
            kernel.supervise(self.send_updates, name="entries.announce"),
        ]

    async def stop(self) -> None:
        """Stop the tasks, remove this entry's row and close the listener."""
        self.is_stopping = True
        await end_tasks(self.tasks)
        self.config_requests.stop()
        try:
            await self.store.remove(MEMBERS, self.settings.instance, self.row_version)
        except StoreError as error:
            # The row stays; entries that read it will fail to connect to this one.
            self.log.event(_events.STORE_LOST, table=MEMBERS, error=str(error))
        self.server.close()
        await self.server.wait_closed()

    async def stay_registered(self) -> None:
        """Write this entry's row, and again whenever the store may have lost it."""
        while True:
            await self.register()
            await self.row_lost.wait()
            self.row_lost.clear()
            await asyncio.sleep(random.uniform(0.0, REWRITE_SPREAD_S))

    async def register(self) -> None:
        """Write this entry's row and read the others'; retry until it succeeds."""
        backoff = Backoff(initial_s=0.2, max_s=2.0)
        address = self.settings.listen.peers
        while True:
            try:
                await self.store.put(MEMBERS, self.settings.instance, address.encode())
                rows = await self.store.read(MEMBERS)
                break
            except StoreError as error:
                self.log.event(_events.STORE_LOST, table=MEMBERS, error=str(error))
                await asyncio.sleep(backoff.delay_s())
        self.members.listed = sum(
            row.data is not None and row.key != self.settings.instance
            for row in rows.rows
        )
        for row in rows.rows:
            if row.key == self.settings.instance:
                self.row_version = row.version
            if row.data is not None:
                self.connect(row.key, row.data.decode("ascii", "replace"))
        self.has_joined = True

    def on_new_era(self) -> None:
        """Write this entry's row again, as the store may have lost it."""
        self.row_lost.set()

    def connect(self, instance: str, address: str) -> None:
        """Open a stream to another entry unless one exists in either direction.

        While the exchange stops, none is opened, as nothing would end its task.
        """
        if self.is_stopping or instance == self.settings.instance or not address:
            return
        if instance in self.links or instance in self.inbound:
            return
        try:
            parse_address(address)
        except ValueError as error:
            self.log.event(
                _events.ROW_REJECTED, table=MEMBERS, key=instance, error=str(error)
            )
            return
        stream = EntryStream(self, lambda: link.outbox, peer=instance)
        self.opening.add(instance)
        link = Link(
            address, EntriesStub, "Exchange", stream, peer=instance, pace=self.pace
        )
        self.links[instance] = self.kernel.supervise(
            link.run, name=f"entries.{instance}"
        )

    def on_stream(self, stream: EntryStream, address: str) -> None:
        """Register the stream of another entry after its first update.

        Where both entries opened a stream, the one opened by the entry with the lower
        name is kept.

        Args:
            stream: The stream.
            address: Address of the other entry as `host:port`.
        """
        instance = stream.instance
        self.peers[instance] = stream
        self.log.event(_events.PEER_CONNECTED, peer=instance)
        if stream.is_outbound:
            return
        self.inbound[instance] = address
        if instance < self.settings.instance and instance in self.links:
            self.links.pop(instance).cancel()
            self.opening.discard(instance)

    def on_stream_lost(self, stream: EntryStream) -> None:
        """Replace an inbound stream that ended by an outbound one."""
        if self.peers.get(stream.instance) is stream:
            del self.peers[stream.instance]
        if stream.is_outbound:
            return
        address = self.inbound.pop(stream.instance, "")
        self.connect(stream.instance, address)

    async def send_updates(self) -> None:
        """Send updates to all entries at the interval, or sooner if one is urgent."""
        while True:
            await self.wait_until_due()
            self.update_gauges()
            for outbox in self.outboxes:
                outbox.wake()

    def send_update(self, instance: str) -> None:
        """Send an update to one entry at once, if a stream to it is open."""
        if instance in self.peers:
            self.peers[instance].outbox().wake()

    def broadcast(self, rows: Iterable[Row]) -> None:
        """Send changed rows of upstreams to the other entries at once.

        Rows that a newer one has superseded are left out. Only the first entries in
        the order of names send.
        """
        if self.members.position() >= BROADCASTING_ENTRIES:
            return
        cached_rows = self.members.fleet.cached_rows
        update = pb.EntryNews(
            rows=[
                to_wire(UPSTREAMS, row)
                for row in rows
                if row.key in cached_rows
                and cached_rows[row.key].row.changed_at == row.changed_at
            ]
        )
        for outbox in self.outboxes:
            outbox.put(update)

    def share_stream(self, stream: pb.BegunStream) -> None:
        """Send a stream that began to the entries that keep it as well."""
        names = rendezvous(
            stream.request_id, self.peers, count=ENTRIES_KEEPING_A_STREAM
        )
        for name in names:
            self.peers[name].outbox().put(pb.EntryNews(streams=[stream]))

    def ask_for_stream(self, stream: pb.BegunStream) -> None:
        """Ask all other entries for the version of a stream."""
        for outbox in self.outboxes:
            outbox.put(pb.EntryNews(streams_wanted=[stream]))

    def is_opening(self, service: str) -> bool:
        """Return whether streams to other entries are being opened.

        Args:
            service: Not used, as entries know the streams of all services.
        """
        return not self.has_joined or bool(self.opening)

    def update_gauges(self) -> None:
        """Set the gauges of live entries and of the units used by customers."""
        ENTRIES.set(self.members.live_count())
        PEER_STREAMS.set(len(self.outboxes))
        for customer, units in self.members.quota.totals().items():
            LIMIT_USED.labels(customer).set(units)

    async def wait_until_due(self) -> None:
        """Wait for the interval, or less if `unreported` is set."""
        interval_s = self.members.update_interval_s()
        try:
            async with asyncio.timeout(interval_s):
                await self.unreported.wait()
            await asyncio.sleep(MIN_UPDATE_INTERVAL_S)
        except TimeoutError:
            pass
        self.unreported.clear()

    def build_update(
        self, *, request_from: str = "", wants_config: bool = False
    ) -> pb.EntryNews:
        """Return the update to send.

        Args:
            request_from: Name of the receiving entry; its newer rows of upstreams are
                requested if this entry is behind it.
            wants_config: Whether its configuration is requested as well.
        """
        fleet = self.members.fleet
        age = self.members.age
        update = pb.EntryNews(
            instance=self.settings.instance,
            incarnation=self.members.incarnation,
            address=self.settings.listen.peers,
            config_version=fleet.config_at.number,
            config_era=fleet.config_at.era,
            upstreams_version=fleet.upstreams_at.number,
            upstreams_era=fleet.upstreams_at.era,
            used=self.members.quota.report_used(),
            age_ms=self.members.age_ms(),
            knows_past=self.members.quota.covers_window(),
            config_number=age.version,
            config_age_ms=age.age_ms(),
        )
        wanted = self.members.rows_wanted(request_from, wants_config=wants_config)
        if wanted is not None:
            update.wanted.CopyFrom(wanted)
        return update

    async def Exchange(  # noqa: N802
        self, stream: "Stream[pb.EntryNews, pb.EntryNews]"
    ) -> None:
        """Serve a stream that another entry opened until it ends."""
        outbox: Outbox[pb.EntryNews] = Outbox()
        handler = EntryStream(self, lambda: outbox)
        is_silent = False
        try:
            await run_stream(stream, handler, outbox, self.pace)
        except CONNECTION_LOST_ERRORS as error:
            is_silent = isinstance(error, TimeoutError)
            self.log.event(_events.PEER_LOST, peer=handler.instance, error=repr(error))
        finally:
            handler.on_lost(is_silent=is_silent)
