"""Headers that skylarkdoor processes give each other."""

from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

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
UNKNOWN = "X-Skylarkdoor-Outcome-Unknown"
IDEMPOTENCY_KEY = "Idempotency-Key"

ACCEPT_ENCODING = "Accept-Encoding"

PASSED_ON = (
    "Accept",
    ACCEPT_ENCODING,
    "Accept-Language",
    "Content-Type",
    IDEMPOTENCY_KEY,
)
HOP_BY_HOP = frozenset(
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


def read_crashes(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Return the crashes that a neighbour counts against a request."""
    return tuple(filter(None, headers.get(CRASHES, "").split(",")))


def write_crashes(crashes: Iterable[str]) -> str:
    """Return the header's value for such crashes."""
    return ",".join(crashes)


def to_upstream(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the caller's headers that an upstream may see."""
    passed = CIMultiDict({name: headers[name] for name in PASSED_ON if name in headers})
    # Without the header, the HTTP client would ask for encodings of its own.
    passed.setdefault(ACCEPT_ENCODING, "identity")
    return passed


def to_caller(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the upstream's headers that a caller may see."""
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
        and not name.lower().startswith("x-skylarkdoor-")
    )
