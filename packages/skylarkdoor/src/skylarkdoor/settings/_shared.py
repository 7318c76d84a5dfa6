"""Settings shared by all processes: the fleet's subtree and one per team."""

from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta

from skylarkdoor.exceptions import SettingsError
from skylarkdoor.settings._convert import convert
from skylarkdoor.settings._process import Count, KeyHash, Ratio, Seconds

FLEET_PATH = "/fleet"
TEAMS_PATH = "/teams"

Rank = Annotated[int, Meta(ge=0, le=15)]
Weight = Annotated[float, Meta(gt=0)]
Milliseconds = Annotated[float, Meta(gt=0, description="a number of milliseconds")]
Rate = Annotated[float, Meta(ge=0, description="a number for each second")]
Scope = Annotated[
    str,
    Meta(
        pattern=r"^/(fleet|teams(/[^/]+)?)?$",
        description="a scope: `/`, `/fleet`, `/teams` or `/teams/NAME`",
    ),
]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
PolicyName = Literal["late-binding", "least-finish", "least-connections", "round-robin"]


class Tier(NamedTuple):
    """A priority class of requests.

    Attributes:
        rank: Priority of the tier; 0 is the highest.
        deadline_s: Deadline of a request whose caller sets none.
        first_token_ms: Latency target for the first token.
        inter_token_ms: Latency target between consecutive tokens.
    """

    rank: Rank
    deadline_s: Seconds = 30.0
    first_token_ms: Milliseconds = 510.0
    inter_token_ms: Milliseconds = 28.0


class Route(NamedTuple):
    """Properties of the calls to a plain service that match a pattern.

    Attributes:
        path: Pattern of the path, in which `*` matches any text.
        methods: HTTP methods that the route covers.
        idempotent: Whether it is safe to repeat a call.
    """

    path: str
    methods: tuple[Method, ...] = ("GET",)
    idempotent: bool = False


class Pool(NamedTuple):
    """A pool of interchangeable upstreams.

    Attributes:
        kind: Whether its upstreams are model engines or plain services.
        models: Models that the engines can serve.
        routes: Routes of a plain service; a call that matches none is treated as
            not idempotent.
        policy: Policy by which an entry chooses among the upstreams.
        offers: Sidecars to which one request is offered at once. An offer asks a
            sidecar to queue the request.
        queue_limit: Offers that may wait at one sidecar; one request may have
            offers at several sidecars.
        max_running: Maximum number of concurrent requests at one upstream.
        min_running: Lower bound of the adaptive limit on concurrent requests.
        adaptive_limit: Whether the limit on concurrent requests adapts to the
            tiers' latency targets.
        cache_tokens: Capacity of an engine's prefix cache, in prompt tokens.
        min_share: Share of the pool that is never treated as stragglers, however slow
            it is; a straggler is an upstream much slower than its pool.
        fencing: Whether the engines check the fencing numbers of orders.
        adapters: Adapters that the engines can serve.
    """

    kind: Literal["model", "service"]
    models: tuple[str, ...] = ()
    routes: tuple[Route, ...] = ()
    policy: PolicyName = "late-binding"
    offers: Count = 3
    queue_limit: Count = 256
    max_running: Count = 16
    min_running: Count = 1
    adaptive_limit: bool = True
    cache_tokens: Annotated[int, Meta(ge=0)] = 65536
    min_share: Ratio = 0.5
    fencing: Literal["check", "ignore"] = "ignore"
    adapters: tuple[str, ...] = ()


class Operator(NamedTuple):
    """A person or program that may change settings.

    Attributes:
        token_hashes: SHA-256 hashes of the operator's tokens.
        scope: Settings path below which changes are allowed.
    """

    token_hashes: tuple[KeyHash, ...]
    scope: Scope


class Fleet(NamedTuple):
    """The content of the subtree `/fleet`.

    Attributes:
        tiers: Tiers by name.
        pools: Pools by name.
        operators: Operators by name.
    """

    tiers: dict[str, Tier]
    pools: dict[str, Pool]
    operators: dict[str, Operator] = {}  # noqa: RUF012


class Customer(NamedTuple):
    """A customer whose requests are served, identified by its API keys.

    Attributes:
        key_hashes: SHA-256 hashes of the customer's API keys.
        tier: Name of the tier of its requests.
        pools: Names of the pools that it may use.
        weight: Its weight in fair sharing among the customers of one tier.
        max_concurrent: Limit on concurrent requests through one entry; 0 for no
            limit.
        requests_per_s: Limit on the sustained request rate through one entry; 0
            for no limit.
        tokens_per_s: Limit on the sustained token rate through one entry; 0 for no
            limit.
    """

    key_hashes: tuple[KeyHash, ...]
    tier: str
    pools: tuple[str, ...]
    weight: Weight = 1.0
    max_concurrent: Annotated[int, Meta(ge=0)] = 0
    requests_per_s: Rate = 0.0
    tokens_per_s: Rate = 0.0


class Team(NamedTuple):
    """The content of the subtree `/teams/{team}`.

    Attributes:
        customers: Customers by name.
    """

    customers: dict[str, Customer]


def team_path(team: str) -> str:
    """Return the path of a team's subtree."""
    return f"{TEAMS_PATH}/{team}"


def check_document(path: str, document: Any) -> Fleet | Team:
    """Validate the document of one subtree, without reference to other subtrees.

    Raises:
        SettingsError: The path is not that of a subtree, or the document is
            invalid.
    """
    if path == FLEET_PATH:
        return convert(document, Fleet, source=path)
    prefix, _, team = path.rpartition("/")
    if prefix != TEAMS_PATH or not team:
        raise SettingsError("expected /fleet or /teams/NAME", path=path)
    return convert(document, Team, source=path)
