"""What a direct entry knows of its deployment and of one request."""

import enum
import time
from typing import NamedTuple

MS_PER_S = 1000.0


class Repeat(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class Target(NamedTuple):
    """One service that a route's requests may go to.

    Attributes:
        service: Its name.
        weight: Share of the requests, in proportion to the other targets.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests under one host and path prefix are served.

    Attributes:
        name: Its name.
        host: Host that the request names.
        prefix: Path prefix, with a slash at both ends.
        targets: Services that serve it.
        repeat: Whether a request may run more than once.
        is_stream: Whether the answer is a stream of events.
        is_resumable: Whether a stream may go on at another upstream.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        target_latency_s: Time to the first byte that counts as on time, in seconds.
        max_pause_s: Longest pause between events that counts as on time, in seconds.
        rank: Tier; 0 is the most important.
        max_attempts: Most upstreams that one request may run on.
        is_open: Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    repeat: Repeat = Repeat.ONCE
    is_stream: bool = False
    is_resumable: bool = False
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    max_pause_s: float = 1.0
    rank: int = 0
    max_attempts: int = 1
    is_open: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a second run does no harm."""
        return self.repeat is Repeat.IDEMPOTENT or self.is_resumable


class Service(NamedTuple):
    """A group of upstreams that serve the same requests.

    Attributes:
        name: Its name.
        max_connections: Connections that one upstream accepts.
        is_engine: Whether the upstreams are language-model engines.
        slots: Requests that one engine runs at a time; 0 if not stated.
    """

    name: str
    max_connections: int = 0
    is_engine: bool = False
    slots: int = 0


class Customer(NamedTuple):
    """Someone who holds keys and shares a limit between them.

    Attributes:
        name: Its name, told to upstreams.
        keys: API keys.
        rank: Tier of its requests; None leaves the route's.
        rate: Units that it may use a second; 0 for no limit.
        burst: Units that it may use at once beyond the rate.
        counts_tokens: Whether the units are tokens rather than requests.
        default_tokens: Units of a request that states no tokens.
    """

    name: str
    keys: tuple[str, ...] = ()
    rank: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 1


class FleetConfig(NamedTuple):
    """One version of the deployment's configuration.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services: Services by name.
        customers: All customers.
        max_body_bytes: Largest request body.
        idle_timeout_s: Time after which an idle caller's connection may be closed,
            in seconds.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[Customer, ...]
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


class UpstreamRecord(NamedTuple):
    """An upstream as the registry shows it.

    Attributes:
        instance: Identity of this life of the upstream.
        service: Service that it belongs to.
        address: Its `host:port`.
        data_centre: Where it runs.
        slots: Requests that it runs at a time.
        is_leaving: Whether it takes no new work.
        started_ms: Unix time of its start in milliseconds; tells two lives apart.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    started_ms: int = 0


class Precedence(NamedTuple):
    """What decides between requests that wait for the same place; lower goes first.

    Attributes:
        tier: Its tier; 0 is the most important.
        is_late: Whether it can no longer be on time.
        is_long: Whether it goes after the others since its answer is long.
    """

    tier: int
    is_late: bool = False
    is_long: bool = False


class CallerRequest(NamedTuple):
    """A request as the caller sent it.

    Attributes:
        request_id: Identity of this attempt of the caller; empty without one.
        method: HTTP method.
        target: Path and query exactly as sent.
        host: Host without a port.
        headers: Headers that may go on to an upstream, as sent.
        body: The whole body.
        key: API key; empty without one.
        deadline: Monotonic time until which the caller waits, in seconds.
        received: Monotonic time of receipt, in seconds.
        prompt_tokens: Tokens of the prompt.
        max_tokens: Most tokens of the answer.
        expected_tokens: Tokens of the answer as the caller expects; 0 if not stated.
        states_tokens: Whether the caller stated its tokens.
        prefix: Parts of the prompt, as identity and number of tokens.
        last_event_id: Event after which a resumed stream goes on; empty if new.
        is_kept: Whether its connection carried a request before.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    deadline: float
    received: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    states_tokens: bool = False
    prefix: tuple[tuple[str, int], ...] = ()
    last_event_id: str = ""
    is_kept: bool = False

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    def remaining_s(self) -> float:
        """Return the time that the caller still waits, in seconds."""
        return self.deadline - time.monotonic()


class Admitted(NamedTuple):
    """A request together with what the configuration says of it.

    Attributes:
        request: The request.
        route: Its route.
        service: The service chosen among the route's targets.
        customer: Who sent it; None on an open route.
        rank: Its tier; 0 is the most important.
        deadline: Monotonic time at which it is ended, in seconds.
        on_time_until: Monotonic time of the latest first byte on time, in seconds.
        version: Version of the configuration that decided.
    """

    request: CallerRequest
    route: Route
    service: str
    customer: Customer | None
    rank: int
    deadline: float
    on_time_until: float
    version: int

    def remaining_s(self) -> float:
        """Return the time until it is ended, in seconds."""
        return self.deadline - time.monotonic()
