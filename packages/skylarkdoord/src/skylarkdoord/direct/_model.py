"""Types for the deployment's configuration, its upstreams and one request.

The platform's adapter creates most of them from the platform's own formats.
"""

import enum
import time
from typing import NamedTuple

MS_PER_S = 1000.0
# Prefix of a route whose own could not be read.
UNREAD_PREFIX = ""

# Instance of an upstream and Unix time of its start in milliseconds.
Incarnation = tuple[str, int]


class RepeatPolicy(enum.Enum):
    """Whether the requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class Target(NamedTuple):
    """A service that serves a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the weights of the other targets.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests under one host and path prefix are served.

    Attributes:
        name: Name of the route.
        host: Host in the requests' URLs, without a port.
        prefix: Path prefix, with a slash at both ends; empty if it could not be read.
            Then it may begin any path, and no request of the host is served.
        targets: Services that serve the requests; empty if the route could not be
            read. Then its requests are refused, rather than served by the route with
            the next shorter prefix.
        repeat: Whether a request may run more than once.
        is_stream: Whether the answer is a stream of server-sent events.
        is_resumable: Whether another upstream may continue an interrupted stream.
        timeout_s: Maximum time from the receipt of a request to the end of its
            answer, in seconds.
        target_latency_s: Latency target for the time to the first byte, in seconds.
        max_pause_s: Latency target for the time between two events, in seconds.
        rank: Tier, which sets the priority; 0 is the most important.
        max_attempts: Maximum number of upstreams that may run one request.
        is_anonymous: Whether callers need no API key.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    repeat: RepeatPolicy = RepeatPolicy.ONCE
    is_stream: bool = False
    is_resumable: bool = False
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    max_pause_s: float = 1.0
    rank: int = 0
    max_attempts: int = 1
    is_anonymous: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may safely run more than once."""
        return self.repeat is RepeatPolicy.IDEMPOTENT or self.is_resumable


class Service(NamedTuple):
    """A group of upstreams that serve the same requests.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that one upstream accepts.
        is_engine: Whether the upstreams are language-model engines.
        slots: Requests that one engine runs concurrently; 0 if not stated.
    """

    name: str
    max_connections: int = 0
    is_engine: bool = False
    slots: int = 0


class Customer(NamedTuple):
    """A holder of API keys that share one rate limit.

    Attributes:
        name: Name of the customer, which is also sent to upstreams.
        keys: API keys.
        rank: Tier, which takes precedence over the route's tier; None means 0.
        rate: Rate limit in units per second; 0 for no limit.
        burst: Units allowed in one burst in addition to the rate.
        counts_tokens: Whether the units are tokens rather than requests.
        default_tokens: Units charged for a request that does not state its tokens.
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
        version: Version number, which increases with each change.
        routes: All routes.
        services: All services, by name.
        customers: All customers that could be read.
        max_body_bytes: Maximum size of a request body, in bytes.
        max_head_bytes: Maximum size of the header fields of a request, in bytes.
        head_timeout_s: Time that the head of a request may take, in seconds.
        idle_timeout_s: Time after which a caller's idle connection may be closed,
            in seconds.
        has_unread_customers: Whether a customer could not be read, so that a key may be
            valid although it belongs to no other.
        problems: What could not be read, one text a part.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: tuple[Customer, ...]
    max_body_bytes: int = 4 * 1024 * 1024
    max_head_bytes: int = 64 * 1024
    head_timeout_s: float = 15.0
    idle_timeout_s: float = 15.0
    has_unread_customers: bool = False
    problems: tuple[str, ...] = ()

    @property
    def requires_keys(self) -> bool:
        """Whether callers need an API key, except for anonymous routes."""
        return bool(self.customers) or self.has_unread_customers


class UpstreamRecord(NamedTuple):
    """An upstream as described by the registry.

    Attributes:
        instance: Name of the upstream instance.
        service: Name of the service that it belongs to.
        address: Its address as `host:port`.
        data_centre: Data centre in which it runs.
        slots: Requests that it runs concurrently.
        is_draining: Whether it is draining and accepts no new requests.
        started_ms: Unix time of its start in milliseconds; distinguishes two
            incarnations of one instance.
        version: Version of the software that this incarnation runs; empty if the
            registry states none. Not the version of a model's weights.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    started_ms: int = 0
    version: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Identity of this run of the instance."""
        return self.instance, self.started_ms


class Precedence(NamedTuple):
    """Priority of a request among those waiting for a slot; lower is served first.

    Attributes:
        tier: Tier of the request; 0 is the most important.
        is_late: Whether its latency target can no longer be met.
    """

    tier: int
    is_late: bool = False


class PromptPart(NamedTuple):
    """A part of a prompt, as the caller states it.

    Attributes:
        identity: Identity of the part; equal parts of several requests share it.
        tokens: Number of its tokens.
    """

    identity: str
    tokens: int


class CallerRequest(NamedTuple):
    """A request as received from the caller.

    Attributes:
        request_id: Id of this attempt, set by the caller; empty if absent.
        method: HTTP method.
        target: Path and query exactly as sent.
        host: Host without a port.
        headers: Headers that may be forwarded to an upstream, as sent.
        body: The whole body.
        key: API key; empty if absent.
        deadline: Monotonic time at which the caller stops waiting, in seconds.
        received: Monotonic time of receipt, in seconds.
        prompt_tokens: Number of tokens in the prompt.
        max_tokens: Maximum number of tokens in the answer.
        expected_tokens: Number of tokens that the caller expects in the answer; 0 if
            not stated.
        has_token_counts: Whether the caller stated the numbers of tokens.
        prefix: Parts of the prompt, in order.
        last_event_id: Id of the event after which a stream resumes; empty for a new
            stream.
        resumes: Id of the attempt that brought the first event of that stream; empty
            if not stated, or stated several times.
        is_connection_reused: Whether the connection carried a request before this one.
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
    has_token_counts: bool = False
    prefix: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    resumes: str = ""
    is_connection_reused: bool = False

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def answer_tokens(self) -> int:
        """Number of tokens that the answer is likely to have; 0 if not stated."""
        if not self.max_tokens:
            return self.expected_tokens
        return min(self.expected_tokens, self.max_tokens)

    def size_fields(self) -> dict[str, int]:
        """Return the stated numbers of tokens, as fields of a log line."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "max_tokens": self.max_tokens,
            "expected_tokens": self.expected_tokens,
        }

    def remaining_s(self) -> float:
        """Return the time until the caller stops waiting, in seconds."""
        return self.deadline - time.monotonic()


class Admitted(NamedTuple):
    """A request with its route, service, customer and tier resolved.

    Attributes:
        request: The request.
        route: The route that matches the request.
        service: Name of the service chosen from the route's targets.
        customer: The customer that sent it; None if the route needs no API key or
            no customers are configured.
        rank: Tier of the request; 0 is the most important.
        deadline: Monotonic time at which the request times out, in seconds.
        first_byte_due: Monotonic time by which the first byte must arrive to meet the
            latency target, in seconds.
        version: Version of the configuration that was applied.
    """

    request: CallerRequest
    route: Route
    service: str
    customer: Customer | None
    rank: int
    deadline: float
    first_byte_due: float
    version: int

    def remaining_s(self) -> float:
        """Return the time until the request times out, in seconds."""
        return self.deadline - time.monotonic()
