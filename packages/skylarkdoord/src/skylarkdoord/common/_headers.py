"""Headers that skylarkdoor processes give each other."""

from collections.abc import Mapping

from multidict import CIMultiDict

REQUEST_ID = "X-Request-Id"
GRANT = "X-Skylarkdoor-Grant"
INCARNATION = "X-Skylarkdoor-Incarnation"
METHOD = "X-Skylarkdoor-Method"
PATH = "X-Skylarkdoor-Path"
STREAMED = "X-Skylarkdoor-Streamed"
IDEMPOTENT = "X-Skylarkdoor-Idempotent"
CLAIM_KEY = "X-Skylarkdoor-Claim-Key"
NOT_RUN = "X-Skylarkdoor-Not-Run"
UNKNOWN = "X-Skylarkdoor-Outcome-Unknown"
IDEMPOTENCY_KEY = "Idempotency-Key"

PASSED_ON = ("Accept", "Accept-Language", "Content-Type", IDEMPOTENCY_KEY)
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-encoding",
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


def to_upstream(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the caller's headers that an upstream may see."""
    return CIMultiDict({name: headers[name] for name in PASSED_ON if name in headers})


def to_caller(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the upstream's headers that a caller may see."""
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
        and not name.lower().startswith("x-skylarkdoor-")
    )
