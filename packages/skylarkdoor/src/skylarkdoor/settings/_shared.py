"""Settings shared by every process: the fleet's subtree and one per team."""

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
    """A tier of importance.

    Attributes:
        rank: Order of the tier; 0 is the most important.
        deadline_s: Time a request has when its caller names none.
        first_token_ms: Target for the time to the first token.
        inter_token_ms: Target for the time between tokens.
    """

    rank: Rank
    deadline_s: Seconds = 30.0
    first_token_ms: Milliseconds = 510.0
    inter_token_ms: Milliseconds = 28.0


class Route(NamedTuple):
    """Calls of a plain service that are alike.

    Attributes:
        path: Pattern of the path, in which `*` stands for any text.
        methods: Methods that the route covers.
        idempotent: Whether a call may be repeated without harm.
    """

    path: str
    methods: tuple[Method, ...] = ("GET",)
    idempotent: bool = False


class Pool(NamedTuple):
    """A pool of upstreams that can stand in for each other.

    Attributes:
        kind: Whether its upstreams are model engines or plain services.
        models: Models that the engines carry.
        routes: Routes of a plain service; an unknown call is taken as not
            idempotent.
        policy: How an entry chooses among the upstreams.
        offers: Sidecars that get the offer of one request.
        queue_limit: Offers that may wait at one sidecar; one request may have
            several.
        max_running: Most requests inside one upstream.
        min_running: Fewest to which the adaptive limit falls.
        adaptive_limit: Whether the limit follows the tiers' targets.
        cache_tokens: Prompt tokens that an engine's prefix cache holds.
        min_share: Share of the pool that is offered work however slow.
        fencing: Whether the engines check fencing numbers on orders.
        adapters: Adapters that the engines carry.
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
    """Someone who may change settings.

    Attributes:
        token_hashes: SHA-256 hashes of the operator's tokens.
        scope: Path below which changes are allowed.
    """

    token_hashes: tuple[KeyHash, ...]
    scope: Scope


class Fleet(NamedTuple):
    """The subtree under `/fleet`.

    Attributes:
        tiers: Tiers by name.
        pools: Pools by name.
        operators: Operators by name.
    """

    tiers: dict[str, Tier]
    pools: dict[str, Pool]
    operators: dict[str, Operator] = {}  # noqa: RUF012


class Customer(NamedTuple):
    """Someone whose requests are served.

    Attributes:
        key_hashes: SHA-256 hashes of the customer's API keys.
        tier: Tier of its requests.
        pools: Pools that it may use.
        weight: Its share among the customers of one tier.
        max_concurrent: Most requests at once through one entry; 0 for no limit.
        requests_per_s: Sustained rate through one entry; 0 for no limit.
        tokens_per_s: Sustained rate of tokens through one entry; 0 for no limit.
    """

    key_hashes: tuple[KeyHash, ...]
    tier: str
    pools: tuple[str, ...]
    weight: Weight = 1.0
    max_concurrent: Annotated[int, Meta(ge=0)] = 0
    requests_per_s: Rate = 0.0
    tokens_per_s: Rate = 0.0


class Team(NamedTuple):
    """The subtree under `/teams/{team}`.

    Attributes:
        customers: Customers by name.
    """

    customers: dict[str, Customer]


def team_path(team: str) -> str:
    """Return the path of a team's subtree."""
    return f"{TEAMS_PATH}/{team}"


def check_document(path: str, document: Any) -> Fleet | Team:
    """Check the document of one subtree by itself.

    Raises:
        SettingsError: The path names no subtree or the document is wrong.
    """
    if path == FLEET_PATH:
        return convert(document, Fleet, source=path)
    prefix, _, team = path.rpartition("/")
    if prefix != TEAMS_PATH or not team:
        raise SettingsError("expected /fleet or /teams/NAME", path=path)
    return convert(document, Team, source=path)
