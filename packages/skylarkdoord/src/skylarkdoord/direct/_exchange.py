"""What entries tell each other: use of limits, and newer rows of the store."""

import asyncio
import random
from collections.abc import Callable, Iterable

from grpclib.server import Server, Stream

from skylarkdoor import events
from skylarkdoor.backoff import Backoff
from skylarkdoor.kernel import Kernel
from skylarkdoor.wire import LOST_ERRORS, EntriesBase, EntriesStub, Outbox, pb
from skylarkdoord import _events
from skylarkdoord.direct._adapter import Row, Store
from skylarkdoord.direct._fleet import UPSTREAMS
from skylarkdoord.direct._link import Link, run_stream
from skylarkdoord.direct._members import Members, to_wire
from skylarkdoord.direct._metrics import ENTRIES, LIMIT_USED
from skylarkdoord.direct._settings import DirectSettings
from skylarkdoord.direct.exceptions import StoreError

MEMBERS = "members"
# News out of turn are sent this often at the most.
MIN_NEWS_INTERVAL_S = 0.05
# Entries that tell the others at once what the store says of upstreams; two, so
# that one may fail.
TELLING_ENTRIES = 2
MAX_INCARNATION = 2**63


class _EntryStream:
    """This entry's end of a stream to another one, whoever opened it."""

    def __init__(
        self,
        exchange: "EntryExchange",
        outbox: Callable[[], Outbox[pb.EntryNews]],
        *,
        is_ours: bool,
    ) -> None:
        self.exchange = exchange
        self.outbox = outbox
        self.is_ours = is_ours
        self.instance = ""
        self.told_totals = False

    def opening(self) -> list[pb.EntryNews]:
        return []

    def batch(self, messages: list[pb.EntryNews]) -> pb.EntryNews:
        news = self.exchange.news(wanted_from=self.instance)
        if not self.told_totals:
            self.told_totals = True
            news.totals.update(self.exchange.members.quota.totals())
        for message in messages:
            news.rows.extend(message.rows)
        return news

    def receive(self, batch: pb.EntryNews) -> None:
        if not self.instance:
            self.instance = batch.instance
            self.exchange.on_stream(self, batch.address)
        self.exchange.members.receive(batch)
        self.exchange.members.take_rows(list(batch.rows), batch.instance)
        if batch.HasField("wanted"):
            rows = self.exchange.members.newer_rows(batch.wanted)
            self.outbox().put(pb.EntryNews(rows=rows))

    def on_open(self) -> None:
        self.exchange.outboxes.add(self.outbox())

    def on_lost(self, *, is_silent: bool) -> None:
        self.exchange.outboxes.discard(self.outbox())
        self.told_totals = False
        if self.instance:
            self.exchange.members.lose(self.instance, is_silent=is_silent)
            self.exchange.on_stream_lost(self)
            self.instance = ""


