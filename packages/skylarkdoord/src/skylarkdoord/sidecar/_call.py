"""Parses the dispatch requests that entries send to a sidecar."""

import hashlib
import time
from typing import NamedTuple

from aiohttp import web
from multidict import CIMultiDict

from skylarkdoor import tracing
from skylarkdoord.common import _headers as headers
from skylarkdoord.exceptions import CallError

MS_PER_S = 1000


class Call(NamedTuple):
    """A granted request, to be sent to the upstream.

    Attributes:
        request_id: Identifier of the request, the same in all processes.
        grant: Number of the grant that the entry uses.
        incarnation: Incarnation of the sidecar that issued the grant.
        method: HTTP method.
        path: Path and query.
        headers: Headers for the upstream.
        idempotent: Whether the request may safely be run more than once.
        streamed: Whether the caller asked for a stream.
        identity: Customer and hashed idempotency key, empty without a key.
        fingerprint: Hash of customer, call and body.
        crashes: Identifiers of the upstream crashes attributed to the request.
        tier: Rank of its tier.
        prompt_tokens: Estimated prompt length, in tokens.
        deadline_at: Monotonic time of the deadline, in seconds.
        context: Trace context.
    """

    request_id: str
    grant: int
    incarnation: int
    method: str
    path: str
    headers: CIMultiDict[str]
    idempotent: bool
    streamed: bool
    identity: str
    fingerprint: int
    crashes: tuple[str, ...]
    tier: int
    prompt_tokens: int
    deadline_at: float
    context: tracing.SpanContext

    def hash(self, pool: str, body: bytes) -> str:
        """Return the hash that distinguishes calls with the same idempotency key."""
        parts = (pool.encode(), self.method.encode(), self.path.encode(), body)
        return hashlib.sha256(b"\0".join(parts)).hexdigest()


def read_call(request: web.Request) -> Call:
    """Parse a dispatch request of an entry.

    Raises:
        CallError: A header is missing or malformed, or a call that isn't
            idempotent has no identity.
    """
    sent = request.headers
    try:
        remaining_s = int(sent[headers.DEADLINE_MS]) / MS_PER_S
        call = Call(
            request_id=request.match_info["id"],
            grant=int(sent[headers.GRANT]),
            incarnation=int(sent[headers.INCARNATION]),
            method=sent[headers.METHOD],
            path=sent[headers.PATH],
            headers=headers.upstream_headers(sent),
            idempotent=sent[headers.IDEMPOTENT] == "1",
            streamed=sent[headers.STREAMED] == "1",
            identity=sent.get(headers.IDENTITY, ""),
            fingerprint=int(sent[headers.FINGERPRINT]),
            crashes=headers.parse_crashes(sent),
            tier=int(sent[headers.TIER]),
            prompt_tokens=int(sent[headers.PROMPT_TOKENS]),
            deadline_at=time.monotonic() + remaining_s,
            context=tracing.extract(sent),
        )
    except (KeyError, ValueError) as error:
        raise CallError(f"missing or malformed header: {error!r}") from error
    if not call.idempotent and not call.identity:
        raise CallError("a non-idempotent call requires an identity")
    call.headers[headers.REQUEST_ID] = call.request_id
    return call
