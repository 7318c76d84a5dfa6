"""The `/admin/explain` route: reports how a request would be routed now, and why."""

from typing import Literal, NamedTuple

import msgspec
from aiohttp import web

from skylarkdoor import untrusted_json
from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import (
    Pool,
    ProcessSettings,
    ResolvedCustomer,
    convert,
    team_path,
)
from skylarkdoord.admin import authenticate, handle_errors
from skylarkdoord.admin.exceptions import AbsentError, InvalidError, Problem
from skylarkdoord.common import InternalServer, SettingsService
from skylarkdoord.entry._directory import Directory
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._ranking import Estimate, Work, estimate_all, slowdown

Reason = Literal[
    "connecting", "leaving", "listed_as_leaving", "straggler", "has_room", "queues"
]


class ExplainRequest(NamedTuple):
    """Describes the request whose routing is to be explained.

    Attributes:
        team: Team of the customer.
        customer: Customer that would send it.
        pool: Requested pool; empty to find it by the model.
        model: Requested model; empty for a service pool.
        prompt_tokens: Length of its prompt, in tokens.
        max_tokens: Maximum number of tokens to generate.
    """

    team: str
    customer: str
    pool: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0


class Ranked(NamedTuple):
    """One sidecar of the pool in the ranking.

    Attributes:
        instance: Name of its instance.
        data_centre: Its data centre.
        usable: Whether offers may be sent to it.
        reason: State of the sidecar that explains its rank.
        wait_s: Estimated wait in its queue, in seconds.
        service_s: Estimated time in its upstream, in seconds.
        prefill_tokens_per_second: Its measured prefill speed.
        decode_tokens_per_second: Its measured decode speed of a single request.
        slowdown: Its time between tokens, as a multiple of its average.
        running: Number of requests running in its upstream.
        limit: Maximum number of requests running in its upstream.
        waiting_by_tier: Number of offers that wait there, by rank of their tier.
        report_age_s: Age of its last load report, in seconds.
    """

    instance: str
    data_centre: str
    usable: bool
    reason: Reason
    wait_s: float
    service_s: float
    prefill_tokens_per_second: float
    decode_tokens_per_second: float
    slowdown: float
    running: int
    limit: int
    waiting_by_tier: tuple[int, ...]
    report_age_s: float


class Explanation(NamedTuple):
    """How a request would be routed.

    Attributes:
        pool: Pool that would serve it.
        policy: The pool's load-balancing policy.
        offers: Maximum number of sidecars that would have the offer at a time.
        tier: Rank of its tier.
        ranking: The pool's sidecars, the best first.
    """

    pool: str
    policy: str
    offers: int
    tier: int
    ranking: tuple[Ranked, ...]


class Explain:
    """Serves `POST /admin/explain`.

    Args:
        settings: Settings of this process.
    """

    name = "explain"
    requires: tuple[str, ...] = ("settings", "directory")

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings

    async def start(self, kernel: Kernel) -> None:
        """Add the route."""
        self.settings_service = kernel.find("settings", SettingsService)
        self.directory = kernel.find("directory", Directory)
        internal = kernel.find("internal", InternalServer)
        internal.add_route("POST", "/admin/explain", handle_errors(self.post_explain))

    async def stop(self) -> None:
        """Do nothing: there are no resources to release."""

    async def post_explain(self, raw: web.Request) -> web.Response:
        """Answer with an explanation.

        Raises:
            UnauthorizedError: The request carries no operator token.
            ScopeError: The team is outside the operator's scope.
            InvalidError: The request body is not JSON.
            SettingsError: A field of the request body is malformed.
            AbsentError: The customer does not exist or has no such pool.
        """
        hashes = self.settings.operator_token_hashes
        fleet = self.settings_service.view.fleet
        operator = authenticate(raw.headers, fleet, hashes)
        try:
            document = untrusted_json.loads(await raw.read())
        except ValueError as error:
            raise InvalidError([Problem("", str(error))]) from None
        explain_request = convert(document, ExplainRequest)
        operator.require(team_path(explain_request.team))
        explanation = self.explain(explain_request)
        if explanation is None:
            raise AbsentError("the customer does not exist or has no such pool")
        return web.Response(
            body=msgspec.json.encode(_as_dict(explanation)),
            content_type="application/json",
        )

    def explain(self, explain_request: ExplainRequest) -> Explanation | None:
        """Return how a request would be routed.

        Returns:
            The explanation, or None if the customer does not exist or has no such
            pool.
        """
        resolved = self.find_customer(explain_request)
        if resolved is None:
            return None
        found = self.find_pool(explain_request, resolved)
        if found is None:
            return None
        name, pool = found
        tier = resolved.tier.rank
        work = Work(tier, explain_request.prompt_tokens, explain_request.max_tokens)
        peers = [p for p in self.directory.peers.values() if p.record.pool == name]
        estimates = estimate_all(work, peers, hits={}, min_share=pool.min_share)
        estimates.sort(key=_sort_key)
        ranking = tuple(_ranked(estimate) for estimate in estimates)
        return Explanation(name, pool.policy, pool.offers, tier, ranking)

    def find_customer(self, explain_request: ExplainRequest) -> ResolvedCustomer | None:
        """Return the request's customer with its tier, None if it does not exist."""
        for resolved in self.settings_service.view.customers():
            if (resolved.team, resolved.customer_name) == explain_request[:2]:
                return resolved
        return None

    def find_pool(
        self, explain_request: ExplainRequest, resolved: ResolvedCustomer
    ) -> tuple[str, Pool] | None:
        """Return the name and settings of the pool with the requested name or model."""
        pools = self.settings_service.view.fleet.pools
        for name in resolved.customer.pools:
            pool = pools.get(name)
            if pool is None:
                continue
            if name == explain_request.pool or (
                explain_request.model and explain_request.model in pool.models
            ):
                return name, pool
        return None


def _sort_key(estimate: Estimate) -> tuple[bool, bool, float]:
    return not estimate.peer.usable, estimate.straggler, estimate.finish_s


def _reason(estimate: Estimate) -> Reason:
    peer = estimate.peer
    if not peer.connected:
        return "connecting"
    if peer.draining:
        return "leaving"
    if peer.record.state != "live":
        return "listed_as_leaving"
    if estimate.straggler:
        return "straggler"
    return "queues" if estimate.wait_s else "has_room"


def _ranked(estimate: Estimate) -> Ranked:
    peer: SidecarPeer = estimate.peer
    load = peer.load
    return Ranked(
        instance=peer.instance,
        data_centre=peer.record.data_centre,
        usable=peer.usable,
        reason=_reason(estimate),
        wait_s=round(estimate.wait_s, 3),
        service_s=round(estimate.service_s, 3),
        prefill_tokens_per_second=round(load.prefill_tokens_per_second, 1),
        decode_tokens_per_second=round(load.decode_tokens_per_second, 1),
        slowdown=round(slowdown(peer), 2),
        running=load.running,
        limit=load.limit,
        waiting_by_tier=tuple(load.waiting_by_tier),
        report_age_s=round(peer.report_age_s, 3),
    )


def _as_dict(explanation: Explanation) -> dict[str, object]:
    ranking = [ranked._asdict() for ranked in explanation.ranking]
    return explanation._asdict() | {"ranking": ranking}
