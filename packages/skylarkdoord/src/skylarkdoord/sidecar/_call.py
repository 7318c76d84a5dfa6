"""A granted request as its entry sent it."""

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
    """A call that the upstream is to run.

    Attributes:
        request_id: Its identity between processes.
        grant: Number of the grant that its entry took.
        incarnation: Life of the sidecar that gave the grant.
        method: HTTP method.
        path: Path and query.
        headers: Headers for the upstream.
        idempotent: Whether it may be run again without harm.
        streamed: Whether the caller asked for a stream.
        identity: Customer and hashed key, empty without a key.
        fingerprint: Hash of customer, call and body.
        crashes: Crashes that its entry counts against it.
        tier: Rank of its tier.
        prompt_tokens: Estimated prompt length.
        deadline_at: Monotonic time by which the answer is wanted, in seconds.
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
        """Return the hash by which calls under one key are told apart."""
        parts = (pool.encode(), self.method.encode(), self.path.encode(), body)
        return hashlib.sha256(b"\0".join(parts)).hexdigest()


def read_call(request: web.Request) -> Call:
    """Return the call that a request from an entry describes.

    Raises:
        CallError: A header is absent or malformed.
    """
    sent = request.headers
    try:
        left_s = int(sent[headers.DEADLINE_MS]) / MS_PER_S
        call = Call(
            request_id=request.match_info["id"],
            grant=int(sent[headers.GRANT]),
            incarnation=int(sent[headers.INCARNATION]),
            method=sent[headers.METHOD],
            path=sent[headers.PATH],
            headers=headers.to_upstream(sent),
            idempotent=sent[headers.IDEMPOTENT] == "1",
            streamed=sent[headers.STREAMED] == "1",
            identity=sent.get(headers.IDENTITY, ""),
            fingerprint=int(sent[headers.FINGERPRINT]),
            crashes=headers.read_crashes(sent),
            tier=int(sent[headers.TIER]),
            prompt_tokens=int(sent[headers.PROMPT_TOKENS]),
            deadline_at=time.monotonic() + left_s,
            context=tracing.extract(sent),
        )
    except (KeyError, ValueError) as error:
        raise CallError(f"expected a header: {error!r}") from error
    if not call.idempotent and not call.identity:
        raise CallError("expected an identity on a call that may not be repeated")
    call.headers[headers.REQUEST_ID] = call.request_id
    return call
