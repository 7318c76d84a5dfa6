"""Service that holds the clients of the platform's services."""

import aiohttp

from skylarkdoor import bounded_http
from skylarkdoor.clients import (
    EtcdTable,
    InstanceList,
    ObjectStore,
    Table,
    WeightStore,
)
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import PlatformAddresses


class Platform:
    """Holds one client for each of the platform's services."""

    name = "platform"
    requires: tuple[str, ...] = ()

    def __init__(self, addresses: PlatformAddresses) -> None:
        self.addresses = addresses
        self.session: aiohttp.ClientSession | None = None

    async def start(self, kernel: Kernel) -> None:
        """Open the client session."""
        session = bounded_http.open_session()
        self.session = session
        self.table: Table = EtcdTable(session, self.addresses.table)
        self.objects = ObjectStore(session, (self.addresses.objects,))
        self.instances = InstanceList(session, (self.addresses.instances,))
        self.weights = WeightStore(session, (self.addresses.weights,))

    async def stop(self) -> None:
        """Close the client session."""
        if self.session is not None:
            await self.session.close()
