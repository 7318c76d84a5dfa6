"""Finds a sidecar for each request and dispatches the request there."""

from skylarkdoor import tracing
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord.common import TlsService
from skylarkdoord.entry._admission import Admission
from skylarkdoord.entry._delivery import Delivery
from skylarkdoord.entry._directory import Directory
from skylarkdoord.entry._dispatch import Dispatcher
from skylarkdoord.entry._offers import AcceptedGrant, OfferRound
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._policies import policies
from skylarkdoord.entry._request import EntryRequest
from skylarkdoord.exceptions import NotRunError, RefusedError

# Limits the sidecars to which one request is sent.
MAX_ATTEMPTS = 4


class Router:
    """Offers requests to sidecars and sends each to the one that grants it.

    Args:
        settings: Settings of this process.
    """

    name = "router"
    requires: tuple[str, ...] = ("admission", "directory", "tls")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.policies = policies()

    async def start(self, kernel: Kernel) -> None:
        """Create the dispatcher."""
        self.admission = kernel.find("admission", Admission)
        self.directory = kernel.find("directory", Directory)
        self.dispatcher = Dispatcher(
            kernel.find("tls", TlsService), self.directory.suspects
        )

    async def stop(self) -> None:
        """Close the connections to sidecars."""
        await self.dispatcher.close()

    async def serve(self, request: EntryRequest) -> Delivery:
        """Dispatch a request and return when the answer has started.

        Raises:
            RefusedError: The request was not run.
            OutcomeUnknownError: The request may have run, and its answer is lost.
        """
        self.check_quarantine(request)
        excluded: set[str] = set()
        self.admission.retries.deposit()
        for _ in range(MAX_ATTEMPTS):
            accepted = await self.acquire(request, excluded)
            try:
                return await self.dispatcher.send(request, accepted)
            except RefusedError:
                raise
            except NotRunError:
                excluded.add(accepted.peer.instance)
                if not self.admission.retries.spend():
                    break
        raise RefusedError(
            "unavailable", "no upstream accepted the request", retry_after_s=1
        )

    def check_quarantine(self, request: EntryRequest) -> None:
        """Check that a request is not quarantined for crashing upstreams.

        Raises:
            RefusedError: The request is quarantined.
        """
        suspicions = self.directory.suspects.of_pool(request.pool_name)
        if suspicions.get(request.fingerprint).is_quarantined:
            raise RefusedError("quarantined", "the request crashes upstreams")

    async def acquire(self, request: EntryRequest, excluded: set[str]) -> AcceptedGrant:
        """Acquire a grant from one of the reachable sidecars.

        Raises:
            RefusedError: No sidecar grants the request before its deadline.
        """

        def find_reachable() -> list[SidecarPeer]:
            of_pool = self.directory.of_pool(request.pool_name)
            return [peer for peer in of_pool if peer.instance not in excluded]

        peers = find_reachable()
        choice = self.policies[request.pool.policy].choose(request, peers)
        with tracing.span(
            "offer", request.context, request_id=request.request_id, reach=len(peers)
        ):
            offer_round = OfferRound(request, choice, find_reachable=find_reachable)
            with self.admission.waiting.join(request, offer_round.shed):
                return await offer_round.acquire()
