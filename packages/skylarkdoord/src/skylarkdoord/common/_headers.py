"""HTTP headers between skylarkdoor processes, and header filtering at both ends."""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from skylarkdoor.response_heads import drop_undecodable

REQUEST_ID = "X-Request-Id"
GRANT = "X-Skylarkdoor-Grant"
INCARNATION = "X-Skylarkdoor-Incarnation"
METHOD = "X-Skylarkdoor-Method"
PATH = "X-Skylarkdoor-Path"
STREAMED = "X-Skylarkdoor-Streamed"
IDEMPOTENT = "X-Skylarkdoor-Idempotent"
IDENTITY = "X-Skylarkdoor-Identity"
DEADLINE_MS = "X-Skylarkdoor-Deadline-Ms"
TIER = "X-Skylarkdoor-Tier"
PROMPT_TOKENS = "X-Skylarkdoor-Prompt-Tokens"
FINGERPRINT = "X-Skylarkdoor-Fingerprint"
CRASHES = "X-Skylarkdoor-Crashes"
REPLAYED = "Idempotent-Replayed"
NOT_RUN = "X-Skylarkdoor-Not-Run"
OUTCOME_UNKNOWN = "X-Skylarkdoor-Outcome-Unknown"
IDEMPOTENCY_KEY = "Idempotency-Key"

ACCEPT_ENCODING = "Accept-Encoding"

FORWARDED_HEADERS = (
    "Accept",
    ACCEPT_ENCODING,
    "Accept-Language",
    "Content-Type",
    IDEMPOTENCY_KEY,
)
UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def parse_crashes(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Return the crash identifiers that the sender attributes to a request."""
    return tuple(filter(None, headers.get(CRASHES, "").split(",")))


def format_crashes(crashes: Iterable[str]) -> str:
    """Return the header value for crash identifiers."""
    return ",".join(crashes)


def upstream_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the caller's headers that are forwarded to an upstream."""
    forwarded = CIMultiDict(
        {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
    )
    # Without this header, the HTTP client would add its own accepted encodings.
    forwarded.setdefault(ACCEPT_ENCODING, "identity")
    return forwarded


def caller_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the upstream's headers that are forwarded to a caller."""
    return CIMultiDict(
        (name, drop_undecodable(value))
        for name, value in headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
        and not name.lower().startswith("x-skylarkdoor-")
    )
