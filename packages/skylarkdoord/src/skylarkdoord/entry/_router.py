"""Finds a sidecar for each request and dispatches the request there."""

from skylarkdoor import tracing
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import ProcessSettings
from skylarkdoord._retry_limiter import Retry
from skylarkdoord.common import TlsService
from skylarkdoord.entry._admission import RETRIES_REFUSED, Admission
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
        self.admission.retries.count_request(request.pool_name)
        excluded: set[str] = set()
        retry: Retry | None = None
        for _ in range(MAX_ATTEMPTS):
            accepted = await self.acquire_within_budget(request, excluded, retry)
            try:
                return await self.dispatcher.send(request, accepted)
            except RefusedError:
                raise
            except NotRunError:
                excluded.add(accepted.peer.instance)
                retry = self.admission.retries.approve(request.pool_name)
                if retry is None:
                    break
        if retry is None:
            RETRIES_REFUSED.inc()
        else:
            retry.end()
        raise refusal()

    def check_quarantine(self, request: EntryRequest) -> None:
        """Check that a request is not quarantined for crashing upstreams.

        Raises:
            RefusedError: The request is quarantined.
        """
        suspicions = self.directory.suspects.of_pool(request.pool_name)
        if suspicions.get(request.fingerprint).is_quarantined:
            raise RefusedError("quarantined", "the request crashes upstreams")

    async def acquire_within_budget(
        self, request: EntryRequest, excluded: set[str], retry: Retry | None
    ) -> AcceptedGrant:
        """Acquire a grant and count the retry that is sent with it.

        Args:
            request: The request.
            excluded: Instances of the sidecars that did not run it.
            retry: The retry that the budget allowed; None for the first attempt.

        Raises:
            RefusedError: No sidecar grants the request before its deadline, or the
                budget was used up meanwhile.
        """
        try:
            accepted = await self.acquire(request, excluded)
            if retry is None or retry.send():
                return accepted
        finally:
            if retry is not None:
                retry.end()
        accepted.peer.withdraw(request.request_id)
        RETRIES_REFUSED.inc()
        raise refusal()

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


def refusal() -> RefusedError:
    """Return the error that refuses a request which no sidecar ran."""
    return RefusedError(
        "unavailable", "no upstream accepted the request", retry_after_s=1
    )
