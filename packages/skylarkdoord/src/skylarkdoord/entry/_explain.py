"""Says where a request would go at present, and why."""

from typing import Literal, NamedTuple

import msgspec
from aiohttp import web

from skylarkdoor.kernel import Kernel
from skylarkdoor.settings import Pool, ProcessSettings, Resolved, team_path
from skylarkdoord.admin import authenticate, with_errors
from skylarkdoord.admin.exceptions import AbsentError, InvalidError, Problem
from skylarkdoord.common import InternalServer, SettingsService
from skylarkdoord.entry._directory import Directory
from skylarkdoord.entry._peer import SidecarPeer
from skylarkdoord.entry._ranking import Estimate, Work, estimate_all, slowdown

Reason = Literal[
    "connecting", "leaving", "listed_as_leaving", "straggler", "has_room", "queues"
]


class Question(NamedTuple):
    """A request to explain.

    Attributes:
        team: Team of the customer.
        customer: Customer that would send it.
        pool: Pool asked for; empty to find it by the model.
        model: Model asked for; empty for a plain service.
        prompt_tokens: Length of its prompt.
        max_tokens: Most tokens that may be generated.
    """

    team: str
    customer: str
    pool: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0


class Ranked(NamedTuple):
    """One sidecar of the pool.

    Attributes:
        instance: Its name.
        data_centre: Its data centre.
        usable: Whether it would get the offer at all.
        reason: Why it stands where it does.
        wait_s: Estimated wait in its queue, in seconds.
        service_s: Estimated time in its upstream, in seconds.
        prefill_tokens_per_second: Its learned speed of prefill.
        decode_tokens_per_second: Its learned speed of one request's decoding.
        slowdown: Its time between tokens in proportion to the usual.
        running: Requests inside its upstream.
        limit: Most requests inside its upstream.
        waiting_by_tier: Offers that wait there, by rank.
        report_age_s: Age of what it reported, in seconds.
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
    """Where a request would go.

    Attributes:
        pool: Pool that would serve it.
        policy: The pool's policy.
        offers: Sidecars that would get the offer at once.
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
        internal.add_route("POST", "/admin/explain", with_errors(self.post_explain))

    async def stop(self) -> None:
        """Nothing is open."""

    async def post_explain(self, raw: web.Request) -> web.Response:
        """Answer with an explanation.

        Raises:
            UnauthorizedError: The request bears no operator's token.
            ScopeError: The team lies outside the operator's scope.
            InvalidError: The question is malformed.
            AbsentError: There is no such customer, or no pool for it.
        """
        hashes = self.settings.operator_token_hashes
        fleet = self.settings_service.view.fleet
        caller = authenticate(raw.headers, fleet, hashes)
        try:
            question = msgspec.convert(await raw.json(), Question)
        except (ValueError, msgspec.ValidationError) as error:
            raise InvalidError([Problem("", str(error))]) from None
        caller.require(team_path(question.team))
        explanation = self.explain(question)
        if explanation is None:
            raise AbsentError("no such customer, or no pool for it by this name")
        return web.Response(
            body=msgspec.json.encode(_by_name(explanation)),
            content_type="application/json",
        )

    def explain(self, question: Question) -> Explanation | None:
        """Return where a request would go, None if nobody could serve it."""
        resolved = self.find_customer(question)
        if resolved is None:
            return None
        found = self.find_pool(question, resolved)
        if found is None:
            return None
        name, pool = found
        tier = resolved.tier.rank
        work = Work(tier, question.prompt_tokens, question.max_tokens)
        peers = [p for p in self.directory.peers.values() if p.record.pool == name]
        estimates = estimate_all(work, peers, hits={}, min_share=pool.min_share)
        estimates.sort(key=_place)
        ranking = tuple(_ranked(estimate) for estimate in estimates)
        return Explanation(name, pool.policy, pool.offers, tier, ranking)

    def find_customer(self, question: Question) -> Resolved | None:
        """Return the customer in question with its tier."""
        for resolved in self.settings_service.view.customers():
            if (resolved.team, resolved.customer_name) == question[:2]:
                return resolved
        return None

    def find_pool(
        self, question: Question, resolved: Resolved
    ) -> tuple[str, Pool] | None:
        """Return the pool in question, by its name or by the model."""
        pools = self.settings_service.view.fleet.pools
        for name in resolved.customer.pools:
            pool = pools.get(name)
            if pool is None:
                continue
            if name == question.pool or (
                question.model and question.model in pool.models
            ):
                return name, pool
        return None


def _place(estimate: Estimate) -> tuple[bool, bool, float]:
    return not estimate.peer.usable, estimate.straggler, estimate.finish_s


def _reason(estimate: Estimate) -> Reason:
    peer = estimate.peer
    if not peer.connected:
        return "connecting"
    if peer.leaving:
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


def _by_name(explanation: Explanation) -> dict[str, object]:
    ranking = [ranked._asdict() for ranked in explanation.ranking]
    return explanation._asdict() | {"ranking": ranking}
