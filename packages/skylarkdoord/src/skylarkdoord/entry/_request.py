"""The entry's representation of a caller's request."""

import time
from dataclasses import dataclass, field

from multidict import CIMultiDict

from skylarkdoor.hashing import key_hash
from skylarkdoor.settings import Pool, ResolvedCustomer
from skylarkdoor.tracing import SpanContext
from skylarkdoor.wire import pb

MS_PER_S = 1000


@dataclass
class EntryRequest:
    """One request from a caller.

    Attributes:
        request_id: Its unique id in all processes.
        resolved: The customer and its tier.
        pool_name: Pool that serves it.
        pool: Settings of the pool.
        method: HTTP method for the upstream.
        path: Path and query for the upstream.
        headers: Headers for the upstream.
        body: The complete body.
        model: Requested model, empty for a service pool.
        streamed: Whether the caller requested an event stream.
        prompt_tokens: Estimated prompt length, in tokens.
        max_tokens: Maximum number of tokens to generate.
        prefix_hashes: Running hash after each block of the prompt.
        idempotent: Whether the call is idempotent.
        idempotency_key: The caller's key, empty for none.
        fingerprint: Hash of customer, call and body.
        deadline_at: Monotonic time by which the answer is due, in seconds.
        context: Trace context.
        dispatches: Number of times that it was dispatched to an upstream.
        is_sent: Whether its body was sent to a sidecar that may run it.
    """

    request_id: str
    resolved: ResolvedCustomer
    pool_name: str
    pool: Pool
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    model: str = ""
    streamed: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    idempotent: bool = True
    idempotency_key: str = ""
    fingerprint: int = 0
    deadline_at: float = 0.0
    context: SpanContext = field(default_factory=SpanContext)
    dispatches: int = 0
    is_sent: bool = False

    def remaining_s(self) -> float:
        """Return the time left until the deadline, in seconds."""
        return self.deadline_at - time.monotonic()

    def identity(self) -> str:
        """Return the customer with the hash of the idempotency key."""
        customer = f"{self.resolved.team}/{self.resolved.customer_name}"
        return f"{customer}/{key_hash(self.idempotency_key)}"

    def offer(self, *, is_copy: bool = False) -> pb.Offer:
        """Return the offer of this request for a sidecar.

        Args:
            is_copy: Whether another sidecar has the offer already.
        """
        return pb.Offer(
            request_id=self.request_id,
            team=self.resolved.team,
            customer=self.resolved.customer_name,
            model=self.model,
            tier=self.resolved.tier.rank,
            deadline_ms=max(0, int(self.remaining_s() * MS_PER_S)),
            prompt_tokens=self.prompt_tokens,
            max_tokens=self.max_tokens,
            prefix_hashes=self.prefix_hashes,
            idempotent=self.idempotent,
            idempotency_key=self.idempotency_key,
            fingerprint=self.fingerprint,
            weight=self.resolved.customer.weight,
            streamed=self.streamed,
            is_copy=is_copy,
        )
