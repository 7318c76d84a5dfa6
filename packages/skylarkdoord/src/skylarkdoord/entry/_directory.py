"""Keeps the set of sidecars that this entry is connected to."""

import asyncio
import random
import time
from typing import Any

from skylarkdoor import events
from skylarkdoor.clients import InstanceRecord, PlatformError
from skylarkdoor.hashing import rendezvous
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoor.wire import pb
from skylarkdoord import _events
from skylarkdoord.common import (
    DrainState,
    InternalServer,
    Platform,
    SettingsService,
    TlsService,
)
from skylarkdoord.common import _drain_state as drain_state
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._suspects import SuspectRelay

POLL_INTERVAL_S = 1.0


class Directory:
    """Polls the instance list and keeps a stream to each selected sidecar.

    Args:
        settings: Settings of this process.
    """

    name = "directory"
    requires: tuple[str, ...] = ("platform", "settings", "departure", "tls")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.peers: dict[str, SidecarPeer] = {}
        self.suspects = SuspectRelay(lambda: self.peers.values())
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.has_fetched = False
        self.listed_entries = 1
        self.incarnation = time.time_ns()
        self.log = events.get_logger("entry.directory")

    async def start(self, kernel: Kernel) -> None:
        """Start to poll the list; the entry is ready after the first success."""
        self.kernel = kernel
        self.platform = kernel.find("platform", Platform)
        self.settings_service = kernel.find("settings", SettingsService)
        self.drain_state = kernel.find("departure", DrainState)
        self.tls = kernel.find("tls", TlsService)
        internal = kernel.find("internal", InternalServer)
        internal.add_ready_check("directory", lambda: self.has_fetched)
        internal.add_status("sidecars", self.status)
        self.poller = kernel.supervise(self.poll, name="directory.poll")

    async def stop(self) -> None:
        """Stop polling and close the streams."""
        self.poller.cancel()
        for task in self.tasks.values():
            task.cancel()

    def of_pool(self, pool: str) -> list[SidecarPeer]:
        """Return the pool's sidecars to which offers may be sent."""
        return [
            peer
            for peer in self.peers.values()
            if peer.record.pool == pool and peer.usable
        ]

    def entry_count(self) -> int:
        """Return how many entries the list contains, at least this one."""
        return self.listed_entries

    def status(self) -> list[dict[str, Any]]:
        """Return the `/status` entry of each sidecar."""
        return [
            {
                "instance": peer.instance,
                "pool": peer.record.pool,
                "data_centre": peer.record.data_centre,
                "connected": peer.connected,
                "leaving": peer.draining or peer.record.state != "live",
                "running": peer.load.running,
                "limit": peer.load.limit,
                "waiting_by_tier": list(peer.load.waiting_by_tier),
            }
            for peer in self.peers.values()
        ]

    async def poll(self) -> None:
        """Poll the list until cancelled; a failed read leaves the peers unchanged."""
        while True:
            try:
                self.update(await self.platform.instances.fetch())
                self.has_fetched = True
            except PlatformError as error:
                self.log.event(_events.LIST_POLL_FAILED, error=str(error))
            await asyncio.sleep(random.uniform(0.5, 1.0) * POLL_INTERVAL_S)

    def update(self, records: list[InstanceRecord]) -> None:
        """Open streams to new sidecars and close those to removed ones.

        The stream to a sidecar whose address has changed is opened anew.
        """
        self.follow_own_record(records)
        entries = sum(record.role == "entry" for record in records)
        self.listed_entries = max(1, entries)
        desired = {record.instance: record for record in self.choose(records)}
        for instance in list(self.peers):
            known = self.peers[instance].record
            new = desired.get(instance)
            if new is None or new.rpc != known.rpc:
                self.tasks.pop(instance).cancel()
                del self.peers[instance]
            else:
                self.peers[instance].update(new)
        for instance, record in desired.items():
            if instance not in self.peers:
                self.connect(record)

    def follow_own_record(self, records: list[InstanceRecord]) -> None:
        """Start or end draining according to this entry's own record in the list.

        A record with another address belongs to an earlier incarnation and is ignored.
        """
        for record in records:
            if record.instance != self.settings.instance:
                continue
            if record.http != self.settings.listen.internal:
                continue
            if record.state == "live":
                self.drain_state.cancel_drain(drain_state.INSTANCE_LIST)
            else:
                self.drain_state.start_drain(drain_state.INSTANCE_LIST)

    def choose(self, records: list[InstanceRecord]) -> list[InstanceRecord]:
        """Return the records of the sidecars to connect to."""
        by_pool: dict[str, list[InstanceRecord]] = {}
        for record in records:
            if record.role == "sidecar":
                by_pool.setdefault(record.pool, []).append(record)
        chosen: list[InstanceRecord] = []
        for members in by_pool.values():
            chosen.extend(self.choose_of_pool(members))
        return chosen

    def choose_of_pool(self, members: list[InstanceRecord]) -> list[InstanceRecord]:
        """Return up to `max_sidecars` members of one pool, own data centre first.

        Rendezvous hashing orders the members of a data centre, so that different
        entries select different ones.
        """
        limit = self.settings.limits.max_sidecars
        own_instance = self.settings.instance
        ranked = rendezvous(
            own_instance, [m.instance for m in members], count=len(members)
        )
        rank_of = {instance: rank for rank, instance in enumerate(ranked)}
        own_data_centre = self.settings.data_centre
        ordered = sorted(
            members,
            key=lambda m: (m.data_centre != own_data_centre, rank_of[m.instance]),
        )
        return ordered[:limit]

    def connect(self, record: InstanceRecord) -> None:
        """Add a peer for a sidecar and start to connect to it."""
        hello = pb.EntryHello(
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
        )
        peer = SidecarPeer(
            record, hello, self.settings_service, self.tls.rpc_client, self.suspects
        )
        self.peers[record.instance] = peer
        self.tasks[record.instance] = self.kernel.supervise(
            peer.run, name=f"peer {record.instance}"
        )
