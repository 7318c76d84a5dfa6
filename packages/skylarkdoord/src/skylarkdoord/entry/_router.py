"""Finds an upstream for each request."""

from skylarkdoor import tracing
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord.common import TlsService
from skylarkdoord.entry._admission import Admission
from skylarkdoord.entry._delivery import Delivery
from skylarkdoord.entry._directory import Directory
from skylarkdoord.entry._dispatch import Dispatcher
from skylarkdoord.entry._offers import OfferRound, Taken
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._policies import policies
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.exceptions import NotRunError, RefusedError

MAX_TRIES = 4


class Router:
    """Offers requests and sends them where they are granted.

    Args:
        settings: Settings of this process.
    """

    name = "router"
    requires: tuple[str, ...] = ("admission", "directory", "tls")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.policies = policies()

    async def start(self, kernel: Kernel) -> None:
        """Open the connections to sidecars."""
        self.admission = kernel.find("admission", Admission)
        self.directory = kernel.find("directory", Directory)
        self.dispatcher = Dispatcher(
            kernel.find("tls", TlsService), self.directory.suspects
        )

    async def stop(self) -> None:
        """Close them."""
        await self.dispatcher.close()

    async def serve(self, request: EntryRequest) -> Delivery:
        """Have a request run; returns the answer once it has begun.

        Raises:
            RefusedError: It was not run.
            OutcomeUnknownError: It was dispatched and its outcome is not known.
        """
        self.check_suspicion(request)
        excluded: set[str] = set()
        self.admission.retries.deposit()
        for _ in range(MAX_TRIES):
            taken = await self.acquire(request, excluded)
            try:
                return await self.dispatcher.send(request, taken)
            except RefusedError:
                raise
            except NotRunError:
                excluded.add(taken.peer.instance)
                if not self.admission.retries.spend():
                    break
        raise RefusedError(
            "unavailable", "no upstream took the request", retry_after_s=1
        )

    def check_suspicion(self, request: EntryRequest) -> None:
        """Refuse a request that is known to crash upstreams.

        Raises:
            RefusedError: It is quarantined.
        """
        known = self.directory.suspects.of_pool(request.pool_name)
        if known.of(request.fingerprint).is_quarantined:
            raise RefusedError("quarantined", "the request crashes upstreams")

    async def acquire(self, request: EntryRequest, excluded: set[str]) -> Taken:
        """Take a grant from one of the sidecars in reach.

        Raises:
            RefusedError: None takes the request in time.
        """

        def reach() -> list[SidecarPeer]:
            of_pool = self.directory.of_pool(request.pool_name)
            return [peer for peer in of_pool if peer.instance not in excluded]

        peers = reach()
        choice = self.policies[request.pool.policy].choose(request, peers)
        with tracing.span(
            "offer", request.context, request_id=request.request_id, reach=len(peers)
        ):
            round_ = OfferRound(request, choice, reach=reach)
            with self.admission.waiting.join(request, round_.shed):
                return await round_.take()