class EntryExchange(EntriesBase):
    """Holds a stream to every other entry.

    Entries find each other by a row each in the store; one that is told of by a
    stream needs no row.

    Args:
        settings: Settings of this process.
        store: The platform's store.
        members: The other entries.
    """

    name = "entries"
    requires: tuple[str, ...] = ("fleet",)

    def __init__(
        self, settings: DirectSettings, store: Store, members: Members
    ) -> None:
        self.settings = settings
        self.store = store
        self.members = members
        self.incarnation = random.randrange(1, MAX_INCARNATION)
        self.links: dict[str, asyncio.Task[None]] = {}
        self.inbound: dict[str, str] = {}
        self.outboxes: set[Outbox[pb.EntryNews]] = set()
        self.untold = asyncio.Event()
        self.server = Server([self])
        members.quota.on_untold = self.untold.set
        self.log = events.get_logger("direct.exchange")

    async def start(self, kernel: Kernel) -> None:
        """Listen, and begin to look for the others."""
        self.kernel = kernel
        host, _, port = self.settings.listen.peers.rpartition(":")
        await self.server.start(host, int(port))
        kernel.spawn(self.join(), name="entries.join")
        kernel.spawn(self.announce(), name="entries.announce")

    async def stop(self) -> None:
        """Take this entry's row back and close the streams."""
        try:
            await self.store.remove(MEMBERS, self.settings.instance)
        except StoreError as error:
            # Others that find the row try in vain to reach this entry.
            self.log.event(_events.STORE_LOST, table=MEMBERS, error=str(error))
        self.server.close()
        await self.server.wait_closed()

    async def join(self) -> None:
        """Write this entry's row and read the others', until it has worked."""
        backoff = Backoff(first_s=0.2, most_s=2.0)
        address = self.settings.listen.peers
        while True:
            try:
                await self.store.put(MEMBERS, self.settings.instance, address.encode())
                rows = await self.store.read(MEMBERS)
                break
            except StoreError as error:
                self.log.event(_events.STORE_LOST, table=MEMBERS, error=str(error))
                await asyncio.sleep(backoff.delay_s())
        for row in rows.rows:
            if row.data is not None:
                self.link(row.key, row.data.decode("ascii", "replace"))

    def link(self, instance: str, address: str) -> None:
        """Open a stream to another entry unless there is one."""
        if instance == self.settings.instance or not address:
            return
        if instance in self.links or instance in self.inbound:
            return
        stream = _EntryStream(self, lambda: link.outbox, is_ours=True)
        link = Link(address, EntriesStub, "Exchange", stream, peer=instance)
        self.links[instance] = self.kernel.spawn(link.run(), name=f"entries.{instance}")

    def on_stream(self, stream: _EntryStream, address: str) -> None:
        """Note that another entry was reached; one stream to each is enough.

        Of two, the one that the entry with the lower name opened stays.
        """
        instance = stream.instance
        self.log.event(_events.PEER_CONNECTED, peer=instance)
        if stream.is_ours:
            return
        self.inbound[instance] = address
        if instance < self.settings.instance and instance in self.links:
            self.links.pop(instance).cancel()

    def on_stream_lost(self, stream: _EntryStream) -> None:
        """Open a stream in place of one that the other entry had opened."""
        if stream.is_ours:
            return
        address = self.inbound.pop(stream.instance, "")
        self.link(stream.instance, address)

    async def announce(self) -> None:
        """Send news to everyone at a steady pace, or at once when asked to."""
        while True:
            await self.wait_turn()
            self.measure()
            for outbox in self.outboxes:
                outbox.wake()

    def tell(self, rows: Iterable[Row]) -> None:
        """Tell the others of upstreams' rows that just came into force here."""
        if self.members.position() >= TELLING_ENTRIES:
            return
        held = self.members.fleet.held
        news = pb.EntryNews(
            rows=[
                to_wire(UPSTREAMS, row)
                for row in rows
                if row.key in held and held[row.key].row.version == row.version
            ]
        )
        for outbox in self.outboxes:
            outbox.put(news)

    def measure(self) -> None:
        """Set the gauges of what entries know together."""
        ENTRIES.set(self.members.live())
        for customer, units in self.members.quota.totals().items():
            LIMIT_USED.labels(customer).set(units)

    async def wait_turn(self) -> None:
        """Wait until news are due."""
        interval_s = self.members.news_interval_s()
        try:
            async with asyncio.timeout(interval_s):
                await self.untold.wait()
            await asyncio.sleep(MIN_NEWS_INTERVAL_S)
        except TimeoutError:
            pass
        self.untold.clear()

    def news(self, *, wanted_from: str = "") -> pb.EntryNews:
        """Return what this entry tells."""
        fleet = self.members.fleet
        news = pb.EntryNews(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            address=self.settings.listen.peers,
            config_version=fleet.config_version,
            upstreams_version=fleet.upstreams_version,
            used=self.members.quota.report_used(),
            age_ms=self.members.age_ms(),
            knows_past=self.members.quota.knows_past(),
            suspects=self.members.crashes.report(),
        )
        if wanted_from and self.members.is_behind(wanted_from):
            news.wanted.config_since = fleet.config_version
            news.wanted.upstreams_since = fleet.upstreams_version
        return news

    async def Exchange(  # noqa: N802
        self, stream: "Stream[pb.EntryNews, pb.EntryNews]"
    ) -> None:
        """Serve another entry's stream until it ends."""
        outbox: Outbox[pb.EntryNews] = Outbox()
        handler = _EntryStream(self, lambda: outbox, is_ours=False)
        is_silent = False
        try:
            await run_stream(stream, handler, outbox)
        except LOST_ERRORS as error:
            is_silent = isinstance(error, TimeoutError)
            self.log.event(_events.PEER_LOST, peer=handler.instance, error=repr(error))
        finally:
            handler.on_lost(is_silent=is_silent)
