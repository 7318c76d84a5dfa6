"""Streams from an entry to the guards of its upstreams."""

import asyncio
from collections.abc import Callable, Iterable

from skylarkdoor.kernel import Kernel
from skylarkdoor.wire import pb
from skylarkdoord._listeners import call_all
from skylarkdoord.direct._fleet import Fleet
from skylarkdoord.direct._guard_link import GrantListener, GuardLink, RestartListener
from skylarkdoord.direct._model import Incarnation, UpstreamRecord
from skylarkdoord.direct._pace import Pace, guard_heartbeat_s
from skylarkdoord.direct._settings import DirectSettings


class Guards:
    """Keeps a stream to the guard of each engine.

    Args:
        settings: Settings of this process.
        fleet: Lists the upstreams.
        listener: Receives the grants of all guards.
        entries: Returns how many entries have streams to the guards.

    Attributes:
        links: The streams, by incarnation of the upstream.
        by_service: The same by service and name of the upstream.
        on_streams: Called with the streams that a guard knows.
        on_connected: Called when a guard is connected.
        on_restarted: Called for each upstream that has started again since it was
            listed.
    """

    name = "guards"
    requires: tuple[str, ...] = ("fleet",)

    def __init__(
        self,
        settings: DirectSettings,
        fleet: Fleet,
        listener: GrantListener,
        *,
        entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self.pace = Pace(lambda: guard_heartbeat_s(entries()))
        self.settings = settings
        self.fleet = fleet
        self.listener = listener
        self.links: dict[Incarnation, GuardLink] = {}
        self.by_service: dict[str, dict[str, GuardLink]] = {}
        self.on_streams: Callable[[Iterable[pb.BegunStream]], None] = lambda streams: (
            None
        )
        self.on_connected: Callable[[GuardLink], None] = lambda link: None
        self.on_restarted: list[RestartListener] = []
        self.supervise: Callable[..., asyncio.Task[None]] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Subscribe to changes of the fleet and open the streams."""
        self.supervise = kernel.supervise
        # Must run before the scheduler's callback, which would otherwise treat a new
        # engine as one without a guard.
        self.fleet.on_upstreams.insert(0, self.refresh)
        self.fleet.on_config.insert(0, self.refresh)
        self.refresh()

    async def stop(self) -> None:
        """Close the streams."""
        for link in self.links.values():
            if link.task is not None:
                link.task.cancel()

    def link_of(self, record: UpstreamRecord) -> GuardLink | None:
        """Return the stream to an upstream's guard, open or being opened.

        Returns None if the upstream has no guard or the guard is disconnected. Until
        the first connection attempt ends, it is unknown whether the upstream has a
        guard, and it is treated as having one. If all entries sent requests to a new
        engine without its guard meanwhile, the engine would start with a long queue.
        """
        link = self.links.get(record.incarnation)
        if link is None or not (link.is_connected or link.is_opening):
            return None
        return link

    def refresh(self) -> None:
        """Open streams for new engines and close those of removed engines."""
        if self.fleet.routing is None or self.supervise is None:
            return
        desired = {
            record.incarnation: record
            for service in self.fleet.routing.config.services.values()
            if service.is_engine
            for record in self.fleet.upstreams(service.name)
        }
        for key in list(self.links):
            if key not in desired:
                self.close(self.links.pop(key))
        for key, record in desired.items():
            if key in self.links:
                self.links[key].update(record)
            else:
                self.links[key] = self.open(record)
        self.by_service = {}
        for link in self.links.values():
            of_service = self.by_service.setdefault(link.record.service, {})
            of_service[link.record.instance] = link

    def open(self, record: UpstreamRecord) -> GuardLink:
        """Open the stream to an upstream's guard."""
        assert self.supervise is not None
        link = GuardLink(self.settings, record, self.listener, self.pace)
        link.on_streams = self.on_streams
        link.on_connected = self.on_connected
        link.on_restarted = self.tell_restarted
        link.task = self.supervise(link.link.run, name=f"guards.{record.instance}")
        return link

    def tell_restarted(self, record: UpstreamRecord, started_ms: int) -> None:
        """Tell all listeners that an upstream has started again."""
        call_all(self.on_restarted, record, started_ms)

    def close(self, link: GuardLink) -> None:
        """Close a stream; requests that already run continue."""
        if link.task is not None:
            link.task.cancel()
