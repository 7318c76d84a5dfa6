"""Parses callers' requests: customer, pool, prompt, deadline and idempotency key."""

import json
import time
import uuid
from collections.abc import Mapping
from fnmatch import fnmatchcase
from typing import Any, NamedTuple

from aiohttp import web

from skylarkdoor import hashing, tracing
from skylarkdoor.settings import Fleet, Pool, ResolvedCustomer, SettingsView
from skylarkdoord.common import _headers as headers
from skylarkdoord.entry._request import EntryRequest

DEADLINE_HEADER = "X-Request-Timeout"
DEFAULT_MAX_TOKENS = 256
# Largest number of tokens that an offer can state.
MAX_TOKENS = 2**32 - 1
MAX_KEY_LENGTH = 255


class BadRequestError(Exception):
    """A caller's request is invalid."""

    def __init__(self, status: int, code: str, message: str) -> None:
        self.status = status
        self.code = code
        self.message = message
        super().__init__(message)


class Target(NamedTuple):
    """The pool and path that a request is for.

    Attributes:
        pool_name: Name of the pool.
        pool: Settings of the pool.
        path: Path and query for the upstream.
        idempotent: Whether the call is idempotent.
    """

    pool_name: str
    pool: Pool
    path: str
    idempotent: bool


class Prompt(NamedTuple):
    """The parts of a model request that routing depends on.

    Attributes:
        model: The requested model.
        streamed: Whether the answer is requested as an event stream.
        words: The prompt's words.
        max_tokens: Maximum number of tokens to generate.
    """

    model: str
    streamed: bool
    words: list[str]
    max_tokens: int


def authenticate(
    request_headers: Mapping[str, str], view: SettingsView
) -> ResolvedCustomer:
    """Return the customer whose API key is in the headers.

    Raises:
        BadRequestError: The key is missing or unknown.
    """
    scheme, _, key = request_headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise BadRequestError(401, "key_missing", "expected an API key as bearer token")
    resolved = view.resolve(hashing.key_hash(key.strip()))
    if resolved is None:
        raise BadRequestError(401, "key_unknown", "the API key is unknown")
    return resolved


def parse_prompt(body: bytes) -> Prompt:
    """Parse a body in the format of the OpenAI API.

    Raises:
        BadRequestError: The body does not have that format.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise BadRequestError(400, "body_malformed", "expected a JSON body") from None
    if not isinstance(document, dict):
        raise BadRequestError(400, "body_malformed", "expected a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequestError(400, "model_missing", "expected a model name")
    limit = document.get("max_tokens", document.get("max_completion_tokens"))
    limit = DEFAULT_MAX_TOKENS if limit is None else limit
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
        raise BadRequestError(400, "max_tokens_invalid", "expected max_tokens above 0")
    if limit > MAX_TOKENS:
        raise BadRequestError(
            400, "max_tokens_invalid", f"expected max_tokens up to {MAX_TOKENS}"
        )
    words = _prompt_text(document).split()
    return Prompt(model, bool(document.get("stream", False)), words, limit)


def _prompt_text(document: dict[str, Any]) -> str:
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError(400, "prompt_missing", "expected messages or a prompt")
    parts = []
    for message in messages:
        if not isinstance(message, dict):
            raise BadRequestError(400, "messages_invalid", "expected message objects")
        parts.append(_message_text(message.get("content")))
    return " ".join(parts)


def _message_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        texts = [part.get("text", "") for part in content if isinstance(part, dict)]
        return " ".join(text for text in texts if isinstance(text, str))
    return ""


def model_target(
    fleet: Fleet, resolved: ResolvedCustomer, model: str, path: str
) -> Target:
    """Return the customer's pool that serves the model.

    Raises:
        BadRequestError: None of the customer's pools serves the model.
    """
    for name in resolved.customer.pools:
        pool = fleet.pools.get(name)
        if pool is not None and pool.kind == "model" and model in pool.models:
            return Target(name, pool, path, True)
    raise BadRequestError(404, "model_unknown", f"no model {model!r} for this customer")


def service_target(
    fleet: Fleet, resolved: ResolvedCustomer, pool_name: str, path: str, method: str
) -> Target:
    """Return the service pool that a call is for.

    A call that matches none of the pool's routes counts as not idempotent.

    Raises:
        BadRequestError: The customer has no such pool.
    """
    pool = fleet.pools.get(pool_name)
    allowed = pool_name in resolved.customer.pools
    if pool is None or pool.kind != "service" or not allowed:
        raise BadRequestError(404, "pool_unknown", f"no service pool {pool_name!r}")
    path_without_query = path.partition("?")[0]
    for route in pool.routes:
        if method in route.methods and fnmatchcase(path_without_query, route.path):
            return Target(pool_name, pool, path, route.idempotent)
    return Target(pool_name, pool, path, False)


def deadline_s(request_headers: Mapping[str, str], default_s: float) -> float:
    """Return the time-out that a caller sets for its request, in seconds.

    Raises:
        BadRequestError: The header is not a positive number.
    """
    text = request_headers.get(DEADLINE_HEADER)
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        raise BadRequestError(
            400,
            "timeout_invalid",
            f"expected a positive number of seconds in {DEADLINE_HEADER}",
        )
    return seconds


def idempotency_key(request_headers: Mapping[str, str], target: Target) -> str:
    """Return the caller's idempotency key, empty if there is none.

    Raises:
        BadRequestError: The key is too long, or it is missing on a call that is not
            idempotent.
    """
    key = request_headers.get(headers.IDEMPOTENCY_KEY, "").strip()
    if len(key) > MAX_KEY_LENGTH:
        raise BadRequestError(400, "key_too_long", "expected a shorter Idempotency-Key")
    if not key and not target.idempotent:
        raise BadRequestError(
            400,
            "idempotency_key_missing",
            "expected an Idempotency-Key on a call that is not idempotent",
        )
    return key


def build_request(
    raw: web.Request,
    resolved: ResolvedCustomer,
    target: Target,
    body: bytes,
    prompt: Prompt | None = None,
) -> EntryRequest:
    """Return the entry's representation of a caller's request.

    Raises:
        BadRequestError: The deadline or the idempotency key is invalid.
    """
    request = EntryRequest(
        request_id=uuid.uuid4().hex,
        resolved=resolved,
        pool_name=target.pool_name,
        pool=target.pool,
        method=raw.method,
        path=target.path,
        headers=headers.upstream_headers(raw.headers),
        body=body,
        idempotent=target.idempotent,
        idempotency_key=idempotency_key(raw.headers, target),
        fingerprint=_fingerprint(resolved, raw.method, target, body),
        context=tracing.extract(raw.headers),
    )
    allowed_s = deadline_s(raw.headers, resolved.tier.deadline_s)
    request.deadline_at = time.monotonic() + allowed_s
    if prompt is not None:
        request.model = prompt.model
        request.streamed = prompt.streamed
        request.prompt_tokens = len(prompt.words)
        request.max_tokens = prompt.max_tokens
        request.prefix_hashes = hashing.prefix_hashes(prompt.words)
    return request


def _fingerprint(
    resolved: ResolvedCustomer, method: str, target: Target, body: bytes
) -> int:
    customer = f"{resolved.team}/{resolved.customer_name}"
    call = f"{method} {target.pool_name} {target.path}\0".encode()
    return hashing.fingerprint(customer, call + body)
